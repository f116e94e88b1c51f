"""Stand-in of the platform's store: rows, transactions under conditions, and the feed."""
import asyncio
import base64
import json
import time
from typing import Dict, List, Tuple

from wire import Server

ROW_BYTES = 65536
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
MAX_ROWS = 500
HISTORY_S = 20.0
ANSWER_S = 0.004
TRANSACTION_S = 0.008

Key = Tuple[str, str, str]


def key_of(row: dict) -> Key:
    return row["table"], row.get("part", ""), row["key"]


class Store:
    """`refused` lists the transactions that were answered with 400, and why."""

    def __init__(self, port: int):
        self.server = Server(port, self._handle)
        self.address = self.server.address
        self.refused: List[str] = []
        self.largest_value = 0
        self._rows: Dict[Key, dict] = {}
        self._log: List[Tuple[float, dict]] = []
        self._forgotten = 0
        self._version = 0
        self._started = time.monotonic()
        self._changed = asyncio.Condition()

    async def put(self, table: str, key: str, document: object) -> None:
        """A write by the operator."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        await self._write([{"table": table, "part": "", "key": key, "value": value}], [])

    async def drop(self, table: str, key: str) -> None:
        await self._write([], [{"table": table, "part": "", "key": key}])

    def document(self, table: str, part: str, key: str):
        row = self._rows.get((table, part, key))
        return None if row is None else json.loads(base64.b64decode(row["value"]))

    def _stamp(self, document: dict) -> dict:
        return {"schemaVer": self._version,
                "nowMs": int((time.monotonic() - self._started) * 1000), **document}

    async def _handle(self, method, path, query, headers, body):
        await asyncio.sleep(TRANSACTION_S if path == "/-/rows-tx" else ANSWER_S)
        if (method, path) == ("POST", "/-/rows-tx"):
            return await self._transaction(body)
        if (method, path) == ("GET", "/-/rows-get"):
            return self._get(query)
        if (method, path) == ("GET", "/-/rows-feed"):
            return await self._feed(query)
        if (method, path) == ("GET", "/-/rows-parts"):
            parts = {part for table, part, _ in self._rows if table == query["table"]}
            return 200, {"parts": sorted(parts), "hasMore": False}
        return 404, {}

    def _refuse(self, reason: str):
        self.refused.append(reason)
        return 400, {"error": reason}

    async def _transaction(self, body: bytes):
        change = json.loads(body)
        conditions, writes = change.get("precondition", []), change.get("writes", [])
        deletes = change.get("deletes", [])
        entries = conditions + writes + deletes
        if len(entries) > MAX_ENTRIES or len(body) > MAX_CALL_BYTES:
            return self._refuse(f"{len(entries)} entries, {len(body)} bytes")
        if len({row.get("part", "") for row in entries}) > 1:
            return self._refuse("several parts")
        for row in writes:
            size = len(base64.b64decode(row["value"]))
            if size > ROW_BYTES:
                return self._refuse(f"value of {size} bytes in {'/'.join(key_of(row))}")
            self.largest_value = max(self.largest_value, size)
        if any(row["table"] in ("op", "servers") for row in writes + deletes):
            return 403, {}
        current = [self._rows.get(key_of(row)) for row in conditions]
        if any(row["schemaVer"] != (now["schemaVer"] if now else 0)
               for row, now in zip(conditions, current)):
            return 412, self._stamp({"rows": [now for now in current if now]})
        version = await self._write(writes, deletes)
        return 200, {**self._stamp({}), "schemaVer": version}

    async def _write(self, writes: List[dict], deletes: List[dict]) -> int:
        self._version += 1
        version, now = self._version, time.monotonic()
        for row in writes:
            stored = {"table": row["table"], "part": row.get("part", ""), "key": row["key"],
                      "value": row["value"], "schemaVer": version}
            self._rows[key_of(row)] = stored
            self._log.append((now, stored))
        for row in deletes:
            if self._rows.pop(key_of(row), None):
                self._log.append((now, {"table": row["table"], "part": row.get("part", ""),
                                        "key": row["key"], "schemaVer": version,
                                        "tombstone": True}))
        while self._log and now - self._log[0][0] > HISTORY_S:
            self._forgotten = self._log.pop(0)[1]["schemaVer"]
        async with self._changed:
            self._changed.notify_all()
        return version

    def _get(self, query):
        first, last = query.get("from", ""), query.get("to")
        keys = sorted((key for key in self._rows
                       if key[:2] == (query["table"], query.get("part", "")) and key[2] >= first and
                       (last is None or key[2] < last)), key=lambda key: key[2].encode())
        limit = min(int(query.get("limit", MAX_ROWS)), MAX_ROWS)
        rows, size = [], 0
        for key in keys[:limit]:
            size += len(self._rows[key]["value"])
            if rows and size > MAX_CALL_BYTES:
                break
            rows.append(self._rows[key])
        return 200, self._stamp({"rows": rows, "hasMore": len(rows) < len(keys)})

    async def _feed(self, query):
        after, table = int(query["after"]), query["table"]
        until = time.monotonic() + min(int(query.get("waitMs", 0)), 30000) / 1000
        while True:
            if after < self._forgotten:
                return 410, {}
            rows = [row for _, row in self._log if row["table"] == table and
                    row["schemaVer"] > after]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, self._stamp({"rows": rows})
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
