"""Collects the records of stand-ins during a run and writes samples."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import json
import pathlib
from typing import Any

from bench import cluster
from bench import exchange
from bench import observations
from bench import spans
from marigoldgap import clock

_POLL_INTERVAL_S = 0.5


class Collector:
    """Polls worker records, link counters and configuration versions.

    Args:
        target: The deployment.
        path: File for samples, as JSON lines.
    """

    def __init__(self, target: cluster.Cluster, path: pathlib.Path) -> None:
        self._target = target
        self._path = path
        self._cursors: dict[str, int] = {}
        self._finished: dict[str, set[str]] = collections.defaultdict(set)
        self.records: list[observations.Record] = []
        self.running: collections.Counter[str] = collections.Counter()
        self.link_bytes: dict[str, int] = {}
        self.versions_seen: list[observations.VersionSeen] = []

    def finished_tasks(self, token: str) -> int:
        """Returns the number of finished tasks with a token."""
        return len(self._finished.get(token, ()))

    async def run(self) -> None:
        """Polls until cancelled.

        Versions and records are polled concurrently, since a paused entry
        instance does not answer and must not delay the samples.
        """
        await asyncio.gather(
            self._poll_repeatedly(self._poll_standins),
            self._poll_repeatedly(self._read_versions),
        )

    async def poll(self) -> None:
        """Reads new records and versions once."""
        await self._poll_standins()
        await self._read_versions()

    def sorted_records(self) -> list[observations.Record]:
        """Returns all records in order of time."""
        return sorted(self.records, key=lambda record: record["at_ms"])

    async def _poll_repeatedly(
        self, read: Callable[[], Awaitable[None]]
    ) -> None:
        """Calls a read function at an interval until cancelled."""
        while True:
            try:
                await read()
            except exchange.NoReplyError:
                # A stand-in may answer too late on a busy machine. Nothing is
                # lost: the next poll continues at the same record.
                pass
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _poll_standins(self) -> None:
        """Reads new records and counters and writes one sample."""
        for control in self._target.wired.worker_processes():
            since = self._cursors.get(control, 0)
            found = await self._target.controls.worker_records(control, since)
            self._cursors[control] = since + len(found)
            for record in found:
                self._add(record)
        self.link_bytes = await self._target.controls.link_bytes()
        purposes = await self._target.controls.link_purposes()
        counters = await self._target.controls.table_counters()
        self._write({"table": counters, "link_purposes": purposes})

    def _add(self, record: observations.Record) -> None:
        """Adds a record and updates the running and finished tasks."""
        self.records.append(record)
        if record["event"] == "start":
            self.running[record["team"]] += 1
        elif record["event"] == "end":
            self.running[record["team"]] -= 1
            if record["state"] == "finished":
                token = record["token"]
                unit = spans.work_id_of(
                    record["job_id"], token, record["task_id"]
                )
                self._finished[token].add(unit)

    async def _read_versions(self) -> None:
        """Reads the configuration version of every entry instance."""
        operator = self._target.operator
        entries = self._target.wired.entries
        seen = await asyncio.gather(
            *(operator.read_rules(entry) for entry in entries)
        )
        self.versions_seen.extend(each for each in seen if each is not None)

    def _write(self, fields: dict[str, Any]) -> None:
        """Appends one sample to the file."""
        sample = {
            "at_ms": clock.monotonic_ms(),
            "running": dict(self.running),
            "link_bytes": self.link_bytes,
            **fields,
        }
        with self._path.open("a", encoding="utf-8") as file:
            file.write(json.dumps(sample) + "\n")
