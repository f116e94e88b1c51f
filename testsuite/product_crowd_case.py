"""The product's own programs, lavender-entry and lavender-agent, while a crowd of clients sends what
no well-behaved client sends. The checks are those of client_crowd_case.py.
"""
import json
from typing import Callable, List

from case_runner import run_cases
from client_crowd_case import (CHUNKED, FLOOD_CLIENTS, HOST, check_process, check_refusals,
                               exchange, flood, held_connections, in_parallel, limited_descriptors,
                               post)
from local_deployment import Deployment, request, wait_until

# Memory of a node of the largest deployment that the architecture aims at.
MEMORY_MB = 256
DESCRIPTORS = 512
# Descriptors that stay free for the process's own connections.
FREE_DESCRIPTORS = 100
ANSWER_S = 30.0
# Settings of both programs.
THREADS = 64
HELD_CONNECTIONS = 600
LARGEST_BODY = 8 * 2**20  # default of maxBodyBytes


class ProductTarget:
    """A program of a local deployment, its port, and the check of an ordinary request there."""

    def __init__(self, deployment: Deployment, name: str):
        self.deployment = deployment
        self.name = name
        self.process = deployment.processes[name]
        self.port = (deployment.entry_ports if name == "entry0" else deployment.agent_ports)[0]
        self.path = f"/v1/services/{deployment.service}/x".encode()

    def check_ordinary(self) -> None:
        if self.name == "entry0":
            wait_until(lambda: self.deployment.call(0, "/x", timeout=3).status == 200, ANSWER_S,
                       "the entry to answer a request", 0.1)
        else:
            wait_until(lambda: request(self.port, "GET", "/readyz", timeout=3).status == 200,
                       ANSWER_S, "the agent to answer a request", 0.1)

    def check_limits(self) -> None:
        check_process(self.process, self.name, MEMORY_MB, DESCRIPTORS - FREE_DESCRIPTORS)


class LimitedDeployment(Deployment):
    """One entry and one agent with few descriptors and threads."""

    def __init__(self, build: str):
        super().__init__(build, entries=1, agents=1, workers=1, agent_threads=THREADS)

    def spawn(self, name: str, program: str, settings: dict):
        if name == "standin":
            super().spawn(name, program, settings)
            return
        with limited_descriptors(DESCRIPTORS):
            super().spawn(name, program, dict(settings, threads=THREADS))


def on_each_program(build: str, attack: Callable[[ProductTarget], None]) -> None:
    failures = []
    for name in ("entry0", "agent0"):
        with LimitedDeployment(build) as deployment:
            assert deployment.apply_manifest().status == 200
            deployment.wait_ready()
            target = ProductTarget(deployment, name)
            try:
                target.check_ordinary()
                attack(target)
                target.check_limits()
                target.check_ordinary()
            except (AssertionError, TimeoutError) as error:
                failures.append(str(error))
    assert not failures, "; ".join(failures)


def flood_each_program(build: str, method: bytes, head: bytes, filler: bytes,
                       complete: bool = False) -> None:
    """With `complete`, the request is whole before the filler, and may be handled."""
    statuses = {400, 405, 411, 413, 414, 429, 431, 503} | ({200, 404} if complete else set())

    def attack(target: ProductTarget) -> None:
        answers: List[bytes] = []
        start = method + b" " + target.path + b" HTTP/1.1\r\n" + HOST + head
        in_parallel(FLOOD_CLIENTS, lambda _: flood(target.port, start, filler, answers))
        check_refusals(answers, target.name, statuses, must_say_not_run=False)

    on_each_program(build, attack)


def test_trailers_without_end(build: str) -> None:
    flood_each_program(build, b"POST", CHUNKED + b"2\r\n{}\r\n0\r\n", b"a: b\r\n",
                       complete=True)


def test_chunk_extension_without_end(build: str) -> None:
    flood_each_program(build, b"POST", CHUNKED + b"2;a=", b"b")


def test_chunked_body_without_end(build: str) -> None:
    flood_each_program(build, b"POST", CHUNKED, b"4\r\nabcd\r\n")


def test_head_without_end(build: str) -> None:
    flood_each_program(build, b"GET", b"", b"a: b\r\n")


def hold_on_each_program(build: str, connections: int, text: Callable[[ProductTarget], bytes]):
    def attack(target: ProductTarget) -> None:
        with held_connections(target.port, connections, lambda: text(target)):
            target.check_limits()
            target.check_ordinary()
            target.check_limits()

    on_each_program(build, attack)


def test_connections_without_request(build: str) -> None:
    hold_on_each_program(build, HELD_CONNECTIONS, lambda _: b"")


def test_connections_with_unfinished_head(build: str) -> None:
    hold_on_each_program(build, HELD_CONNECTIONS,
                         lambda target: b"GET " + target.path + b" HTTP/1.1\r\n" + HOST)


def test_connections_with_unfinished_body(build: str) -> None:
    body = b"x" * (LARGEST_BODY - 1)
    hold_on_each_program(build, THREADS, lambda target: b"POST " + target.path +
                         b" HTTP/1.1\r\n" + HOST + b"Content-Length: %d\r\n\r\n" % LARGEST_BODY +
                         body)


def test_documents_of_many_values(build: str) -> None:
    # 2 MB each: with 8 MB and 16 clients the programs had 14.9 GB.
    documents = [b"[" + b"[]," * 700_000 + b"[]]",
                 json.dumps({"jsonrpc": "2.0", "method": "announce", "id": 1,
                             "params": {}}).encode()[:-2] + b'"a":[' + b"{}," * 700_000 + b"{}]}}"]

    def attack(target: ProductTarget) -> None:
        for path in (b"/rpc", b"/v1/jobs", target.path):
            in_parallel(4, lambda client: exchange(
                target.port, [post(path, documents[client % len(documents)])], []))

    on_each_program(build, attack)


if __name__ == "__main__":
    run_cases(globals())
