"""A minion: runs tasks under a lease as the pages tell, and checks in with its agent."""
import http.client
import json
import threading
import time

from .http_server import NoResponse, serve

MAX_LISTED_ENDS = 500
LASTING_START_S = 0.4
CHECKPOINT_S = 1.0


class Minion:
    """The spec of a task is a JSON object: `ms`, its work in milliseconds (a number, or one a
    step), `lasts` for tasks that last, `saves` for tasks with checkpoints."""

    def __init__(self, name, service, zone, labels, capacity, address, control, record, bounds,
                 heartbeat_ms=1100):
        self.name = name
        self.service = service
        self.zone = zone
        self.labels = labels
        self.capacity = capacity
        self.address = f"{address[0]}:{address[1]}"
        self.state = "ready"
        self._control = control
        self._record = record
        self._max_hold_ms = bounds["maxHoldMs"]
        self._heartbeat_s = heartbeat_ms / 1000
        self._lock = threading.Condition()
        self._stopped = False
        self._life = 0
        self.up = False
        self.start_life()
        self._server = serve(address, self._handle)
        threading.Thread(target=self._tick, daemon=True).start()
        threading.Thread(target=self._check_in, daemon=True).start()

    def start_life(self, born_ms=None) -> None:
        """Starts a new life under the same id, which knows nothing of the one before."""
        with self._lock:
            self._life += 1
            self._started = time.monotonic()
            self.born_ms = int(time.time() * 1000) if born_ms is None else born_ms
            self._running = {}
            self._ended = []
            self._highest = {}
            self._next_end, self._fence, self._lease_until, self._sequence = 1, 0, 0, 0
            self.up = True
            self._record.add("minion began a life", minion=self.name, born=self.born_ms)

    def crash(self) -> None:
        with self._lock:
            self.up = False
            for run in self._running.values():
                self._note_end(run, "crashed")
            self._running = {}
            self._lock.notify_all()
        self._record.add("minion crashed", minion=self.name)

    def running(self) -> list:
        """Task names that run now."""
        with self._lock:
            return sorted(self._running)

    def stop(self) -> None:
        with self._lock:
            self._stopped, self.up = True, False
            self._lock.notify_all()
        self._server.shutdown()
        self._server.server_close()

    def _clock(self) -> int:
        return int((time.monotonic() - self._started) * 1000)

    def _tick(self) -> None:
        while not self._stopped:
            time.sleep(0.01)
            with self._lock:
                if not self.up:
                    continue
                now = time.monotonic()
                lapsed = self._clock() >= self._lease_until
                for run in list(self._running.values()):
                    if lapsed or now >= run["due"]:
                        self._end(run, "lapsed" if lapsed else "done")

    def _note_end(self, run, how) -> None:
        self._record.add("run ended", minion=self.name, task=run["task"], run=run["run"], how=how)

    def _end(self, run, how) -> None:
        del self._running[run["task"]]
        self._highest[run["task"]] = max(self._highest.get(run["task"], 0), run["run"])
        self._ended.append([self._next_end, run["task"], run["run"], how, self._saved(run)])
        self._next_end += 1
        self._note_end(run, how)
        self._lock.notify_all()

    @staticmethod
    def _saved(run) -> str:
        if not run["saves"]:
            return ""
        return f"{run['mark']:08x}{int((time.monotonic() - run['start']) / CHECKPOINT_S):08x}"

    def _percent(self, run) -> int:
        elapsed = time.monotonic() - run["start"]
        if run["lasts"]:
            return 100 if elapsed >= LASTING_START_S else 0
        return min(99, int(100 * elapsed / max(run["due"] - run["start"], 0.001)))

    def _check_in(self) -> None:
        while not self._stopped:
            with self._lock:
                self._sequence += 1
                up, life = self.up, self._life
                body = json.dumps({
                    "service": self.service, "address": self.address, "zone": self.zone,
                    "version": "v1", "slots": 8, "state": self.state, "coldLeftMs": 0,
                    "capacity": self.capacity, "labels": self.labels, "clockMs": self._clock(),
                    "sequence": self._sequence, "born": self.born_ms})
            if up:
                status = self._send("PUT", body)
                if status != 200:
                    self._record.add("check-in not acknowledged", minion=self.name, status=status,
                                     life=life)
            time.sleep(self._heartbeat_s)

    def _send(self, method, body) -> int:
        connection = http.client.HTTPConnection(*self._control, timeout=1)
        try:
            connection.request(method, "/-/instances/" + self.name, body,
                               {"Content-Type": "application/json"})
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def _handle(self, method, path, query, headers, body):
        call = json.loads(body) if body else {}
        with self._lock:
            if not self.up:
                raise NoResponse
            if headers.get("Lavenderarch-Expect-Instance", self.name) != self.name:
                return 421, {}
            if call.get("fencingToken", 0) < self._fence:
                return 409, self._stamp({"reason": "fence"})
            self._fence = call.get("fencingToken", 0)
            if path == "/-/run-start":
                return self._start(call)
            if path == "/-/run-stop":
                return self._stop(call)
            if path == "/-/hold":
                return self._hold(call)
            return (200 if path == "/-/pace" else 404), self._stamp({})

    def _stamp(self, document) -> dict:
        return {"clockMs": self._clock(), "born": self.born_ms, **document}

    def _extend(self, until_ms) -> None:
        self._lease_until = max(self._lease_until,
                                min(until_ms, self._clock() + self._max_hold_ms))

    def _start(self, call):
        if call["untilMs"] <= self._clock():
            return 409, self._stamp({"reason": "late"})
        self._extend(call["untilMs"])
        task, number = call["task"], call["runId"]
        known = self._running.get(task)
        if known and known["run"] == number:
            return 200, self._stamp({})
        if known or number <= self._highest.get(task, 0):
            return 409, self._stamp({"reason": "old"})
        spec = json.loads(call["spec"])
        step = int(task.split(".")[2])
        work = spec.get("ms", 0)
        work = work[step] if isinstance(work, list) else work
        now = time.monotonic()
        lasts = bool(spec.get("lasts"))
        self._running[task] = {
            "task": task, "run": number, "start": now, "lasts": lasts,
            "saves": bool(spec.get("saves")), "mark": hash(task) & 0xffffffff,
            "due": float("inf") if lasts else now + work / 1000}
        self._record.add("run started", minion=self.name, task=task, run=number)
        return 200, self._stamp({})

    def _stop(self, call):
        task, number = call["task"], call["runId"]
        known = self._running.get(task)
        self._record.add("stop received", minion=self.name, task=task, run=number)
        if known and known["run"] <= number:
            self._end(known, "stopped")
        self._highest[task] = max(self._highest.get(task, 0), number)
        return 200, self._stamp({})

    def _hold(self, call):
        if "untilMs" in call:
            self._extend(call["untilMs"])
        self._ended = [end for end in self._ended if end[0] > call.get("lastSeen", 0)]
        until = time.monotonic() + min(call.get("waitMs", 0), 2000) / 1000
        life = self._life
        while not self._ended and time.monotonic() < until and self.up and self._life == life:
            self._lock.wait(until - time.monotonic())
        if not self.up or self._life != life:
            raise NoResponse
        running = [[run["task"], run["run"], self._saved(run), self._percent(run), 0]
                   for run in self._running.values()]
        return 200, self._stamp({"running": running, "ended": self._ended[:MAX_LISTED_ENDS]})
