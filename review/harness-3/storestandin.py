"""Stand-in for the platform's metadata store (tables only)."""

import asyncio
import base64
import json
import time
from urllib import parse

import httpwire

_TRANSACTION_S = 0.004
_PAGE_ROWS = 500


class Store:
    """Rows, conditional transactions, reads and change feeds."""

    def __init__(self):
        self.rows = {}
        self._removed = {}
        self._version = 0
        self._changed = asyncio.Event()
        # Delays, in seconds, after which the next writes to a table are
        # performed; they get no answer, nor does what follows on their
        # connections. Their times are kept, and those of all other writes.
        self.late_writes = {}
        self.lost_s = []
        self.answered_s = []
        self._late_tasks = set()
        self._server = httpwire.Server(self._handle)

    async def start(self, host, port):
        await self._server.start(host, port)

    def close(self):
        self._server.close()

    def put(self, table, part, key, value):
        """Writes a row, as the operator or a worker does."""
        self._version += 1
        self.rows[table, part, key] = (value, self._version)
        self._removed.pop((table, part, key), None)
        self._notify()

    def drop(self, table, part, key):
        """Removes a row, as the store does when heartbeats stop."""
        if self.rows.pop((table, part, key), None) is None:
            return
        self._version += 1
        self._removed[table, part, key] = self._version
        self._notify()

    def value(self, table, part, key):
        """Returns the content of a row, or None."""
        row = self.rows.get((table, part, key))
        return None if row is None else row[0]

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _answer(self, status, body):
        return status, {
            **body,
            "ver": self._version,
            "nowMs": int(time.monotonic() * 1000),
        }

    async def _handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        fields = dict(parse.parse_qsl(query, keep_blank_values=True))
        if (method, path) == ("POST", "/v1/rows-tx"):
            fields = json.loads(body)
            for each in fields.get("setKeys", ()):
                delays_s = self.late_writes.get(each["table"])
                if delays_s:
                    self.lost_s.append(time.monotonic())
                    delay_s = delays_s.pop(0)
                    task = asyncio.create_task(self._perform(fields, delay_s))
                    self._late_tasks.add(task)
                    await asyncio.sleep(3600)
            await asyncio.sleep(_TRANSACTION_S)
            self.answered_s.append(time.monotonic())
            return self._transact(fields)
        if path == "/v1/rows-get":
            return self._read(fields)
        if path == "/v1/rows-feed":
            return await self._feed(fields)
        return 404, {}

    async def _perform(self, fields, delay_s):
        await asyncio.sleep(delay_s)
        self._transact(fields)

    def _transact(self, body):
        checks = body.get("expectRev", ())
        ids = [_row_id(each) for each in checks]
        if any(
            self.rows.get(row_id, (b"", 0))[1] != each["ver"]
            for row_id, each in zip(ids, checks)
        ):
            found = [self._row(each) for each in ids if each in self.rows]
            return self._answer(412, {"rows": found})
        writes, removals = body.get("setKeys", ()), body.get("remove", ())
        if any(each["table"] in ("op", "servers") for each in writes):
            return 403, {}
        self._version += 1
        for each in writes:
            row_id = _row_id(each)
            content = base64.b64decode(each["value"])
            self.rows[row_id] = (content, self._version)
            self._removed.pop(row_id, None)
        for each in removals:
            row_id = _row_id(each)
            if self.rows.pop(row_id, None) is not None:
                self._removed[row_id] = self._version
        self._notify()
        return self._answer(200, {})

    def _read(self, fields):
        first, end = fields.get("from", ""), fields.get("target")
        limit = min(_PAGE_ROWS, int(fields.get("limit", _PAGE_ROWS)))
        keys = sorted(
            key
            for table, part, key in self.rows
            if table == fields["table"]
            and part == fields.get("part", "")
            and key >= first
            and (end is None or key < end)
        )
        names = fields["table"], fields.get("part", "")
        rows = [self._row((*names, key)) for key in keys[:limit]]
        return self._answer(200, {"rows": rows, "hasMore": len(keys) > limit})

    async def _feed(self, fields):
        table, after = fields["table"], int(fields["after"])
        until = time.monotonic() + int(fields.get("waitMs", 0)) / 1000
        while True:
            rows = self._changes(table, after)
            left_s = until - time.monotonic()
            if rows or left_s <= 0:
                return self._answer(200, {"rows": rows})
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass

    def _changes(self, table, after):
        rows = [
            self._row(row_id)
            for row_id, (_, version) in self.rows.items()
            if row_id[0] == table and version > after
        ]
        rows += [
            {**_names(row_id), "ver": version, "removed": True}
            for row_id, version in self._removed.items()
            if row_id[0] == table and version > after
        ]
        return sorted(rows, key=lambda row: row["ver"])

    def _row(self, row_id):
        value, version = self.rows[row_id]
        text = base64.b64encode(value).decode()
        return {**_names(row_id), "value": text, "ver": version}


def _row_id(fields):
    return fields["table"], fields.get("part", ""), fields["key"]


def _names(row_id):
    return dict(zip(("table", "part", "key"), row_id))
