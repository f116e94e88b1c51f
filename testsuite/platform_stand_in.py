"""Simulates the platform on loopback as its documentation describes it: row store and minions."""
import base64
import json
import random
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Callable, Dict, List, Optional, Tuple
from urllib.parse import parse_qs, urlsplit

from local_deployment import request


class NoResponse(Exception):
    """Raised by a handler to close the connection without a response."""


def serve(port: int, handle: Callable) -> ThreadingHTTPServer:
    """Starts a JSON server on `port`.

    `handle` takes method, path, query, headers and body, and returns status and document.
    """

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def respond(self):
            parts = urlsplit(self.path)
            body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
            query = {name: values[0] for name, values in parse_qs(parts.query).items()}
            try:
                status, document = handle(self.command, parts.path, query, self.headers, body)
            except NoResponse:
                self.close_connection = True
                return
            text = json.dumps(document).encode()
            try:
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)
            except OSError:
                self.close_connection = True  # the peer has disconnected and will retry

        do_GET = do_POST = do_PUT = do_DELETE = respond

        def log_message(self, *args):
            pass

    class Server(ThreadingHTTPServer):
        daemon_threads = True
        request_queue_size = 128

        def handle_error(self, request, client_address):
            pass  # resets by killed peers are expected

    server = Server(("127.0.0.1", port), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Store:
    """Row store with a global version, conditional transactions and a change feed.

    Until `down_until` requests fail with 503. Until `lost_until` 30 % of the transactions get no
    response after they took effect. While `silent` is set, requests have no effect and get neither
    a response nor a closed connection; `unanswered` has their bodies. `reloads` counts, by table, the feed calls that asked for a
    forgotten part of the history.
    """

    def __init__(self, port: int, seed: int):
        self.address = f"127.0.0.1:{port}"
        self.down_until = 0.0
        self.lost_until = 0.0
        self.silent = threading.Event()
        self.unanswered: List[bytes] = []
        self.reloads: Dict[str, int] = {}
        self._forgotten_until = 0  # version
        self._random = random.Random(seed)
        self._rows: Dict[Tuple[str, str, str], dict] = {}
        self._log: List[dict] = []
        self._version = 0
        self._changed = threading.Condition()
        self.server = serve(port, self._handle)

    def put(self, table: str, key: str, document: dict) -> None:
        self.put_value(table, "", key, json.dumps(document).encode())

    def put_value(self, table: str, part: str, key: str, value: bytes) -> None:
        with self._changed:
            self._write([{"table": table, "part": part, "key": key,
                          "value": base64.b64encode(value).decode()}], [])

    def forget_history(self) -> None:
        """Drops the changes so far, also for the feed calls that are waiting."""
        with self._changed:
            self._version += 1
            self._forgotten_until = self._version
            self._log.clear()
            self._changed.notify_all()

    def _handle(self, method, path, query, headers, body):
        if self.silent.is_set():
            self.unanswered.append(body)
            while self.silent.is_set():
                time.sleep(0.05)
            raise NoResponse
        if time.monotonic() < self.down_until:
            return 503, {}
        if path == "/-/rows-tx":
            response = self._transaction(json.loads(body))
            if time.monotonic() < self.lost_until and self._random.random() < 0.3:
                raise NoResponse
            return response
        if path == "/-/rows-get":
            return self._get(query)
        if path == "/-/rows-feed":
            return self._feed(query)
        if path == "/-/rows-parts":
            with self._changed:
                parts = {part for table, part, _ in self._rows if table == query["table"]}
            return 200, {"parts": sorted(parts), "hasMore": False}
        return 404, {}

    def _stamp(self) -> dict:
        return {"schemaVer": self._version, "nowMs": int(time.monotonic() * 1000)}

    def _transaction(self, change):
        entries = change.get("writes", []) + change.get("deletes", [])
        parts = {entry.get("part", "") for entry in entries + change.get("precondition", [])}
        if len(parts) > 1 or len(entries) + len(change.get("precondition", [])) > 100:
            return 400, {"error": "one part, at most 100 entries"}
        with self._changed:
            current = [self._rows.get(self._key(row)) for row in change.get("precondition", [])]
            for row, now in zip(change.get("precondition", []), current):
                if row["schemaVer"] != (now["schemaVer"] if now else 0):
                    return 412, {"rows": [row for row in current if row], **self._stamp()}
            self._write(change.get("writes", []), change.get("deletes", []))
            return 200, self._stamp()

    @staticmethod
    def _key(row) -> Tuple[str, str, str]:
        return row["table"], row.get("part", ""), row["key"]

    def _write(self, writes, deletes) -> None:
        self._version += 1
        for row in writes:
            stored = {**row, "schemaVer": self._version}
            self._rows[self._key(row)] = stored
            self._log.append(stored)
        for row in deletes:
            if self._rows.pop(self._key(row), None):
                self._log.append({**row, "schemaVer": self._version, "tombstone": True})
        self._changed.notify_all()

    def _get(self, query):
        with self._changed:
            keys = sorted(key for key in self._rows
                          if key[0] == query["table"] and key[1] == query.get("part", "") and
                          key[2] >= query.get("from", ""))
            limit = int(query.get("limit", 500))
            return 200, {"rows": [self._rows[key] for key in keys[:limit]],
                         "hasMore": len(keys) > limit, **self._stamp()}

    def _feed(self, query):
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        with self._changed:
            while True:
                if int(query["after"]) < self._forgotten_until:
                    self.reloads[query["table"]] = self.reloads.get(query["table"], 0) + 1
                    return 410, {}
                rows = [row for row in self._log if row["table"] == query["table"] and
                        row["schemaVer"] > int(query["after"])]
                remaining = until - time.monotonic()
                if rows or remaining <= 0:
                    return 200, {"rows": rows, **self._stamp()}
                self._changed.wait(remaining)


class Minion:
    """Minion that runs tasks under leases. The spec of a task is its run time in milliseconds.

    `odd_running` and `odd_ended` are further rows of its lists; `odd_ends` of the runs that are done
    are listed as ended in a way that no page names.
    """

    def __init__(self, name: str, port: int, control_port: int):
        self.name = name
        self.address = f"127.0.0.1:{port}"
        self.history: List[dict] = []  # runs: task, run, start, end, how (times in seconds)
        self.acknowledged_ends: List[Tuple[str, str, float]] = []  # task, how, acknowledgement time
        self.odd_running: List[object] = []
        self.odd_ended: List[object] = []
        self.odd_ends = 0
        self.check_ins_lost = False
        self._control_port = control_port
        self._lock = threading.Condition()
        self._up = False
        self.start_incarnation()
        self.server = serve(port, self._handle)
        threading.Thread(target=self._check_in, daemon=True).start()
        threading.Thread(target=self._tick, daemon=True).start()

    def start_incarnation(self) -> None:
        """Starts a new incarnation under the same id."""
        with self._lock:
            self._up = True
            self._started = time.monotonic()
            self._born_ms = int(time.time() * 1000)
            self._running: Dict[str, dict] = {}
            self._ended: List[list] = []
            self._highest: Dict[str, int] = {}
            self._next_end, self._fence, self._lease_until, self._sequence = 1, 0, 0, 0

    def crash(self) -> None:
        with self._lock:
            self._up = False
            for run in self._running.values():
                run.update(end=time.monotonic(), how="crashed")
            self._running = {}

    def lease_end(self) -> int:
        """End of the lease on the minion's clock, in milliseconds."""
        with self._lock:
            return self._lease_until

    def fence(self) -> int:
        """Highest fencing token that this incarnation has seen."""
        with self._lock:
            return self._fence

    def _clock(self) -> int:
        return int((time.monotonic() - self._started) * 1000)

    def _tick(self) -> None:
        while True:
            time.sleep(0.01)
            with self._lock:
                now = time.monotonic()
                expired = self._clock() >= self._lease_until
                for task, run in list(self._running.items()):
                    if expired or now >= run["due"]:
                        self._end(task, "lapsed" if expired else "done")

    def _end(self, task: str, how: str) -> None:
        run = self._running.pop(task)
        if how == "done" and self.odd_ends > 0:
            self.odd_ends -= 1
            how = "melted"
        run.update(end=time.monotonic(), how=how)
        self._highest[task] = max(self._highest.get(task, 0), run["run"])
        self._ended.append([self._next_end, task, run["run"], how, ""])
        self._next_end += 1
        self._lock.notify_all()

    def _check_in(self) -> None:
        while True:
            with self._lock:
                self._sequence += 1
                body = json.dumps({
                    "service": "svc", "address": self.address, "zone": "dc-1", "version": "v1",
                    "slots": 8, "state": "ready", "coldLeftMs": 0, "labels": ["a", "r1"],
                    "capacity": {"cpu": 4000, "memMb": 8000, "gpu": 0},
                    "clockMs": self._clock(), "sequence": self._sequence, "born": self._born_ms})
                up = self._up
            if up and not self.check_ins_lost:
                # A lost check-in is not retried; the next one follows after 0.5 s.
                request(self._control_port, "PUT", "/-/instances/" + self.name, body.encode(),
                        {"Content-Type": "application/json"}, timeout=1)
            time.sleep(0.5)

    def _handle(self, method, path, query, headers, body):
        call = json.loads(body)
        with self._lock:
            if not self._up:
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
            return 200, self._stamp({})

    def _stamp(self, document: dict) -> dict:
        return {"clockMs": self._clock(), "born": self._born_ms, **document}

    def _start(self, call):
        if call["untilMs"] <= self._clock():
            return 409, self._stamp({"reason": "late"})
        self._lease_until = max(self._lease_until, min(call["untilMs"], self._clock() + 6000))
        task, run = call["task"], call["runId"]
        known = self._running.get(task)
        if known and known["run"] == run:
            return 200, self._stamp({})
        if known or run <= self._highest.get(task, 0):
            return 409, self._stamp({"reason": "old"})
        now = time.monotonic()
        entry = {"task": task, "run": run, "start": now, "end": None, "how": "running",
                 "due": now + int(call["spec"]) / 1000, "minion": self.name}
        self._running[task] = entry
        self.history.append(entry)
        return 200, self._stamp({})

    def _stop(self, call):
        task, run = call["task"], call["runId"]
        if task in self._running and self._running[task]["run"] <= run:
            self._end(task, "stopped")
        self._highest[task] = max(self._highest.get(task, 0), run)
        return 200, self._stamp({})

    def _hold(self, call):
        if "untilMs" in call:
            self._lease_until = max(self._lease_until, min(call["untilMs"], self._clock() + 6000))
        now = time.monotonic()
        for end in self._ended:
            if end[0] <= call.get("lastSeen", 0):
                self.acknowledged_ends.append((end[1], end[3], now))
        self._ended = [end for end in self._ended if end[0] > call.get("lastSeen", 0)]
        until = now + call.get("waitMs", 0) / 1000
        while not self._ended and time.monotonic() < until and self._up:
            self._lock.wait(until - time.monotonic())
        running = [[run["task"], run["run"], "", 50, 0] for run in self._running.values()]
        return 200, self._stamp({"running": self.odd_running + running,
                                 "ended": self.odd_ended + self._ended[:500]})
