"""The platform's store: rows in tables, conditional transactions and a feed of changes."""
import base64
import json
import threading
import time

from .http_server import NoResponse, serve

MAX_ENTRIES = 100
MAX_TRANSACTION_BYTES = 1_000_000
MAX_ROWS = 500
MAX_PAGE_BYTES = 1_000_000
MAX_KEY_BYTES = 200
OPERATOR_TABLES = ("op", "servers")
ANSWER_S = 0.004


class Store:
    """Keeps the limits of the pages. What the operator writes is put directly."""

    def __init__(self, address, record, row_bytes=65536):
        self.address = f"{address[0]}:{address[1]}"
        self.row_bytes = row_bytes
        self._record = record
        self._rows = {}
        self._log = []
        self._version = 0
        self._forgotten_until = 0
        self._quiet = False
        self._cuts = 0
        self._silent = False
        self._unanswered = []
        self._changed = threading.Condition()
        self._server = serve(address, self._handle)

    def stop(self) -> None:
        self._server.shutdown()
        self._server.server_close()

    def put(self, table: str, key: str, document) -> None:
        """A write of the operator, whose return is the acknowledgement."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        with self._changed:
            self._write([{"table": table, "part": "", "key": key, "value": value}], [])
        self._record.add("operator wrote", table=table, key=key,
                         version=document.get("version"))

    def value(self, table: str, part: str, key: str):
        """The decoded value of a row; None without one."""
        with self._changed:
            row = self._rows.get((table, part, key))
        return None if row is None else base64.b64decode(row["value"])

    def begin_silence(self) -> None:
        """From now on no call gets an answer."""
        with self._changed:
            self._silent = True
            self._changed.notify_all()
        self._record.add("store: answers no call")

    def end_silence(self) -> None:
        with self._changed:
            self._silent = False
            self._changed.notify_all()
        self._record.add("store: answers calls again")

    def has_unanswered(self) -> bool:
        return bool(self._unanswered)

    def perform_unanswered(self) -> None:
        """Performs the transactions without an answer whose condition still holds."""
        calls, self._unanswered = self._unanswered, []
        for body in calls:
            status, _ = self._transaction(body)
            jobs = sorted(row["key"] for row in json.loads(body).get("writes", [])
                          if row["table"] == "lav-job")
            if jobs:
                self._record.add("store: call without an answer performed late", jobs=jobs,
                                 performed=status == 200)

    def begin_quiet(self) -> None:
        """From now on feeds hear nothing, while changes are made."""
        with self._changed:
            self._quiet = True
        self._record.add("store: feeds hear nothing")

    def drop_history(self) -> None:
        """Drops the history of changes and cuts the feeds that are open."""
        with self._changed:
            self._forgotten_until = self._version
            self._log.clear()
            self._quiet = False
            self._cuts += 1
            self._changed.notify_all()
        self._record.add("store: history dropped, feeds cut")

    def _handle(self, method, path, query, headers, body):
        with self._changed:
            if self._silent:
                if path == "/-/rows-tx":
                    self._unanswered.append(body)
                while self._silent:
                    self._changed.wait()
                raise NoResponse
        if (method, path) == ("GET", "/-/rows-feed"):
            return self._feed(query)
        time.sleep(ANSWER_S)
        if (method, path) == ("POST", "/-/rows-tx"):
            return self._transaction(body)
        if (method, path) == ("GET", "/-/rows-get"):
            return self._get(query)
        if (method, path) == ("GET", "/-/rows-parts"):
            with self._changed:
                parts = sorted({part for table, part, _ in self._rows
                                if table == query["table"]})
            return 200, {"parts": parts, "hasMore": False}
        return 404, {}

    def _stamp(self) -> dict:
        return {"schemaVer": self._version, "nowMs": int(time.monotonic() * 1000)}

    def _refusal(self, change, size: int):
        """Why the transaction is not valid; None if it is."""
        writes = change.get("writes", [])
        entries = writes + change.get("deletes", []) + change.get("precondition", [])
        if len(entries) > MAX_ENTRIES or size > MAX_TRANSACTION_BYTES:
            return 400, "too many entries or bytes"
        if len({entry.get("part", "") for entry in entries}) > 1:
            return 400, "several parts"
        for entry in entries:
            if any(len(entry.get(name, "").encode()) > MAX_KEY_BYTES
                   for name in ("table", "part", "key")):
                return 400, "a name is too long"
        for row in writes + change.get("deletes", []):
            if row["table"] in OPERATOR_TABLES:
                return 403, "table of the operator"
        for row in writes:
            size = len(base64.b64decode(row["value"]))
            if size > self.row_bytes:
                return 400, (f"value of {row['table']} {row['key']} has {size} bytes, "
                             f"more than rowBytes")
        return None

    def _transaction(self, body: bytes):
        change = json.loads(body)
        refusal = self._refusal(change, len(body))
        if refusal is not None:
            self._record.add("store refused", status=refusal[0], reason=refusal[1])
            return refusal[0], {"error": refusal[1]}
        conditions = change.get("precondition", [])
        with self._changed:
            current = [self._rows.get(_key(row)) for row in conditions]
            for row, now in zip(conditions, current):
                if row["schemaVer"] != (now["schemaVer"] if now else 0):
                    return 412, {"rows": [row for row in current if row], **self._stamp()}
            self._write(change.get("writes", []), change.get("deletes", []))
            return 200, self._stamp()

    def _write(self, writes, deletes) -> None:
        self._version += 1
        for row in writes:
            stored = {"table": row["table"], "part": row.get("part", ""), "key": row["key"],
                      "value": row["value"], "schemaVer": self._version}
            self._rows[_key(row)] = stored
            self._log.append(stored)
        for row in deletes:
            if self._rows.pop(_key(row), None):
                self._log.append({"table": row["table"], "part": row.get("part", ""),
                                  "key": row["key"], "schemaVer": self._version,
                                  "tombstone": True})
        self._changed.notify_all()

    def _get(self, query):
        limit = min(int(query.get("limit", MAX_ROWS)), MAX_ROWS)
        with self._changed:
            rows = sorted((row for key, row in self._rows.items()
                           if key[:2] == (query["table"], query.get("part", "")) and
                           key[2] >= query.get("from", "") and
                           ("to" not in query or key[2] < query["to"])),
                          key=lambda row: row["key"].encode())
            page, size = [], 0
            for row in rows[:limit]:
                size += len(row["value"]) + 200
                if page and size > MAX_PAGE_BYTES:
                    break
                page.append(row)
            return 200, {"rows": page, "hasMore": len(page) < len(rows), **self._stamp()}

    def _feed(self, query):
        until = time.monotonic() + min(int(query.get("waitMs", 0)), 30_000) / 1000
        after, table = int(query["after"]), query["table"]
        with self._changed:
            cuts = self._cuts
            while True:
                if self._cuts != cuts or self._silent:
                    raise NoResponse
                if not self._quiet:
                    if after < self._forgotten_until:
                        return 410, {}
                    rows = [row for row in self._log
                            if row["table"] == table and row["schemaVer"] > after]
                    if rows or time.monotonic() >= until:
                        return 200, {"rows": rows, **self._stamp()}
                self._changed.wait(max(until - time.monotonic(), 0.01) if not self._quiet else 0.05)


def _key(row):
    return row["table"], row.get("part", ""), row["key"]
