"""The record of a case: what was sent, answered and run, one JSON line each."""
import json
import threading
import time


class Record:
    """Thread-safe. Times are seconds on the steady clock since the start of the case."""

    def __init__(self, path: str):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = time.monotonic()
        self.events = []

    def now(self) -> float:
        return time.monotonic() - self._start

    def add(self, what: str, **fields) -> dict:
        event = {"at": round(self.now(), 3), "what": what, **fields}
        with self._lock:
            self.events.append(event)
            if not self._file.closed:
                self._file.write(json.dumps(event) + "\n")
                self._file.flush()
        return event

    def of(self, *what: str) -> list:
        with self._lock:
            return [event for event in self.events if event["what"] in what]

    def close(self) -> None:
        with self._lock:
            self._file.close()
