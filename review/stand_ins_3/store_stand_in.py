"""Stand-in of the platform's metadata store with the limits of its page."""
import base64
import json
import threading
import time

from http_stand_in import JsonServer

ROW_BYTES = 65_536
MOST_ENTRIES = 100
MOST_BYTES = 1_000_000
ANSWER_S = 0.004


class Store:
    """Rows in tables and parts, conditional transactions and a feed of changes.

    `refused` counts the calls that broke a limit of the page; `refusals` describes the first ones.
    """

    def __init__(self):
        self.refused = 0
        self.refusals = []
        self.commits = 0
        self.rows = {}
        self._log = []
        self._version = 0
        self._changed = threading.Condition()
        self.server = JsonServer(self._handle)
        self.address = self.server.address

    def put(self, table, key, document, part=""):
        """A write by the operator."""
        with self._changed:
            self._write([{"table": table, "part": part, "key": key,
                          "value": base64.b64encode(json.dumps(document).encode()).decode()}], [])

    def drop(self, table, key, part=""):
        with self._changed:
            self._write([], [{"table": table, "part": part, "key": key}])

    def _handle(self, method, path, query, headers, body):
        if path == "/-/rows-tx":
            time.sleep(ANSWER_S)
            return self._transaction(body)
        if path == "/-/rows-get":
            time.sleep(ANSWER_S)
            return self._get(query)
        if path == "/-/rows-feed":
            return self._feed(query)
        if path == "/-/rows-parts":
            with self._changed:
                parts = sorted({part for table, part, _ in self.rows if table == query["table"]})
            return 200, {"parts": parts, "hasMore": False, **self._stamp()}
        return 404, {}

    def _stamp(self):
        return {"schemaVer": self._version, "nowMs": int(time.monotonic() * 1000)}

    def _refuse(self, status, reason):
        with self._changed:
            self.refused += 1
            if len(self.refusals) < 20:
                self.refusals.append((time.monotonic(), reason))
        return status, {"error": reason}

    def _transaction(self, body):
        change = json.loads(body)
        conditions = change.get("precondition", [])
        writes = change.get("writes", [])
        deletes = change.get("deletes", [])
        if len(body) > MOST_BYTES:
            return self._refuse(400, f"call of {len(body)} bytes")
        if len(conditions) + len(writes) + len(deletes) > MOST_ENTRIES:
            return self._refuse(400, "more than 100 entries")
        if len({row.get("part", "") for row in conditions + writes + deletes}) > 1:
            return self._refuse(400, "more than one part")
        for row in writes:
            size = len(base64.b64decode(row["value"]))
            if size > ROW_BYTES:
                return self._refuse(400, f"the value of {row['table']}/{row['key']} has {size} "
                                         f"bytes of at most {ROW_BYTES}")
        with self._changed:
            current = [self.rows.get(self._key(row)) for row in conditions]
            for row, now in zip(conditions, current):
                if row["schemaVer"] != (now["schemaVer"] if now else 0):
                    return 412, {"rows": [row for row in current if row], **self._stamp()}
            self._write(writes, deletes)
            self.commits += 1
            return 200, self._stamp()

    @staticmethod
    def _key(row):
        return row["table"], row.get("part", ""), row["key"]

    def _write(self, writes, deletes):
        self._version += 1
        for row in writes:
            stored = {**row, "schemaVer": self._version}
            self.rows[self._key(row)] = stored
            self._log.append(stored)
        for row in deletes:
            if self.rows.pop(self._key(row), None):
                self._log.append({**row, "schemaVer": self._version, "tombstone": True})
        self._changed.notify_all()

    def _get(self, query):
        with self._changed:
            keys = sorted(key for key in self.rows
                          if key[0] == query["table"] and key[1] == query.get("part", "") and
                          key[2] >= query.get("from", "") and
                          (not query.get("to") or key[2] < query["to"]))
            limit = min(int(query.get("limit", 500)), 500)
            rows, size = [], 0
            for key in keys[:limit]:
                size += len(self.rows[key]["value"])
                if rows and size > MOST_BYTES:
                    break
                rows.append(self.rows[key])
            return 200, {"rows": rows, "hasMore": len(keys) > len(rows), **self._stamp()}

    def _feed(self, query):
        until = time.monotonic() + min(int(query.get("waitMs", 0)), 30_000) / 1000
        after = int(query["after"])
        with self._changed:
            while True:
                rows = []
                for row in reversed(self._log):
                    if row["schemaVer"] <= after:
                        break
                    if row["table"] == query["table"]:
                        rows.append(row)
                remaining = until - time.monotonic()
                if rows or remaining <= 0:
                    return 200, {"rows": rows[::-1], **self._stamp()}
                self._changed.wait(remaining)
