"""The platform programs against a simulated platform, with and without seeded faults."""
import http.client
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time
from typing import Dict, List, Optional

from case_runner import run_cases
from local_deployment import Response, free_ports, request, wait_until
from platform_stand_in import Minion, Store

ENTRIES = 2
MINIONS = 3
GRACE_MS = 1500
# Time for all acknowledged jobs to finish after the last fault. Before work continues, a lease has
# to expire and a cell has to be taken over.
SETTLE_S = 30.0


class Program:
    """A process of one platform program; every start uses the same settings and ports."""

    def __init__(self, build: str, kind: str, folder: str, settings: dict):
        self.settings = settings
        self.command = [os.path.join(build, "lavender-platform-" + kind), "--settings",
                        os.path.join(folder, settings["vm"] + ".json")]
        self.log = open(os.path.join(folder, settings["vm"] + ".log"), "ab")
        with open(self.command[2], "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.process: Optional[subprocess.Popen] = None
        self.start()

    def start(self) -> None:
        if self.process is None or self.process.poll() is not None:
            self.process = subprocess.Popen(self.command, stdout=self.log, stderr=self.log)

    def send(self, number: int) -> None:
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self.process.wait()
        self.log.close()


class Platform:
    """Simulated store and minions with agents and entries; stops all of them on exit."""

    def __init__(self, build: str, seed: int, grace_ms: int = GRACE_MS):
        self.grace_ms = grace_ms
        self.folder = tempfile.mkdtemp(prefix="lavender-platform-")
        self.ports = free_ports(1 + 3 * MINIONS + 3 * ENTRIES)
        self.store = Store(self.ports.pop(), seed)
        self.store.put("op", "config", {
            "version": 3, "limits": {}, "services": [{"name": "svc"}],
            "routes": [{"name": "q", "hostname": "h.example", "pathPrefix": "/q/",
                        "service": "svc", "priority": 0, "attempts": 2}]})
        self.minions: List[Minion] = []
        self.agents: List[Program] = []
        for index in range(MINIONS):
            control, app = self.ports.pop(), self.ports.pop()
            self.agents.append(Program(build, "agent", self.folder, self.settings(
                f"side-{index}", checkIns=f"127.0.0.1:{control}", service="svc",
                minion=f"127.0.0.1:{app}")))
            self.minions.append(Minion(f"i-{index}", app, control))
        self.callers = [self.ports.pop() for _ in range(ENTRIES)]
        self.entries = [Program(build, "entry", self.folder, self.settings(
            f"front-{index}", callers=f"127.0.0.1:{port}",
            readiness=f"127.0.0.1:{self.ports.pop()}")) for index, port in enumerate(self.callers)]

    def settings(self, vm: str, **overrides) -> dict:
        return {"vm": vm, "host": "127.0.0.1", "dataCentre": "dc-1", "store": self.store.address,
                "ownPort": self.ports.pop(), "longestLeaseMs": 5000, "gracePeriodMs": self.grace_ms,
                "retentionS": 120, "control": "call", **overrides}

    def __enter__(self):
        return self

    def __exit__(self, *args):
        for program in self.entries + self.agents:
            program.end()
        self.store.server.shutdown()
        for minion in self.minions:
            minion.server.shutdown()

    def call(self, entry: int, method: str, job: str, body: Optional[dict] = None) -> Response:
        return request(self.callers[entry], method, "/q/" + job,
                       json.dumps(body).encode() if body else b"",
                       {"Host": "h.example", "Content-Type": "application/json",
                        "Lavenderarch-Request-Deadline": "2500"}, timeout=3)

    def request_any(self, method: str, job: str, body: Optional[dict] = None,
                    within_s: float = 20.0,
                    accepted=lambda response: response.status == 200) -> None:
        """Sends the request to the entries in turn until a response satisfies `accepted`."""
        turns = itertools.cycle(range(ENTRIES))
        wait_until(lambda: accepted(self.call(next(turns), method, job, body)), within_s,
                   f"{method} {job}; logs in {self.folder}", pause=0.1)

    def await_state(self, job: str, state: str, within_s: float = 20.0) -> None:
        self.request_any("GET", job, within_s=within_s, accepted=lambda response:
                         response.status == 200 and response.json()["state"] == state)

    def submit(self, number: int) -> str:
        job = f"{number:016x}"
        step = {"count": 3, "cpu": 500, "memMb": 100, "estimateMs": 300}
        self.request_any("POST", job, {"spec": str(150 + 50 * (number % 5)),
                                       "steps": [step, {**step, "after": [0]}]})
        return job

    def await_done(self, jobs: List[str], within_s: float) -> None:
        until = time.monotonic() + within_s
        for job in jobs:
            self.await_state(job, "done", max(until - time.monotonic(), 1))

    def check_runs(self, jobs: List[str]) -> None:
        """Runs of a task never overlap nor start after an acknowledged end; steps run in order."""
        runs: Dict[str, List[dict]] = {}
        for minion in self.minions:
            for run in minion.history:
                runs.setdefault(run["task"], []).append(run)
        acknowledged = {task: when for minion in self.minions
                        for task, how, when in minion.acknowledged_ends if how == "done"}
        for task, task_runs in runs.items():
            task_runs.sort(key=lambda run: run["start"])
            for earlier, later in zip(task_runs, task_runs[1:]):
                assert earlier["end"] and earlier["end"] <= later["start"], (earlier, later)
                assert later["start"] <= acknowledged.get(task, later["start"]), \
                    ("started after its acknowledged end", later)
        for job in jobs:
            first = [run for index in range(3) for run in runs[f"{job}.0.0.{index}"]]
            second = [run for index in range(3) for run in runs[f"{job}.0.1.{index}"]]
            ended = max(min(run["end"] for run in first if run["task"] == task and
                            run["how"] == "done") for task in {run["task"] for run in first})
            assert ended <= min(run["start"] for run in second), ("steps out of order", job)


def test_without_faults(build: str) -> None:
    with Platform(build, 1) as platform:
        jobs = [platform.submit(number) for number in range(1, 6)]
        platform.await_done(jobs, 15)
        platform.check_runs(jobs)
        runs = sum(len(minion.history) for minion in platform.minions)
        assert runs == 30, f"{runs} runs of 30 tasks"
        assert platform.call(0, "GET", "f" * 16).status == 410


def test_cancelled_job_ends(build: str) -> None:
    with Platform(build, 2) as platform:
        job = "c" * 16
        platform.request_any("POST", job, {"spec": "60000", "steps": [
            {"count": 2, "cpu": 500, "memMb": 100, "estimateMs": 100, "longRunning": True}]})
        platform.await_state(job, "running")
        platform.request_any("DELETE", job)
        platform.await_state(job, "cancelled")
        wait_until(lambda: all(run["end"] for minion in platform.minions
                               for run in minion.history),
                   10, "the runs of a cancelled job to end", pause=0.05)


def test_pending_count_survives_lost_history_and_restart(build: str) -> None:
    # Jobs that no owner had touched vanished from the count after a reload of the states.
    with Platform(build, 3) as platform:
        for number in range(1, 5):
            platform.request_any("POST", f"{number:016x}", {"spec": "100", "steps": [
                {"count": 1, "cpu": 5000, "memMb": 100, "estimateMs": 100}]})

        def pending(entry: int) -> Optional[int]:
            response = platform.call(entry, "GET", "")
            return response.json()["pending"] if response.status == 200 else None

        for entry in range(ENTRIES):
            wait_until(lambda: pending(entry) == 4, 20,
                       f"entry {entry} to count 4 jobs that fit no minion; logs in "
                       f"{platform.folder}", pause=0.05)
        platform.store.forget_history()
        wait_until(lambda: platform.store.reloads.get("lav-state", 0) == ENTRIES, 20,
                   "the entries to reload the states")
        for _ in range(40):
            for entry in range(ENTRIES):
                assert pending(entry) == 4, f"{pending(entry)} pending after lost history"
            time.sleep(0.05)
        platform.entries[0].send(signal.SIGKILL)
        platform.entries[0].process.wait()
        platform.entries[0].start()
        # A restarted entry answered 0 until it had read the states.
        answers: List[Optional[int]] = []

        def answered() -> bool:
            answers.append(pending(0))
            return answers[-1] is not None

        wait_until(answered, 20, "an answer of the restarted entry", pause=0.005)
        assert answers[-1] == 4, f"{answers[-1]} pending after a restart"


def test_restart_without_check_ins(build: str) -> None:
    # While the check-ins of a restarted minion were lost, its agent went on with the former
    # incarnation: the next one carried out its calls, and the runs there counted as alive.
    with Platform(build, 6) as platform:
        job = f"{1:016x}"
        platform.request_any("POST", job, {"spec": "60000", "steps": [
            {"count": 1, "cpu": 500, "memMb": 100, "estimateMs": 100, "longRunning": True}]})
        platform.await_state(job, "running")
        host = next(minion for minion in platform.minions if minion.history)
        former = host.fence()
        host.check_ins_lost = True
        host.crash()
        time.sleep(0.7)
        host.start_incarnation()
        wait_until(lambda: host.fence() > former, 3, "a call that is meant for the restarted minion")
        runs = [minion.history for minion in platform.minions if minion is not host]
        wait_until(lambda: any(runs), 3, "the run to be placed on another minion")
        assert len(host.history) == 1, host.history
        host.check_ins_lost = False


def open_connections(port: int) -> list:
    """Idle connections after a response, and one on which half of a request was sent."""
    connections = []
    for _ in range(5):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
        connection.request("GET", "/q/", headers={"Host": "h.example"})
        connection.getresponse().read()
        connections.append(connection)
    partial = socket.create_connection(("127.0.0.1", port))
    partial.sendall(b"POST /q/" + b"9" * 16 + b" HTTP/1.1\r\nHost: h.example\r\n"
                    b"Content-Length: 100\r\n\r\n{")
    return connections + [partial]


def stop_and_check(platform: Platform, programs: List[Program]) -> None:
    """The processes end by themselves before the platform kills them, and their logs are whole."""
    killed_at = time.monotonic() + platform.grace_ms / 1000
    for program in programs:
        program.send(signal.SIGTERM)
    for program in programs:
        name = program.settings["vm"]
        try:
            status = program.process.wait(max(killed_at - time.monotonic(), 0))
        except subprocess.TimeoutExpired:
            raise AssertionError(f"{name} still runs at the end of the grace time; logs in "
                                 f"{platform.folder}") from None
        assert status == 0, f"{name} ended with {status}"
        with open(program.log.name, encoding="utf-8") as log:
            messages = [json.loads(line)["message"] for line in log]
        assert messages.count("stopped") == messages.count("stopping"), \
            f"{name} ended without its last log lines"


def test_planned_stop_ends_in_time(build: str) -> None:
    # The destruction of servers, followers and loops outlasted the grace time.
    with Platform(build, 4) as platform:
        job = "a" * 16
        platform.request_any("POST", job, {"spec": "60000", "steps": [
            {"count": 3, "cpu": 500, "memMb": 100, "estimateMs": 100, "longRunning": True}]})
        platform.await_state(job, "running")
        for entry, program in enumerate(platform.entries):
            wait_until(lambda: platform.call(entry, "GET", "").status == 200, 20,
                       f"entry {entry} to answer; logs in {platform.folder}")
            connections = open_connections(platform.callers[entry])
            stop_and_check(platform, [program])
            for connection in connections:
                connection.close()
            program.start()
        stop_and_check(platform, platform.agents)
        leases = [minion.lease_end() for minion in platform.minions]
        for program in platform.agents:
            program.start()
        # Only an agent that knows its minion's runs renews their lease.
        hosts = [index for index, minion in enumerate(platform.minions) if minion.history]
        wait_until(lambda: all(platform.minions[index].lease_end() > leases[index]
                               for index in hosts), 10, "the leases to be renewed")
        runs = [(run["task"], run["run"], run["how"]) for minion in platform.minions
                for run in minion.history]
        assert sorted(runs) == [(f"{job}.0.0.{index}", 1, "running") for index in range(3)], runs


def test_planned_stop_without_store(build: str) -> None:
    # A stop waited longer for the store than the platform waits for the process.
    with Platform(build, 5, grace_ms=4000) as platform:
        platform.await_done([platform.submit(1)], SETTLE_S)
        answers: List[int] = []

        def submit(entry: int, job: str) -> None:
            answers.append(platform.call(entry, "POST", job, {"spec": "100", "steps": [
                {"count": 1, "cpu": 500, "memMb": 100, "estimateMs": 100}]}).status)

        jobs = [f"{100 + entry:016x}" for entry in range(ENTRIES)]
        callers = [threading.Thread(target=submit, args=call) for call in enumerate(jobs)]
        platform.store.silent.set()
        try:
            for thread in callers:
                thread.start()
            for job in jobs:
                wait_until(lambda: any(job.encode() in body for body in
                                       list(platform.store.unanswered)),
                           10, f"job {job} at the store", pause=0.01)
            stop_and_check(platform, platform.entries + platform.agents)
            for thread in callers:
                thread.join()
        finally:
            platform.store.silent.clear()
        assert len(answers) == ENTRIES and set(answers) <= {503, 504}, answers


def inject_fault(platform: Platform, rng: random.Random) -> None:
    """Injects one random fault and returns when it is over."""
    fault = rng.choice(["kill entry", "kill agent", "freeze entry", "freeze agent", "stop entry",
                        "store down", "responses lost", "minion crash"])
    length = rng.uniform(0.5, 4.0)
    kind = platform.entries if "entry" in fault else platform.agents
    program = rng.choice(kind)
    print(f"  {fault} for {length:.1f} s", flush=True)
    if fault.startswith("kill"):
        program.send(signal.SIGKILL)
    elif fault.startswith("freeze"):
        program.send(signal.SIGSTOP)
    elif fault.startswith("stop"):
        program.send(signal.SIGTERM)
        length = max(length, GRACE_MS / 1000 + 1)
    elif fault == "store down":
        platform.store.down_until = time.monotonic() + length
    elif fault == "responses lost":
        platform.store.lost_until = time.monotonic() + length
    else:
        minion = rng.choice(platform.minions)
        minion.crash()
        time.sleep(length)
        minion.start_incarnation()
        return
    time.sleep(length)
    program.send(signal.SIGCONT)
    if program.process.poll() is None and fault.startswith(("kill", "stop")):
        program.process.wait()
    program.start()


def run_seed(build: str, seed: int, faults: int) -> None:
    rng = random.Random(seed)
    with Platform(build, seed) as platform:
        jobs = [platform.submit(1)]
        for number in range(2, 2 + faults):
            inject_fault(platform, rng)
            jobs.append(platform.submit(number))
        platform.await_done(jobs, SETTLE_S)
        platform.check_runs(jobs)


def test_faults(build: str) -> None:
    """Runs the seeds 1 and 2, or those given as LAVENDER_SEEDS=FIRST-LAST."""
    first, _, last = os.environ.get("LAVENDER_SEEDS", "1-2").partition("-")
    for seed in range(int(first), int(last or first) + 1):
        print(f" seed {seed}", flush=True)
        run_seed(build, seed, 6)


if __name__ == "__main__":
    run_cases(globals())
