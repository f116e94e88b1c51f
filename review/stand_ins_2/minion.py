"""Stand-in of a minion with its machine: check-ins, runs under leases, ends.

The text `spec` of a task says what the task is to do, as words of the form name=number:
ms: how long it works; lasts: it works until it is stopped; cpu: thousandths of a core it uses;
tail: it serves, and this is its tail latency in milliseconds; saves: it saves its progress; fills: it
works on the processors that others leave.
"""
import asyncio
import json
import re
import time
import zlib
from typing import Callable, Dict, List, Optional

from wire import Server, send

CHECK_IN_S = 1.1
STARTUP_S = 0.4
STOP_S = 0.1
TICK_S = 0.02
CHECKPOINT_MS = 1000


def words_of(spec: str) -> Dict[str, int]:
    return {name: int(value) for name, value in re.findall(r"(\w+)=(\d+)", spec)}


class Run:
    def __init__(self, task: str, number: int, spec: str, now: float):
        self.task, self.number, self.spec = task, number, spec
        self.words = words_of(spec)
        self.started, self.done_ms, self.pace = now, 0.0, 100
        self.stop_at: Optional[float] = None
        self.stop_how = ""
        self.ended: Optional[float] = None
        self.how = "running"

    @property
    def percent(self) -> int:
        if self.words.get("lasts"):
            return 100 if self.done_ms >= STARTUP_S * 1000 else 0
        return min(99, int(100 * self.done_ms / max(self.words.get("ms", 100), 1)))

    @property
    def checkpoint(self) -> str:
        """The work that is saved, in milliseconds, and a mark of the task; 16 digits."""
        saved = int(self.done_ms) // CHECKPOINT_MS * CHECKPOINT_MS
        if not self.words.get("saves") or saved == 0:
            return ""
        return f"{saved:08x}{zlib.crc32(self.task.encode()):08x}"

    @property
    def load(self) -> float:
        if "tail" in self.words:
            return self.words["tail"]
        return self.words.get("cpu", 0) * self.pace / 100


class Minion:
    """One machine; start() begins a life of its minion, crash() ends it.

    `history` holds every run of every life; `clock_ahead_s` is how far the time of day of the
    machine is ahead.
    """

    def __init__(self, record: Callable[[str], None], name: str, service: str, zone: str, port: int,
                 control: str, max_hold_ms: int, capacity: Dict[str, int], labels: List[str]):
        self.name, self.service, self.zone, self.control = name, service, zone, control
        self.capacity, self.labels = capacity, labels
        self._max_hold_ms = max_hold_ms
        self.clock_ahead_s = 0.0
        self.history: List[Run] = []
        self.up = False
        self.draining = False
        self._record = record
        self._life = 0
        self._tasks: List[asyncio.Task] = []
        self.server = Server(port, self._handle)
        self.address = self.server.address

    async def start(self, new_id: bool = True) -> None:
        if self._life == 0 or new_id:
            self._life += 1
            self.id = f"i-{zlib.crc32(f'{self.name}-{self._life}'.encode()):08x}"
        self.born = int((time.time() + self.clock_ahead_s) * 1000)
        self._began = time.monotonic()
        self.running: Dict[str, Run] = {}
        self._ended: List[list] = []
        self._highest: Dict[str, int] = {}
        self._next_end, self._fence, self._lease, self._sequence = 1, 0, 0, 0
        self._changed = asyncio.Condition()
        self.up, self.draining = True, False
        self._record(f"minion {self.name}: life {self.id} born {self.born}")
        await self.server.start()
        self._tasks = [asyncio.create_task(self._check_in()), asyncio.create_task(self._tick())]

    def crash(self) -> None:
        self._record(f"minion {self.name}: {self.id} crashes")
        self.close()
        for run in self.running.values():
            run.ended, run.how = time.monotonic(), "crashed"
        self.running = {}

    def close(self) -> None:
        self.up = False
        for task in self._tasks:
            task.cancel()
        self.server.close()

    def used(self) -> int:
        """Thousandths of a core that the runs reserve."""
        return sum(run.words.get("cpu", 0) for run in self.running.values()
                   if not run.words.get("fills"))

    def _clock(self) -> int:
        return int((time.monotonic() - self._began) * 1000)

    async def _check_in(self) -> None:
        while True:
            self._sequence += 1
            body = {"service": self.service, "address": self.address, "zone": self.zone,
                    "version": "v1", "slots": 8, "state": "draining" if self.draining else "ready",
                    "coldLeftMs": 0, "capacity": self.capacity, "labels": self.labels,
                    "clockMs": self._clock(), "sequence": self._sequence, "born": self.born}
            await send(self.control, "PUT", "/-/instances/" + self.id, body, timeout=1.0)
            await asyncio.sleep(CHECK_IN_S)

    async def _tick(self) -> None:
        last = time.monotonic()
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            expired = self._clock() >= self._lease
            filling = sum(run.load for run in self.running.values() if run.words.get("fills"))
            left = self.capacity["cpu"] - self.used()
            for run in list(self.running.values()):
                share = min(1.0, left / filling) if run.words.get("fills") and filling else 1.0
                run.done_ms += (now - last) * 1000 * share * run.pace / 100
                finished = not run.words.get("lasts") and run.done_ms >= run.words.get("ms", 100)
                if expired:
                    await self._end(run, "lapsed")
                elif run.stop_at is not None and now >= run.stop_at:
                    await self._end(run, "stopped")
                elif finished and run.stop_at is None:
                    await self._end(run, "failed" if run.words.get("fails") else "done")
            last = now

    async def _end(self, run: Run, how: str) -> None:
        del self.running[run.task]
        run.ended, run.how = time.monotonic(), how
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.number)
        self._ended.append([self._next_end, run.task, run.number, how, run.checkpoint])
        self._next_end += 1
        self._record(f"minion {self.name}: run {run.task} {run.number} ended {how}")
        async with self._changed:
            self._changed.notify_all()

    def _stamp(self, document: dict) -> dict:
        return {"clockMs": self._clock(), "born": self.born, **document}

    async def _handle(self, method, path, query, headers, body):
        if path == "/health":
            return 200, {}
        call = json.loads(body)
        if headers.get("lavenderarch-expect-instance", self.id) != self.id:
            return 421, self._stamp({})
        if call.get("fencingToken", 0) < self._fence:
            return 409, self._stamp({"reason": "fence"})
        self._fence = call.get("fencingToken", 0)
        if path == "/-/run-start":
            return self._start(call)
        if path == "/-/run-stop":
            return self._stop(call)
        if path == "/-/pace":
            run = self.running.get(call["task"])
            if run is not None and run.number == call["runId"]:
                run.pace = call["percent"]
            return 200, self._stamp({})
        if path == "/-/hold":
            return await self._hold(call)
        return 404, {}

    def _extend(self, call: dict) -> None:
        if "untilMs" in call:
            self._lease = max(self._lease, min(call["untilMs"], self._clock() + self._max_hold_ms))

    def _start(self, call):
        if call["untilMs"] <= self._clock():
            return 409, self._stamp({"reason": "late"})
        self._extend(call)
        task, number = call["task"], call["runId"]
        known = self.running.get(task)
        if known is not None and known.number == number:
            return 200, self._stamp({})
        if known is not None or number <= self._highest.get(task, 0):
            return 409, self._stamp({"reason": "old"})
        run = Run(task, number, call["spec"], time.monotonic())
        if call.get("checkpoint"):
            run.done_ms = float(int(call["checkpoint"][:8], 16))
        self.running[task] = run
        self.history.append(run)
        self._record(f"minion {self.name}: run {task} {number} starts")
        return 200, self._stamp({})

    def _stop(self, call):
        task, number = call["task"], call["runId"]
        run = self.running.get(task)
        if run is not None and run.number <= number and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_S
            self._record(f"minion {self.name}: run {task} {run.number} is being stopped")
        self._highest[task] = max(self._highest.get(task, 0), number)
        return 200, self._stamp({})

    async def _hold(self, call):
        self._extend(call)
        seen = call.get("lastSeen", 0)
        self._ended = [end for end in self._ended if end[0] > seen]
        until = time.monotonic() + min(call.get("waitMs", 0), 2000) / 1000
        while not self._ended and self.up:
            left = until - time.monotonic()
            if left <= 0:
                break
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except asyncio.TimeoutError:
                    break
        running = [[run.task, run.number, run.checkpoint, run.percent, int(run.load)]
                   for run in self.running.values()]
        return 200, self._stamp({"running": running, "ended": self._ended[:500]})
