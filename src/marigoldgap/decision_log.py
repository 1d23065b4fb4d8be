"""Structured log lines on standard output, one for each decision.

Lines are JSON objects. Writing never blocks: what the reader does not take is
kept up to a bound, then dropped and counted. An event that comes too often in
one second is summed up in one line with its count.
"""

from __future__ import annotations

import asyncio
import collections
import json
import logging
import os
import sys
import time
import traceback
from typing import Any

_ROOT = logging.getLogger("marigoldgap.decisions")
# Bytes kept for a reader that is slower than the writer.
_MAX_PENDING_BYTES = 262_144
# Lines of one event in a second; further ones are summed up.
_MAX_LINES_PER_EVENT = 400
# Pause before the next attempt to write to a slow reader.
_RETRY_S = 0.05


class DecisionLogger:
    """Logs the decisions of one part of the program.

    Args:
        part: Name of the part, e.g. `scheduler`.
    """

    def __init__(self, part: str) -> None:
        self._part = part

    def info(self, event: str, **fields: Any) -> None:
        """Logs a decision or a change of what is believed."""
        self._log(logging.INFO, event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Logs a failure that the program handles."""
        self._log(logging.WARNING, event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Logs a failure that needs attention."""
        self._log(logging.ERROR, event, fields)

    def exception(self, event: str, **fields: Any) -> None:
        """Logs the current exception with its stack."""
        fields["stack"] = traceback.format_exc(limit=-4)
        self._log(logging.ERROR, event, fields)

    def _log(self, level: int, event: str, fields: dict[str, Any]) -> None:
        if _ROOT.isEnabledFor(level):
            _ROOT.log(
                level,
                event,
                extra={"part": self._part, "fields": fields},
            )


class _Throttle:
    """Counts lines of each event in the current second."""

    def __init__(self) -> None:
        self._second = 0
        self._counts: dict[str, int] = {}
        self.suppressed: dict[str, int] = {}

    def admits(self, event: str, now: float) -> bool:
        """Whether a line of the event may be written."""
        second = int(now)
        if second != self._second:
            self._second = second
            self._counts.clear()
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        if count <= _MAX_LINES_PER_EVENT:
            return True
        self.suppressed[event] = self.suppressed.get(event, 0) + 1
        return False


class _OutputHandler(logging.Handler):
    """Writes lines without ever blocking.

    Args:
        instance: Name of this process.
        descriptor: File descriptor to write to.
    """

    def __init__(self, instance: str, descriptor: int) -> None:
        super().__init__()
        self._instance = instance
        self._descriptor = descriptor
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self._dropped = 0
        self._has_timer = False
        self._throttle = _Throttle()
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes or keeps the line of a record."""
        event = record.getMessage()
        if not self._throttle.admits(event, record.created):
            return
        self._add(self._line(record, event))
        for name, count in self._throttle.suppressed.items():
            self._add(self._summary("lines_suppressed", name, count))
        self._throttle.suppressed.clear()
        self._write()

    def _line(self, record: logging.LogRecord, event: str) -> bytes:
        entry = {
            "time_ms": int(record.created * 1000),
            "level": record.levelname.lower(),
            "instance": self._instance,
            "part": getattr(record, "part", ""),
            "event": event,
            **getattr(record, "fields", {}),
        }
        return json.dumps(entry, default=str).encode() + b"\n"

    def _summary(self, event: str, name: str, count: int) -> bytes:
        entry = {
            "time_ms": int(time.time() * 1000),
            "level": "warning",
            "instance": self._instance,
            "part": "log",
            "event": event,
            "of": name,
            "count": count,
        }
        return json.dumps(entry).encode() + b"\n"

    def _add(self, line: bytes) -> None:
        if self._pending_bytes + len(line) > _MAX_PENDING_BYTES:
            self._dropped += 1
            return
        self._pending.append(line)
        self._pending_bytes += len(line)

    def _write(self) -> None:
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._retry_later()
                return
            except OSError:
                # Nobody reads any more; there is no other place to report to.
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written < len(line):
                self._pending[0] = line[written:]
                continue
            self._pending.popleft()
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            self._add(self._summary("lines_dropped", "all", dropped))
            self._write()

    def _retry_later(self) -> None:
        if self._has_timer:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Without a loop the next line tries again.
            return
        self._has_timer = True
        loop.call_later(_RETRY_S, self._retry)

    def _retry(self) -> None:
        self._has_timer = False
        self._write()


def configure(instance: str, level: int = logging.INFO) -> None:
    """Sends lines of all parts to standard output.

    Args:
        instance: Name of this process in each line.
        level: Lowest level that is written.
    """
    _ROOT.handlers[:] = [_OutputHandler(instance, sys.stdout.fileno())]
    _ROOT.setLevel(level)
    _ROOT.propagate = False
