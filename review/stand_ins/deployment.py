"""Starts the project's programs with the commands and the template of the deploy file."""
import http.client
import json
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

from .minion import Minion
from .store import Store

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"
SERVICE = "course-desk"
# Figures of the small deployment poolside-ops, as its settings give them.
BOUNDS = {
    "contactMs": 4000, "ackTimeoutMs": 5000, "drainMs": 2500, "graceS": 6, "lossSlackMs": 200,
    "configApplyMs": 2500, "evacuateMs": 5000, "maxHoldMs": 10000, "stopTimeoutMs": 900,
    "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
    "status_s": 120}
ZONES = {"nottingham": "east-mids", "leicester": "east-mids", "wolverhampton": "west-mids"}
CAPACITY = {"cpu": 32000, "memMb": 128000, "gpu": 0}


class CannotRun(Exception):
    """The case could not be carried out, so that it says nothing about the rule."""


BLOCK_PORTS = 100
_held_blocks = []  # sockets that keep other scripts out of the blocks of this one
_block_ports = []


def free_ports(count: int) -> list:
    """Free ports below the range from which the system takes those of outgoing channels. They come
    from blocks of which a script holds the first port, so that two scripts never share one."""
    with open("/proc/sys/net/ipv4/ip_local_port_range", encoding="ascii") as file:
        first_ephemeral = int(file.read().split()[0])
    starts = list(range(10_000, max(first_ephemeral, 12_000) - BLOCK_PORTS, BLOCK_PORTS))
    random.shuffle(starts)
    ports = []
    while len(ports) < count:
        if not _block_ports:
            if not starts:
                raise CannotRun("too few free ports")
            start = starts.pop()
            holder = socket.socket()
            try:
                holder.bind((HOST, start))
            except OSError:
                holder.close()
                continue
            _held_blocks.append(holder)
            _block_ports.extend(range(start + 1, start + BLOCK_PORTS))
        port = _block_ports.pop()
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        ports.append(port)
    return ports


def fill(template: str, fields: dict) -> str:
    """Fills in the placeholders and sections that the template of the deploy file uses."""
    def value(name):
        found = fields
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)] if part.isdigit() and int(part) < len(found) else None
            elif isinstance(found, dict):
                found = found.get(part)
            else:
                return None
        return found

    def section(match):
        content = value(match.group(1))
        return match.group(2) if content not in (None, False, "", [], {}) else ""

    def placeholder(match):
        content = value(match.group(1))
        if match.group(2):
            return json.dumps(content)
        return "" if content is None else str(content)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


def route(name: str, **overrides) -> dict:
    """A queue of the configuration."""
    return {"name": name, "hostname": name + ".example", "pathPrefix": "/" + name + "/",
            "service": SERVICE, "kind": "non_idempotent", "timeoutMs": 3000,
            "targetLatencyMs": 1000, "attempts": 3, "priority": 0, "stretch": 2.0, **overrides}


def configuration(version: int, routes: list) -> dict:
    return {"version": version, "limits": {}, "routes": routes,
            "services": [{"name": SERVICE, "admissionCheck": False}]}


class Program:
    """One process of the project; each start uses the same settings."""

    def __init__(self, command, settings, folder, name, record):
        self.name = name
        self._record = record
        self._path = os.path.join(folder, name + ".settings")
        with open(self._path, "w", encoding="utf-8") as file:
            file.write(settings)
        self._command = command
        self.log_path = os.path.join(folder, name + ".log")
        self._log = open(self.log_path, "ab")
        self.process = None
        self.start()

    def start(self) -> None:
        inherited = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                     if name in os.environ}
        self.process = subprocess.Popen(
            self._command, cwd=ROOT, stdout=self._log, stderr=self._log,
            env={**inherited, "LAVENDERARCH_SETTINGS": self._path})
        self._record.add("process started", name=self.name)

    def send(self, number: int) -> None:
        self._record.add("signal", name=self.name, signal=signal.Signals(number).name)
        if self.process.poll() is None:
            self.process.send_signal(number)

    def running(self) -> bool:
        return self.process.poll() is None

    def end(self) -> None:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self._log.close()


class Deployment:
    """Three `front` machines, `sides` side machines with a minion each, and the store."""

    def __init__(self, record, sides=4, fronts=3, store_of=None, capacity=None, labels_of=None,
                 bounds=None):
        """`store_of(name, store)` may give a machine another address of the store."""
        self.record = record
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.programs, self.minions, self.fronts = [], [], []
        self._ports = free_ports(1 + 3 * sides + 3 * fronts)
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self._roles = tomllib.load(file)["roles"]
        self.store = Store((HOST, self._ports.pop()), record)
        self._store_of = store_of or (lambda name, store: store.address)
        self._sides, self._front_count = sides, fronts
        self._capacity, self._labels_of = capacity or CAPACITY, labels_of

    def start(self, routes: list, version=3) -> None:
        self.store.put("op", "config", configuration(version, routes))
        zones = list(ZONES)
        for index in range(self._front_count):
            front, ready, own = (self._ports.pop() for _ in range(3))
            zone = zones[index % len(zones)]
            self.fronts.append(front)
            self._add("front", f"front-{zone}-{index // len(zones) + 1}", zone, 0.25, own, {
                "listenAddrs": {"front": f"{HOST}:{front}", "readyAddr": f"{HOST}:{ready}"}})
        for index in range(self._sides):
            control, app, own = (self._ports.pop() for _ in range(3))
            zone = zones[index % len(zones)]
            self._add("side", f"side-{zone}-{index // len(zones) + 1}", zone, 0.15, own, {
                "listenAddrs": {"control": f"{HOST}:{control}"}, "app": f"{HOST}:{app}",
                "service": SERVICE})
            labels = self._labels_of(index) if self._labels_of else ["a", f"r1-{index // 3}"]
            self.minions.append(Minion(f"i-7f3a91c{index:x}", SERVICE, zone, labels,
                                       self._capacity, (HOST, app), (HOST, control), self.record,
                                       self.bounds))

    def _add(self, machine_class, name, zone, share, own_port, fields) -> None:
        role = next(each for each in self._roles.values() if each["on"] == machine_class)
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            template = file.read()
        settings = fill(template, {
            "node": name, "machineClass": machine_class, "ip": HOST, "zone": zone,
            "region": ZONES[zone], "zones": ZONES, "portRange": [own_port, own_port],
            "limits": {"cpuShare": share, "cores": 1, "memoryMb": 260, "maxFds": 4100},
            "bounds": self.bounds, "controlMode": "call", "heartbeatMs": 1100,
            "platform": {"address": self._store_of(name, self.store), "rowBytes": 65536},
            **fields})
        command = role["run"].split()
        command[0] = os.path.join(ROOT, command[0])
        if not os.path.exists(command[0]):
            raise CannotRun("the build of the deploy file is missing: " + role["run"])
        self.programs.append(Program(command, settings, self.folder.name, name, self.record))

    def program(self, name: str) -> Program:
        return next(each for each in self.programs if each.name == name)

    def owner(self):
        """The owner record of the service's cell, as the project stores it; None without one."""
        value = self.store.value("lav-owner", SERVICE, "owner")
        return None if value is None else json.loads(value)

    def call(self, front: int, method: str, queue: str, job: str, body=None, timeout=3.0,
             quiet=False):
        """One request of a client on a channel of its own. Returns the status and the document;
        status 0 without an answer."""
        text = b"" if body is None else json.dumps(body).encode()
        sent = self.record.now()
        connection = http.client.HTTPConnection(HOST, self.fronts[front % len(self.fronts)],
                                                timeout=timeout)
        try:
            connection.request(method, f"/{queue}/{job}", text, {
                "Host": queue + ".example", "Content-Type": "application/json",
                "Lavenderarch-Request-Deadline": str(int(timeout * 1000))})
            response = connection.getresponse()
            status, answer = response.status, response.read()
        except (OSError, http.client.HTTPException):
            status, answer = 0, b""
        finally:
            connection.close()
        try:
            document = json.loads(answer) if answer else {}
        except ValueError:
            document = {}
        if not quiet:
            self.record.add("request", method=method, queue=queue, job=job,
                            front=front % len(self.fronts), sent=round(sent, 3), status=status,
                            answer=document)
        return status, document

    def submit(self, queue: str, job: str, body, front=0, attempts=6) -> float:
        """Hands a job in as a client does, at another front after each failed attempt. Returns
        the time of the 2xx."""
        for attempt in range(attempts):
            status, _ = self.call(front + attempt, "POST", queue, job, body)
            if status == 200:
                return self.record.now()
            time.sleep(0.3)
        raise CannotRun(f"job {job} was not accepted")

    def cancel(self, queue: str, job: str, front=0, attempts=6) -> float:
        """Cancels a job; returns the time of the 2xx."""
        for attempt in range(attempts):
            status, _ = self.call(front + attempt, "DELETE", queue, job)
            if status == 200:
                return self.record.now()
            time.sleep(0.1)
        raise CannotRun(f"the cancelling of job {job} was not acknowledged")

    def state(self, queue: str, job: str, front=0, quiet=True):
        """The state that a GET shows, or the status as a text."""
        status, document = self.call(front, "GET", queue, job, quiet=quiet)
        return document.get("state") if status == 200 else str(status)

    def await_state(self, queue: str, job: str, state: str, within_s: float) -> bool:
        until = time.monotonic() + within_s
        turn = 0
        while time.monotonic() < until:
            if self.state(queue, job, turn) == state:
                return True
            turn += 1
            time.sleep(0.1)
        return False

    def await_working(self, queue: str, within_s=40.0) -> None:
        """Waits until a small job is done, and until each front answers."""
        warm = "0" * 15 + "1"
        body = {"spec": json.dumps({"ms": 200}), "steps": [
            {"count": 4, "cpu": 500, "memMb": 100, "estimateMs": 200}]}
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if self.call(0, "POST", queue, warm, body)[0] == 200:
                break
            time.sleep(0.5)
        if not self.await_state(queue, warm, "done", max(until - time.monotonic(), 1)):
            raise CannotRun("the deployment does not serve before the disruption")
        for front in range(len(self.fronts)):
            while self.state(queue, warm, front) != "done":
                if time.monotonic() > until:
                    raise CannotRun("a front does not answer before the disruption; "
                                    f"ended: {self.ended()}")
                time.sleep(0.2)

    def ended(self) -> list:
        """The programs that have ended by themselves, each with its last line of the log."""
        found = []
        for program in self.programs:
            if not program.running():
                with open(program.log_path, encoding="utf-8", errors="replace") as log:
                    found.append((program.name, (log.read().splitlines() or [""])[-1][-200:]))
        return found

    def running(self) -> list:
        return sorted(task for minion in self.minions for task in minion.running())

    def stop(self) -> None:
        for program in self.programs:
            program.end()
        for minion in self.minions:
            minion.stop()
        self.store.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for program in self.programs:
                with open(program.log_path, "rb") as log, \
                        open(os.path.join(keep, program.name + ".log"), "wb") as copy:
                    copy.write(log.read())
        self.folder.cleanup()
