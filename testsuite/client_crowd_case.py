"""The platform programs while a crowd of clients sends what no well-behaved client sends.

Each test checks that the process lives, that its memory and descriptors stay within the limits of
its VM, and that an ordinary request is answered afterwards. Run one at a time.
"""
import contextlib
import json
import os
import resource
import socket
import subprocess
import threading
import time
from dataclasses import dataclass
from typing import Callable, Iterable, List, Optional

from case_runner import run_cases
from local_deployment import request, wait_until
from platform_case import Platform, Program

# Limits of each VM; the smallest VM of the platform has 128 MB and 4096 descriptors.
MEMORY_MB = 64
DESCRIPTORS = 512
# The platform reserves this many descriptors for files; sockets and pipes share the others.
FILE_DESCRIPTORS = 200
# The ordinary request is repeated until then, as callers do after a refusal.
ANSWER_S = 30.0
# A client that the server neither reads from nor closes gives up after this time.
PATIENCE_S = 10.0

HOST = b"Host: h.example\r\n"
CHUNKED = b"Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
FLOOD_CLIENTS = 8
FLOOD_BYTES = 16 * 2**20
HELD_CONNECTIONS = 600


@dataclass
class Target:
    """A port that a program listens on, and the check of an ordinary request there."""
    name: str
    program: Program
    port: int
    check_ordinary: Callable[[], None]


PORTS = ("callers", "readiness", "entry", "check-ins", "agent")


@contextlib.contextmanager
def limited_descriptors(count: int):
    """Processes that are started within have at most `count` descriptors."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, min(hard, 4096)), hard))


class CrowdPlatform(Platform):
    """A platform whose programs have the limits of a small VM.

    With `minion_port`, the first agent calls that port instead of its minion.
    """

    def __init__(self, build: str, seed: int, minion_port: Optional[int] = None):
        self.minion_port = minion_port
        with limited_descriptors(DESCRIPTORS):
            super().__init__(build, seed)
        self.jobs = 0
        for entry in range(len(self.entries)):
            self.check_ordinary_job(entry)

    def settings(self, vm: str, **overrides) -> dict:
        if vm == "side-0" and self.minion_port:
            overrides["minion"] = f"127.0.0.1:{self.minion_port}"
        return super().settings(vm, memoryMb=MEMORY_MB, maxDescriptors=DESCRIPTORS, **overrides)

    def check_ordinary_job(self, entry: int) -> None:
        """Submits a job at the entry, which runs to its end."""
        self.jobs += 1
        job = f"{0xabc000 + self.jobs:016x}"
        step = {"count": 2, "cpu": 500, "memMb": 100, "estimateMs": 50}
        wait_until(lambda: self.call(entry, "POST", job, {"spec": "50", "steps": [step]}).status
                   == 200, ANSWER_S, f"entry {entry} to accept a job; logs in {self.folder}", 0.1)
        wait_until(lambda: b"done" in self.call(entry, "GET", job).body, ANSWER_S,
                   f"entry {entry} to show the job as done; logs in {self.folder}", 0.1)

    def check_path(self, port: int, path: str) -> None:
        wait_until(lambda: request(port, "GET", path, timeout=3).status == 200, ANSWER_S,
                   f"GET {path}; logs in {self.folder}", 0.1)

    def check_check_in(self, agent: int) -> None:
        minion = self.minions[agent]
        before = minion.lease_end()
        wait_until(lambda: minion.lease_end() > before, ANSWER_S,
                   f"agent {agent} to renew the lease of its minion; logs in {self.folder}", 0.1)

    def target(self, name: str) -> Target:
        """The port `name` of the first entry or agent."""
        entry, agent = self.entries[0], self.agents[0]
        number = lambda address: int(address.rpartition(":")[2])  # noqa: E731
        return {
            "callers": Target(name, entry, self.callers[0], lambda: self.check_ordinary_job(0)),
            "readiness": Target(name, entry, number(entry.settings["readiness"]),
                                lambda: self.check_path(number(entry.settings["readiness"]),
                                                        "/-/ready")),
            "entry": Target(name, entry, entry.settings["ownPort"],
                            lambda: self.check_path(entry.settings["ownPort"], "/metrics")),
            "check-ins": Target(name, agent, number(agent.settings["checkIns"]),
                                lambda: self.check_check_in(0)),
            "agent": Target(name, agent, agent.settings["ownPort"],
                            lambda: self.check_path(agent.settings["ownPort"], "/metrics")),
        }[name]


def peak_memory(pid: int) -> float:
    """Largest resident memory that the process had, in MiB."""
    with open(f"/proc/{pid}/status", encoding="utf-8") as status:
        for line in status:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
    raise AssertionError("no peak of memory")


def open_sockets(pid: int) -> int:
    """Sockets and pipes that the process has open."""
    folder = f"/proc/{pid}/fd"
    count = 0
    for name in os.listdir(folder):
        with contextlib.suppress(OSError):  # closed since
            count += os.readlink(f"{folder}/{name}").startswith(("socket:", "pipe:"))
    return count


def check_process(process: subprocess.Popen, name: str, memory_mb: int, most_sockets: int) -> None:
    """The process lives, and has stayed within the memory and the sockets."""
    assert process.poll() is None, f"{name} ended with {process.returncode}"
    memory, sockets = peak_memory(process.pid), open_sockets(process.pid)
    print(f"  {name} {memory:.0f} MB, {sockets} sockets", flush=True)
    assert memory < memory_mb, f"{name} had {memory:.0f} of {memory_mb} MB"
    assert sockets <= most_sockets, f"{name} has {sockets} of {most_sockets} sockets and pipes"


def check_limits(program: Program, what: str) -> None:
    check_process(program.process, f"{what}: {program.settings['vm']}", MEMORY_MB,
                  DESCRIPTORS - FILE_DESCRIPTORS)


def connect(port: int) -> socket.socket:
    return socket.create_connection(("127.0.0.1", port), timeout=PATIENCE_S)


def read_answer(connection: socket.socket) -> bytes:
    with contextlib.suppress(OSError):
        return connection.recv(4096)
    return b""


def exchange(port: int, parts: Iterable[bytes], answers: List[bytes]) -> None:
    """Sends `parts` until the server closes, and adds the begin of its answer to `answers`."""
    with contextlib.suppress(OSError), connect(port) as connection:
        try:
            for part in parts:
                connection.sendall(part)
        finally:
            answers.append(read_answer(connection))


def flood(port: int, head: bytes, filler: bytes, answers: List[bytes]) -> None:
    """Sends `head`, then `filler` until FLOOD_BYTES are sent or the server closes."""
    lump = filler * (2**16 // len(filler))
    exchange(port, [head] + [lump] * (FLOOD_BYTES // len(lump)), answers)


def in_parallel(clients: int, act: Callable[[int], None]) -> None:
    threads = [threading.Thread(target=act, args=(client,)) for client in range(clients)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def check_refusals(answers: List[bytes], what: str,
                   statuses: Iterable[int] = (400, 413, 429, 431, 503),
                   must_say_not_run: bool = True) -> None:
    """What was refused has not run, and says so."""
    for answer in filter(None, answers):
        status = int(answer.split(b" ", 2)[1])
        assert status in statuses, f"{what}: {answer[:200]!r}"
        assert b"not-run" in answer or not must_say_not_run, f"{what}: {answer[:300]!r}"


def on_each_port(build: str, seed: int, attack: Callable[[Target], None],
                 ports: Iterable[str] = PORTS) -> None:
    """Runs `attack` on each port, each on programs of their own, and checks the limits."""
    failures = []
    for name in ports:
        with CrowdPlatform(build, seed) as platform:
            target = platform.target(name)
            try:
                attack(target)
                check_limits(target.program, name)
                target.check_ordinary()
            except (AssertionError, TimeoutError) as error:
                failures.append(str(error))
    assert not failures, "; ".join(failures)


def flood_all_ports(build: str, seed: int, method: bytes, head: bytes, filler: bytes) -> None:
    def attack(target: Target) -> None:
        answers: List[bytes] = []
        start = method + b" /q/0123456789abcdef HTTP/1.1\r\n" + HOST + head
        in_parallel(FLOOD_CLIENTS, lambda _: flood(target.port, start, filler, answers))
        check_refusals(answers, target.name)

    on_each_port(build, seed, attack)


def test_trailers_without_end(build: str) -> None:
    flood_all_ports(build, 21, b"POST", CHUNKED + b"2\r\n{}\r\n0\r\n", b"a: b\r\n")


def test_trailer_field_without_end(build: str) -> None:
    flood_all_ports(build, 22, b"POST", CHUNKED + b"2\r\n{}\r\n0\r\na: ", b"b")


def test_chunk_extension_without_end(build: str) -> None:
    flood_all_ports(build, 23, b"POST", CHUNKED + b"2;a=", b"b")


def test_chunked_body_without_end(build: str) -> None:
    flood_all_ports(build, 24, b"POST", CHUNKED, b"4\r\nabcd\r\n")


def test_head_without_end(build: str) -> None:
    flood_all_ports(build, 25, b"GET", b"", b"a: b\r\n")


@contextlib.contextmanager
def held_connections(port: int, count: int, text: Callable[[], bytes]):
    """Opens connections that send `text` and nothing more, and holds those that the server keeps."""
    with contextlib.ExitStack() as held:
        for _ in range(count):
            with contextlib.suppress(OSError):
                held.enter_context(connect(port)).sendall(text())
        yield


def hold_all_ports(build: str, seed: int, text: Callable[[], bytes]) -> None:
    """The ordinary request is sent while the connections are held."""
    def attack(target: Target) -> None:
        with held_connections(target.port, HELD_CONNECTIONS, text):
            check_limits(target.program, target.name)
            target.check_ordinary()

    on_each_port(build, seed, attack)


def test_connections_without_request(build: str) -> None:
    hold_all_ports(build, 31, lambda: b"")


def test_connections_with_unfinished_head(build: str) -> None:
    # Short fields cost the most memory for a byte.
    fields = b"".join(b"%x:\r\n" % number for number in range(1900))
    hold_all_ports(build, 32, lambda: b"GET / HTTP/1.1\r\n" + HOST + fields)


def test_connections_with_unfinished_body(build: str) -> None:
    body = b"x" * 200_000
    head = b"POST /q/0123456789abcdef HTTP/1.1\r\n" + HOST + b"Content-Length: 200001\r\n\r\n"
    hold_all_ports(build, 33, lambda: head + body)


def post(path: bytes, body: bytes, method: bytes = b"POST") -> bytes:
    return (method + b" " + path + b" HTTP/1.1\r\n" + HOST + b"Connection: close\r\n"
            b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


def test_documents_of_many_values(build: str) -> None:
    # A parsed document takes up to 20 times the memory of its text.
    documents = [b"[" + b"[]," * 330_000 + b"[]]", b"[" + b"{}," * 330_000 + b"{}]",
                 b'{"spec":"1","steps":[{"count":1,"after":[' + b"0," * 480_000 + b"0]}]}"]
    def attack(target: Target) -> None:
        paths = {"entry": b"/exchange/svc", "check-ins": b"/-/instances/i-0"}
        method = b"PUT" if target.name == "check-ins" else b"POST"
        texts = [post(paths.get(target.name, b"/q/0123456789abcdef"), document, method)
                 for document in documents]
        for _ in range(len(texts)):
            in_parallel(24, lambda client: exchange(target.port, [texts[client % len(texts)]], []))

    on_each_port(build, 41, attack)


def test_invented_methods(build: str) -> None:
    def attack(target: Target) -> None:
        def act(client: int) -> None:
            for number in range(400):
                method = b"M%dX%dX" % (client, number) + b"M" * 8000
                exchange(target.port, [post(b"/q/0123456789abcdef", b"{}", method)], [])
        in_parallel(8, act)

    on_each_port(build, 42, attack)


def test_responses_that_are_not_read(build: str) -> None:
    def attack(target: Target) -> None:
        with contextlib.ExitStack() as held:
            for _ in range(200):
                with contextlib.suppress(OSError):
                    connection = held.enter_context(connect(target.port))
                    connection.setblocking(False)
                    connection.send((b"GET /metrics HTTP/1.1\r\n" + HOST + b"\r\n") * 100)
            check_limits(target.program, target.name)
            target.check_ordinary()

    on_each_port(build, 43, attack, ("entry", "agent"))  # only /metrics has a long answer


def test_jobs_that_fit_nowhere(build: str) -> None:
    step = {"count": 600, "cpu": 5000, "memMb": 100, "estimateMs": 1000}
    body = json.dumps({"spec": "s" * 4000, "steps": [step]}).encode()
    with CrowdPlatform(build, 44) as platform:
        answers: List[bytes] = []

        def act(client: int) -> None:
            for number in range(250):
                job = b"/q/%016x" % (0x5000 + client * 1000 + number)
                exchange(platform.callers[number % 2], [post(job, body)], answers)
        in_parallel(4, act)
        statuses = [answer.split(b" ", 2)[1] for answer in answers if answer]
        print("  answers:", {status: statuses.count(status) for status in set(statuses)},
              flush=True)
        for _ in range(20):
            time.sleep(0.25)
            for program in platform.entries + platform.agents:
                assert program.process.poll() is None, program.settings["vm"] + " has ended"
        for program in platform.entries + platform.agents:
            check_limits(program, "jobs")
        platform.check_ordinary_job(0)


class EndlessServer:
    """Answers each request with a head and a filler until the client closes the connection."""

    def __init__(self, head: bytes, filler: bytes):
        self.calls = 0  # that have ended
        self._answer = head, filler * (2**16 // len(filler))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        head, lump = self._answer
        with contextlib.suppress(OSError), connection:
            connection.settimeout(PATIENCE_S)
            connection.recv(65536)
            connection.sendall(head)
            for _ in range(128 * 2**20 // len(lump)):
                connection.sendall(lump)
        self.calls += 1


ENDLESS_ANSWERS = [
    (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n", b"a: b\r\n"),
    (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=", b"b"),
    (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"4\r\nabcd\r\n"),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n", b"[],")]


def test_endpoint_whose_answer_has_no_end(build: str) -> None:
    for head, filler in ENDLESS_ANSWERS:
        endless = EndlessServer(head, filler)
        with contextlib.closing(endless), CrowdPlatform(build, 45, endless.port) as platform:
            agent = platform.agents[0]
            wait_until(lambda: endless.calls >= 3, ANSWER_S, "the agent to call its minion")
            check_limits(agent, "answers of an endpoint")
            platform.check_path(agent.settings["ownPort"], "/metrics")
            platform.check_ordinary_job(0)


def test_invented_agents(build: str) -> None:
    with CrowdPlatform(build, 46) as platform:
        def act(client: int) -> None:
            for number in range(400):
                message = {"agent": f"{client}.{number}." + "a" * 20_000, "session": "s",
                           "number": 1}
                for entry in platform.entries:
                    exchange(entry.settings["ownPort"],
                             [post(b"/exchange/svc", json.dumps(message).encode())], [])
        in_parallel(8, act)
        for entry in platform.entries:
            check_limits(entry, "agents")
        platform.check_ordinary_job(0)


if __name__ == "__main__":
    run_cases(globals())
