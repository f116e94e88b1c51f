"""A small deployment on loopback: the platform programs as separate processes, a store, minions,
and clients. Used by the scripts of the cases."""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from typing import Awaitable, Callable, Dict, List, Optional

from minion import Minion
from store import Store
from wire import send

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAMS = {"entry": "target/lavender-platform-entry", "agent": "target/lavender-platform-agent"}
ZONES = ["nottingham", "leicester", "wolverhampton"]
HOST = "nony24.example"
SERVICE = "huvo11a"
BOUNDS = {"longestLeaseMs": 10000, "gracePeriodMs": 6000, "retentionS": 120, "cancelMs": 3000,
          "evacuateMs": 5000, "control": "call"}
CLIENT_RETRIES = 4
CLIENT_TIMEOUT_S = 3.0
START_S = 15.0


class CaseCannotRun(Exception):
    """The case has found no verdict."""


class Ports:
    """A block of ports below those of outgoing connections. The first one stays bound, so that
    two runs beside each other take different blocks."""

    SIZE = 64

    def __init__(self) -> None:
        blocks = list(range(16000, 32000, self.SIZE))
        random.shuffle(blocks)
        for first in blocks:
            self._guard = socket.socket()
            try:
                self._guard.bind(("127.0.0.1", first))
            except OSError:
                self._guard.close()
                continue
            self._left = [port for port in range(first + 1, first + self.SIZE) if is_free(port)]
            return
        raise CaseCannotRun("no free ports")

    def take(self) -> int:
        if not self._left:
            raise CaseCannotRun("too few free ports")
        return self._left.pop(0)

    def close(self) -> None:
        self._guard.close()


def is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def route(name: str, prefix: str, priority: int = 0, attempts: int = 2,
          service: str = SERVICE) -> dict:
    return {"name": name, "hostname": HOST, "pathPrefix": prefix, "kind": "non_idempotent",
            "timeoutMs": 3000, "targetLatencyMs": 400, "priority": priority, "service": service,
            "attempts": attempts, "stretch": 1.5, "allowedRegions": []}


def config(version: int, routes: List[dict], services: Optional[List[str]] = None) -> dict:
    return {"version": version, "routes": routes,
            "services": [{"name": name, "healthPath": "/health", "maxConns": 64, "protocol": "h1",
                          "tls": False, "coldStartS": 0.0, "coldPerS": 0.0,
                          "admissionCheck": False, "standby": False}
                         for name in services or [SERVICE]],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


class Program:
    """A process of a platform program, started with the command of the deploy file."""

    def __init__(self, kind: str, folder: str, settings: dict):
        self.name = settings["vm"]
        self.settings = settings
        self._command = [os.path.join(ROOT, PROGRAMS[kind])]
        self._file = os.path.join(folder, self.name + ".json")
        self.log = os.path.join(folder, self.name + ".log")
        self.process: Optional[subprocess.Popen] = None

    def start(self) -> None:
        with open(self._file, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "LAVENDERARCH_SETTINGS": self._file})

    def send(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        if self.process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            self.process.wait()


class Deployment:
    """Entries, agents and minions in several zones. `minions` gives capacity and labels of each,
    `bounds` the settings that differ from those of poolside-ops."""

    def __init__(self, folder: str, entries: int, minions: List[dict],
                 bounds: Optional[dict] = None):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began = time.monotonic()
        self._record = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self._temporary = tempfile.mkdtemp(prefix="lavender-review-")
        self._ports = Ports()
        self.store = Store(self._ports.take())
        self.callers: List[str] = []
        self.entries: List[Program] = []
        self.agents: List[Program] = []
        self.minions: List[Minion] = []
        self._bounds = {**BOUNDS, **(bounds or {})}
        self._turn = 0
        for index in range(entries):
            zone = ZONES[index % len(ZONES)]
            self.callers.append(f"127.0.0.1:{self._ports.take()}")
            self.entries.append(Program("entry", self._temporary, {
                **self._settings(f"front-{zone}-{index // 3 + 1}", zone, self._ports.take(), 0.25),
                "callers": self.callers[-1], "readiness": f"127.0.0.1:{self._ports.take()}"}))
        for index, kind in enumerate(minions):
            zone = ZONES[index % len(ZONES)]
            control, app = f"127.0.0.1:{self._ports.take()}", self._ports.take()
            self.agents.append(Program("agent", self._temporary, {
                **self._settings(f"side-{zone}-{index // 3 + 1}", zone, self._ports.take(), 0.15),
                "checkIns": control, "minion": f"127.0.0.1:{app}", "service": SERVICE}))
            self.minions.append(Minion(
                self.note, f"m{index + 1}", SERVICE, zone, app, control,
                self._bounds["longestLeaseMs"],
                {"cpu": kind.get("cpu", 32000), "memMb": kind.get("memMb", 128000), "gpu": 0},
                kind.get("labels", ["a", f"r1-{index // 3 + 1}"])))
        self.note(f"trouble: {'yes' if self.trouble else 'no'}")

    def _settings(self, name: str, zone: str, own_port: int, cpu_share: float) -> dict:
        return {"vm": name, "host": "127.0.0.1", "dataCentre": zone, "store": self.store.address,
                "ownPort": own_port, "cpuShare": cpu_share, "cores": 1, **self._bounds}

    def note(self, text: str) -> None:
        if not self._record.closed:
            self._record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def now(self) -> float:
        return time.monotonic() - self.began

    async def start(self, first_config: dict) -> None:
        """Starts everything and waits until the entries are ready."""
        for path in PROGRAMS.values():
            if not os.path.exists(os.path.join(ROOT, path)):
                raise CaseCannotRun(f"{path} is missing; run the build of the deploy file")
        await self.store.server.start()
        await self.set_config(first_config)
        for program in self.entries + self.agents:
            program.start()
        await self.wait_for(self._agents_listen, START_S, "the agents to listen")
        for minion in self.minions:
            await minion.start()
        await self.wait_for(self._ready, START_S, "the entries to be ready")

    async def _agents_listen(self) -> bool:
        self.check_processes()
        answers = [await send(agent.settings["checkIns"], "GET", "/", timeout=1.0)
                   for agent in self.agents]
        return all(status != 0 for status, _ in answers)

    async def _ready(self) -> bool:
        self.check_processes()
        answers = [await send(entry.settings["readiness"], "GET", "/-/ready", timeout=1.0)
                   for entry in self.entries]
        return all(status == 200 for status, _ in answers)

    def check_processes(self) -> None:
        for program in self.entries + self.agents:
            if program.process is not None and program.process.poll() is not None:
                raise CaseCannotRun(f"{program.name} has ended with {program.process.returncode}")

    async def wait_for(self, condition: Callable[[], Awaitable[bool]], within_s: float,
                       what: str) -> None:
        until = time.monotonic() + within_s
        while not await condition():
            if time.monotonic() > until:
                raise CaseCannotRun(f"timed out waiting for {what}")
            await asyncio.sleep(0.1)

    async def set_config(self, document: dict) -> None:
        await self.store.put("op", "config", document)
        names = ", ".join(each["name"] for each in document["routes"])
        self.note(f"operator: config {document['version']} acknowledged, routes: {names}")

    async def call(self, method: str, path: str, document: Optional[object] = None,
                   caller: Optional[str] = None):
        """One attempt of a client, at the next entry."""
        self._turn += 1
        address = caller or self.callers[self._turn % len(self.callers)]
        status, answer = await send(address, method, path, document,
                                    {"Host": HOST, "Lavenderarch-Request-Deadline":
                                     str(int(CLIENT_TIMEOUT_S * 1000))}, CLIENT_TIMEOUT_S)
        entry = self.entries[self.callers.index(address)].name
        shown = "no answer" if status == 0 else f"{status} {json.dumps(answer)}"
        self.note(f"client: {method} {path} at {entry} -> {shown[:160]}")
        return status, answer

    async def submit(self, path: str, document: dict, attempts: int = CLIENT_RETRIES + 1) -> bool:
        """Hands a job in, with the client's retries; true when it was accepted."""
        for _ in range(attempts):
            status, _ = await self.call("POST", path, document)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.2)
        return False

    async def state(self, path: str) -> Optional[str]:
        status, answer = await self.call("GET", path)
        if status == 200 and isinstance(answer, dict):
            return answer.get("state")
        return "410" if status == 410 else None

    def runs(self, job: str, step: Optional[int] = None) -> list:
        """All runs of the job's tasks, on all minions."""
        prefix = job + "." if step is None else f"{job}.0.{step}."
        return [run for minion in self.minions for run in minion.history
                if run.task.startswith(prefix)]

    def log_lines(self, text: str) -> List[str]:
        lines = []
        for program in self.entries + self.agents:
            with open(program.log, encoding="utf-8", errors="replace") as log:
                lines += [f"{program.name}: {line.strip()}" for line in log if text in line]
        return lines

    def close(self) -> None:
        for program in self.entries + self.agents:
            program.end()
        for minion in self.minions:
            minion.close()
        self.store.server.close()
        self._ports.close()
        self._record.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self._temporary)
        else:
            shutil.rmtree(self._temporary, ignore_errors=True)


def run_case(case: Callable[[Deployment], Awaitable[Optional[str]]], folder: str, entries: int,
             minions: List[dict], limit_s: float = 115.0, **options) -> None:
    """Runs `case`, which returns how the rule was broken, or None. Ends the process with 1 if the
    rule was broken, 0 if it held, and 2 if the case could not run."""

    async def main() -> int:
        deployment = None
        try:
            deployment = Deployment(folder, entries, minions, **options)
            # A case that is told to end takes its processes with it.
            this_task = asyncio.current_task()
            for number in (signal.SIGTERM, signal.SIGINT):
                asyncio.get_running_loop().add_signal_handler(number, this_task.cancel)
            broken = await asyncio.wait_for(case(deployment), limit_s)
            deployment.check_processes()
            verdict = "the rule held" if broken is None else "the rule was broken: " + broken
            code = 0 if broken is None else 1
        except (Exception, asyncio.CancelledError) as error:  # the case has no verdict
            if not isinstance(error, (CaseCannotRun, asyncio.CancelledError)):
                traceback.print_exc()
            verdict, code = f"the case could not run: {error or type(error).__name__}", 2
        if deployment is not None:
            deployment.note(verdict)
            deployment.close()
        print(verdict)
        return code

    sys.exit(asyncio.run(main()))
