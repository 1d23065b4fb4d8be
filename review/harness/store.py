"""Stand-in for the platform's store, by the section on it in PROTOCOL.

It loses nothing that it has acknowledged and its answers are linearizable. A
transaction takes 4 ms. The store is down (`is_down`): every call gets 503 and
does nothing. It is slow (`delay_s`): each answer takes longer.
"""

import asyncio
import base64
import time
from urllib import parse

import http_peer

_ROW_BYTES = 65_536
_PAGE_ROWS = 500
_PAGE_BYTES = 1_000_000
_TRANSACTION_S = 0.004
# Three heartbeat intervals.
_ENTRY_EXPIRES_S = 4.5


class Store:
    """Rows in memory.

    Instances use the addresses given to `start`, one each, so that a link can
    be cut; the operator and the workers call `put` and `heartbeat`.
    """

    def __init__(self, record):
        self.is_down = False
        self.delay_s = 0.0
        # Addresses on which nothing is answered: cut links.
        self.silent = set()
        self._record = record
        self._rows = {}
        self._removed = {}
        self._version = 0
        self._began_s = time.monotonic()
        self._changed = asyncio.Event()
        self._heard_s = {}
        self._servers = []
        self._expiry = None

    async def start(self, addresses):
        for address in addresses:
            server = http_peer.HttpServer(self._handler(address))
            await server.start(address)
            self._servers.append(server)
        self._expiry = asyncio.create_task(self._expire())

    def close(self):
        for server in self._servers:
            server.close()
        if self._expiry is not None:
            self._expiry.cancel()

    def put(self, table, part, key, value):
        self._version += 1
        self._rows[table, part, key] = (value, self._version)
        self._notify()

    def value(self, table, part, key):
        return self._rows.get((table, part, key), (None, 0))[0]

    def heartbeat(self, worker_id, value):
        """Writes a worker's entry; a heartbeat changes nothing else."""
        self._heard_s[worker_id] = time.monotonic()
        if self.value("servers", "", worker_id) != value:
            self.put("servers", "", worker_id, value)

    def _remove(self, row):
        self._version += 1
        self._rows.pop(row, None)
        self._removed[row] = self._version

    async def _expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for worker_id, heard_s in list(self._heard_s.items()):
                if now - heard_s > _ENTRY_EXPIRES_S:
                    del self._heard_s[worker_id]
                    self._remove(("servers", "", worker_id))
                    self._notify()

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _handler(self, address):
        async def handle(method, path, headers, body):
            if address in self.silent:
                # The bytes are held up until the sender gives up.
                await asyncio.sleep(30)
                return None
            if self.is_down:
                return 503, None
            answer = await self._answer(path, body)
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if address in self.silent:
                await asyncio.sleep(30)
                return None
            return answer

        return handle

    async def _answer(self, path, body):
        path, _, query = path.partition("?")
        fields = dict(parse.parse_qsl(query, keep_blank_values=True))
        if path == "/v1/rows-tx":
            await asyncio.sleep(_TRANSACTION_S)
            return self._transact(http_peer.json.loads(body))
        if path == "/v1/rows-get":
            return self._read(fields)
        if path == "/v1/rows-feed":
            return await self._feed(fields)
        if path == "/v1/rows-parts":
            parts = {part for table, part, _ in self._rows}
            return 200, self._with_version({"parts": sorted(parts)})
        return 404, None

    def _transact(self, body):
        checks = body.get("expectRev", [])
        writes = body.get("setKeys", [])
        removals = body.get("remove", [])
        if len(checks) + len(writes) + len(removals) > 100:
            return 400, None
        if any(
            self._rows.get(_row_id(each), (b"", 0))[1] != each["ver"]
            for each in checks
        ):
            found = [
                self._row(_row_id(each))
                for each in checks
                if _row_id(each) in self._rows
            ]
            return 412, self._with_version({"rows": found})
        for each in writes:
            size = len(base64.b64decode(each["value"]))
            if size > _ROW_BYTES:
                self._record(
                    "store",
                    "row_too_large",
                    table=each["table"],
                    key=each["key"],
                    bytes=size,
                )
                return 400, None
        self._version += 1
        for each in writes:
            value = base64.b64decode(each["value"])
            self._rows[_row_id(each)] = (value, self._version)
        for each in removals:
            self._rows.pop(_row_id(each), None)
            self._removed[_row_id(each)] = self._version
        self._notify()
        return 200, self._with_version({})

    def _read(self, fields):
        first, end = fields.get("from", ""), fields.get("target")
        keys = sorted(
            key
            for table, part, key in self._rows
            if table == fields["table"]
            and part == fields["part"]
            and key >= first
            and (end is None or key < end)
        )
        limit = min(_PAGE_ROWS, int(fields.get("limit", _PAGE_ROWS)))
        rows, size = [], 0
        for key in keys[:limit]:
            row = self._row((fields["table"], fields["part"], key))
            size += len(row["value"])
            if rows and size > _PAGE_BYTES:
                break
            rows.append(row)
        return 200, self._with_version(
            {"rows": rows, "hasMore": len(keys) > len(rows)}
        )

    async def _feed(self, fields):
        after, wait_s = int(fields["after"]), int(fields["waitMs"]) / 1000
        try:
            async with asyncio.timeout(wait_s):
                while not (rows := self._changes(fields["table"], after)):
                    await self._changed.wait()
        except TimeoutError:
            rows = []
        if self.is_down:
            return 503, None
        return 200, self._with_version({"rows": rows})

    def _changes(self, wanted, after):
        found = [
            self._row(row)
            for row, (_, version) in self._rows.items()
            if row[0] == wanted and version > after
        ]
        found += [
            {**_row_fields(row), "ver": version, "removed": True}
            for row, version in self._removed.items()
            if row[0] == wanted and version > after and row not in self._rows
        ]
        return sorted(found, key=lambda row: row["ver"])

    def _row(self, row):
        value, version = self._rows[row]
        text = base64.b64encode(value).decode()
        return {**_row_fields(row), "value": text, "ver": version}

    def _with_version(self, body):
        now_ms = int((time.monotonic() - self._began_s) * 1000)
        return {**body, "ver": self._version, "nowMs": now_ms}


def _row_id(fields):
    return fields["table"], fields.get("part", ""), fields["key"]


def _row_fields(row):
    return dict(zip(("table", "part", "key"), row, strict=True))
