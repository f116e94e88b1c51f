"""Starts the two platform programs of the deploy file against the stand-ins, on loopback."""
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from http_stand_in import call
from minion_stand_in import Minion
from store_stand_in import Store

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "jobs.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2
_given = set()


class CannotRun(Exception):
    """The case could not be run; says nothing about the rule."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count):
    """Free ports below those that the system gives to outgoing channels, which could take one
    before the program that it is meant for has started."""
    ports = []
    while len(ports) < count:
        port = random.randrange(15_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _given:
            _given.add(port)
            ports.append(port)
    return ports


class Record:
    """record.txt of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self._lock = threading.Lock()
        self.began = time.monotonic()

    def __call__(self, text, at=None):
        line = f"{(at or time.monotonic()) - self.began:8.3f} {text}"
        with self._lock:
            self._file.write(line + "\n")
            self._file.flush()


class Program:
    """A process of one program; each start has the same settings."""

    def __init__(self, kind, folder, settings):
        self.name = settings["vm"]
        self.path = os.path.join(folder, self.name + ".json")
        self.settings = settings
        self.command = [os.path.join(ROOT, os.environ.get("PROGRAMS", "target"),
                                     "lavender-platform-" + kind)]
        if not os.access(self.command[0], os.X_OK):
            raise CannotRun(self.command[0].replace(ROOT + "/", "") + " is not built")
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.log_path = os.path.join(folder, self.name + ".log")
        self.process = None
        self.start()

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "LAVENDERARCH_SETTINGS": self.path})

    def send(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.process.wait()

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            for line in file:
                try:
                    yield json.loads(line)
                except ValueError:
                    continue


class Deployment:
    """A store, entries, agents and their minions. Stops all that it started on exit."""

    def __init__(self, record, entries=3, minions=4, capacity=None, routes=None, bounds=None,
                 zones=("nottingham", "leicester", "wolverhampton")):
        self.record = record
        self.bounds = {"maxHoldMs": 10_000, "graceS": 6, "status_s": 120, "cancel_ms": 3000,
                       "evacuateMs": 5000, **(bounds or {})}
        self.folder = tempfile.mkdtemp(prefix="review-case-")
        self.store = Store()
        self.routes = routes or [{"name": "q", "hostname": HOST, "pathPrefix": "/q/",
                                  "service": "course-desk", "priority": 0, "attempts": 2,
                                  "stretch": 1.5, "targetLatencyMs": 400, "timeoutMs": 3000}]
        self.version = 3
        self.configure(self.routes)
        self.programs, self.entries, self.agents, self.minions, self.fronts = [], [], [], [], []
        capacity = capacity or {"cpu": 32_000, "memMb": 128_000, "gpu": 0}
        try:
            for index in range(minions):
                zone = zones[index % len(zones)]
                control, own = free_ports(2)
                minion = Minion(f"i-{0x7f3a91c0 + index:08x}", "course-desk", zone,
                                f"r1-{index // 3}", control, capacity, self.bounds["maxHoldMs"])
                self.minions.append(minion)
                self.agents.append(Program("agent", self.folder, self._settings(
                    f"side-{zone}-{index}", zone, own, 0.15, 128, 4096,
                    checkIns=f"127.0.0.1:{control}", minion=minion.server.address,
                    service="course-desk")))
            for index in range(entries):
                zone = zones[index % len(zones)]
                front, ready, own = free_ports(3)
                self.fronts.append(front)
                self.entries.append(Program("entry", self.folder, self._settings(
                    f"front-{zone}-{index}", zone, own, 0.25, 260, 4100,
                    callers=f"127.0.0.1:{front}", readiness=f"127.0.0.1:{ready}")))
            self.programs = self.entries + self.agents
        except BaseException:
            self.programs = self.entries + self.agents
            self.__exit__(None, None, None)
            raise

    def _settings(self, vm, zone, own, share, memory, descriptors, **more):
        """What the template of the deploy file makes of the settings of the platform."""
        return {"vm": vm, "host": "127.0.0.1", "dataCentre": zone, "store": self.store.address,
                "ownPort": own, "longestLeaseMs": self.bounds["maxHoldMs"],
                "gracePeriodMs": self.bounds["graceS"] * 1000,
                "retentionS": self.bounds["status_s"], "cancelMs": self.bounds["cancel_ms"],
                "evacuateMs": self.bounds["evacuateMs"], "cpuShare": share, "cores": 1,
                "memoryMb": memory, "maxDescriptors": descriptors, "control": "call", **more}

    def configure(self, routes):
        self.version += 4
        self.store.put("op", "config", {
            "version": self.version, "limits": {}, "routes": routes,
            "services": [{"name": name} for name in sorted({r["service"] for r in routes})]})

    def __enter__(self):
        return self

    def __exit__(self, *args):
        for program in self.programs:
            program.send(signal.SIGCONT)
            program.kill()
        for minion in self.minions:
            minion.close()
        self.store.server.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def call(self, entry, method, path, document=None, note=True):
        status, answer = call(self.fronts[entry], method, path, document,
                              {"Host": HOST, "Lavenderarch-Request-Deadline": "3000"}, 3.0)
        if note:
            self.record(f"{method} {path} at {self.entries[entry].name}: {status} {answer}")
        return status, answer

    def submit(self, job, document, entry=0, prefix="/q/", attempts=5):
        """A client that hands a job in and, like those of the pages, tries again elsewhere."""
        for turn in range(attempts):
            status, _ = self.call((entry + turn) % len(self.entries), "POST", prefix + job,
                                  document)
            if 200 <= status < 300:
                return True
            time.sleep(0.3)
        return False

    def await_start(self, within_s=20):
        """Waits until a first job has been done, so that all programs are known to work."""
        until = time.monotonic() + within_s
        job = "0" * 15 + "1"
        document = {"spec": json.dumps({"ms": 50}),
                    "steps": [{"count": 1, "cpu": 100, "memMb": 10, "estimateMs": 50}]}
        accepted = False
        while time.monotonic() < until:
            for program in self.programs:
                if program.process.poll() is not None:
                    raise CannotRun(f"{program.name} ended early with {program.process.poll()}")
            if not accepted:
                accepted = self.call(0, "POST", "/q/" + job, document, note=False)[0] == 200
            elif self.call(0, "GET", "/q/" + job, note=False) == (200, {"state": "done"}):
                return
            time.sleep(0.2)
        raise CannotRun("the first job was not done; logs were in the temporary folder")

    def runs(self):
        """All runs of all tasks, in the order of their starts."""
        return sorted((run for minion in self.minions for run in list(minion.history)),
                      key=lambda run: run["start"])

    def write_runs(self):
        for run in self.runs():
            end = "-" if run["end"] is None else f"{run['end'] - self.record.began:.3f}"
            self.record(f"run {run['task']}#{run['run']} on {run['minion']} until {end}: "
                        f"{run['how']}", run["start"])
        for at, reason in self.store.refusals:
            self.record(f"store refused a call: {reason}", at)
        self.record(f"store: {self.store.commits} transactions stored, {self.store.refused} "
                    "refused")

    def write_log(self, *messages):
        """The log lines with one of the messages go into the record."""
        for program in self.programs:
            for line in program.log():
                if any(message in line.get("message", "") for message in messages):
                    self.record(f"log of {program.name}: {json.dumps(line)[:400]}")


def run_case(folder, case):
    """Runs `case(record)`, which returns the broken rules as texts, and exits as the issue says."""
    record = Record(folder)
    try:
        broken = case(record)
    except CannotRun as error:
        record(f"could not run: {error}")
        print("could not run:", error)
        sys.exit(NOT_RUN)
    for text in broken:
        record("BROKEN " + text)
        print("BROKEN", text)
    record("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)
