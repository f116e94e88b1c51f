"""Stand-in of a minion as the page on running tasks describes it.

The spec of a task is a JSON text: `ms` is its work in milliseconds. `how` is `failed` for one that
fails by its own fault. `saves` makes it checkpoint. `serves` is the tail latency in milliseconds of
a task that lasts; `fills` is the cpu that a task in use takes. `gang` is the number of members that
have to be present before the work begins.
"""
import json
import threading
import time

from http_stand_in import JsonServer, NoAnswer, call

ENDS_AT_ONCE = 500
CHECKPOINT_S = 1.0
GANG_TIMEOUT_S = 3.0

_gangs = {}  # (step, run): the members that are present, on all minions
_gangs_lock = threading.Lock()


class Minion:
    """`history` has all runs of all lifetimes; `told` all ends up to which lastSeen has reached."""

    def __init__(self, name, service, zone, rack, control_port, capacity, hold_max_ms):
        self.name, self.service, self.zone, self.rack = name, service, zone, rack
        self.control_port = control_port
        self.capacity = capacity
        self.hold_max_ms = hold_max_ms
        self.labels = ["a", rack]
        self.checkpoint_chars = 16
        self.history = []
        self.told = []
        self.calls = []
        self.up = False
        self.stopped = False
        self._lock = threading.Condition()
        self.server = JsonServer(self._handle)
        self.start_lifetime()
        threading.Thread(target=self._check_in, daemon=True).start()
        threading.Thread(target=self._tick, daemon=True).start()

    def start_lifetime(self):
        with self._lock:
            self.born = int(time.time() * 1000)
            self._started = time.monotonic()
            self._running, self._ended, self._highest = {}, [], {}
            self._next_end, self._fence, self._lease, self._sequence = 1, 0, 0, 0
            self.state = "ready"
            self.up = True

    def crash(self):
        with self._lock:
            self.up = False
            for run in self._running.values():
                run.update(end=time.monotonic(), how="crashed")
            self._running = {}
            self._lock.notify_all()
        self.server.reset_channels()

    def running(self):
        with self._lock:
            return dict(self._running)

    def close(self):
        self.stopped = True
        self.server.close()

    def _clock(self):
        return int((time.monotonic() - self._started) * 1000)

    def _tick(self):
        while not self.stopped:
            time.sleep(0.01)
            with self._lock:
                now = time.monotonic()
                lapsed = self._clock() >= self._lease
                for task, run in list(self._running.items()):
                    if lapsed:
                        self._end(task, "lapsed")
                    elif run["broken"]:
                        self._end(task, "broken")
                    elif run["due"] is None:
                        if now >= run["start"] + GANG_TIMEOUT_S:
                            self._end(task, "alone")
                    elif now >= run["due"]:
                        self._end(task, run["ends"])

    def _end(self, task, how):
        run = self._running.pop(task)
        saved = self._saved(run) if how != "done" else ""
        run.update(end=time.monotonic(), how=how)
        self._leave_gang(run)
        self._highest[task] = max(self._highest.get(task, 0), run["run"])
        self._ended.append([self._next_end, task, run["run"], how, saved])
        run["number"] = self._next_end
        self._next_end += 1
        self._lock.notify_all()

    @staticmethod
    def _join_gang(run):
        """The work of all members begins when the last one is present."""
        with _gangs_lock:
            members = _gangs.setdefault((run["task"].rsplit(".", 1)[0], run["run"]), [])
            members.append(run)
            if len(members) == run["spec"]["gang"]:
                for member in members:
                    member["due"] = time.monotonic() + run["spec"]["ms"] / 1000

    @staticmethod
    def _leave_gang(run):
        """An end other than as done breaks the others off."""
        if "gang" not in run["spec"] or run["how"] in ("done", "broken"):
            return
        with _gangs_lock:
            for member in _gangs.get((run["task"].rsplit(".", 1)[0], run["run"]), []):
                member["broken"] = member["end"] is None

    def _saved(self, run):
        """Characters that stand for the saved work; sixteen, as in the page's examples, or more."""
        if not run["spec"].get("saves"):
            return ""
        steps = int((time.monotonic() - run["start"]) / CHECKPOINT_S)
        if not steps:
            return ""
        text = f"{steps:08x}{hash(run['task']) & 0xffffffff:08x}"
        return (text * (self.checkpoint_chars // len(text) + 1))[:self.checkpoint_chars]

    def _check_in(self):
        while not self.stopped:
            with self._lock:
                self._sequence += 1
                document = {
                    "service": self.service, "address": self.server.address, "zone": self.zone,
                    "version": "v1", "slots": 8, "state": self.state, "coldLeftMs": 0,
                    "capacity": self.capacity, "labels": self.labels, "clockMs": self._clock(),
                    "sequence": self._sequence, "born": self.born}
                up = self.up
            if up:
                call(self.control_port, "PUT", "/-/instances/" + self.name, document, timeout=1)
            time.sleep(1.0)

    def _handle(self, method, path, query, headers, body):
        document = json.loads(body)
        with self._lock:
            if not self.up:
                raise NoAnswer
            if headers.get("lavenderarch-expect-instance", self.name) != self.name:
                return 421, {}
            if document.get("fencingToken", 0) < self._fence:
                return 409, self._stamp({"reason": "fence"})
            self._fence = max(self._fence, document.get("fencingToken", 0))
            if path == "/-/run-start":
                return self._start(document)
            if path == "/-/run-stop":
                return self._stop(document)
            if path == "/-/hold":
                return self._hold(document)
            if path == "/-/pace":
                run = self._running.get(document["task"])
                if run and run["run"] == document["runId"]:
                    run["pace"] = document["percent"]
                return 200, self._stamp({})
            return 404, {}

    def _stamp(self, document):
        return {"clockMs": self._clock(), "born": self.born, **document}

    def _extend(self, until):
        self._lease = max(self._lease, min(until, self._clock() + self.hold_max_ms))

    def _start(self, document):
        if document["untilMs"] <= self._clock():
            return 409, self._stamp({"reason": "late"})
        self._extend(document["untilMs"])
        task, run = document["task"], document["runId"]
        known = self._running.get(task)
        if known and known["run"] == run:
            return 200, self._stamp({})
        if known or run <= self._highest.get(task, 0):
            return 409, self._stamp({"reason": "old"})
        spec = json.loads(document["spec"])
        now = time.monotonic()
        entry = {"task": task, "run": run, "start": now, "end": None, "how": "running",
                 "ends": spec.get("how", "done"), "spec": spec,
                 "due": None if "gang" in spec else now + spec["ms"] / 1000, "broken": False,
                 "pace": 100, "minion": self.name, "checkpoint": document.get("checkpoint", "")}
        self._running[task] = entry
        self.history.append(entry)
        if "gang" in spec:
            self._join_gang(entry)
        return 200, self._stamp({})

    def _stop(self, document):
        task, run = document["task"], document["runId"]
        if task in self._running and self._running[task]["run"] <= run:
            self._end(task, "stopped")
        self._highest[task] = max(self._highest.get(task, 0), run)
        return 200, self._stamp({})

    def _row(self, run):
        spec = run["spec"]
        share = min(int(100 * (time.monotonic() - run["start"]) * 1000 / max(spec["ms"], 1)), 99)
        load = spec.get("serves") or spec.get("fills", 0) * run["pace"] // 100
        return [run["task"], run["run"], self._saved(run), 100 if "serves" in spec else share, load]

    def _hold(self, document):
        if "untilMs" in document:
            self._extend(document["untilMs"])
        seen = document.get("lastSeen", 0)
        now = time.monotonic()
        for end in self._ended:
            if end[0] <= seen:
                self.told.append((end[1], end[2], end[3], now))
        self._ended = [end for end in self._ended if end[0] > seen]
        until = now + document.get("waitMs", 0) / 1000
        while not self._ended and time.monotonic() < until and self.up:
            self._lock.wait(until - time.monotonic())
        if not self.up:
            raise NoAnswer
        return 200, self._stamp({"running": [self._row(run) for run in self._running.values()],
                                 "ended": self._ended[:ENDS_AT_ONCE]})
