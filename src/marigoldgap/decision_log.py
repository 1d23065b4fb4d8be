"""Structured log on standard output, one JSON object per line.

Writing never blocks: lines that the reader has not consumed are buffered up to
a limit; further lines are dropped and counted. Each event is rate-limited: its
lines beyond a limit per second are replaced by one line with their count.
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

_ROOT_LOGGER = logging.getLogger("marigoldgap.decisions")
# Maximum size of the buffer for a reader that is slower than the writer.
_MAX_BUFFERED_BYTES = 262_144
# Further lines of the same event within a second are only counted.
_MAX_LINES_PER_EVENT_AND_SECOND = 400
# Delay before buffered lines are written again to a slow reader.
_RETRY_DELAY_S = 0.05


class DecisionLogger:
    """Logs the events of one component.

    Args:
        part: Name of the component, e.g. `scheduler`.
    """

    def __init__(self, part: str) -> None:
        self._part = part

    def info(self, event: str, **fields: Any) -> None:
        """Logs a decision or a change of the known state."""
        self._log(logging.INFO, event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Logs a failure that is handled."""
        self._log(logging.WARNING, event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Logs a failure that needs attention."""
        self._log(logging.ERROR, event, fields)

    def exception(self, event: str, **fields: Any) -> None:
        """Logs a failure with the last frames of the current exception."""
        fields["stack"] = traceback.format_exc(limit=-4)
        self._log(logging.ERROR, event, fields)

    def _log(self, level: int, event: str, fields: dict[str, Any]) -> None:
        if _ROOT_LOGGER.isEnabledFor(level):
            _ROOT_LOGGER.log(
                level,
                event,
                extra={"part": self._part, "fields": fields},
            )


class _RateLimiter:
    """Limits the lines of each event per second.

    Attributes:
        suppressed: Number of lines by event that were not written since the
            caller last cleared it.
    """

    def __init__(self) -> None:
        self._second = 0
        self._counts: dict[str, int] = {}
        self.suppressed: dict[str, int] = {}

    def allows(self, event: str, now_s: float) -> bool:
        """Counts a line of the event; returns whether it may be written.

        Args:
            event: Name of the event.
            now_s: Wall clock time in seconds.
        """
        second = int(now_s)
        if second != self._second:
            self._second = second
            self._counts.clear()
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        if count <= _MAX_LINES_PER_EVENT_AND_SECOND:
            return True
        self.suppressed[event] = self.suppressed.get(event, 0) + 1
        return False


class _OutputHandler(logging.Handler):
    """Writes log lines to a file descriptor without blocking.

    Args:
        instance: Name of this instance.
        descriptor: File descriptor to write to.
    """

    def __init__(self, instance: str, descriptor: int) -> None:
        super().__init__()
        self._instance = instance
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._dropped = 0
        self._is_retry_scheduled = False
        self._rate_limiter = _RateLimiter()
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes or buffers the line of a record."""
        event = record.getMessage()
        if not self._rate_limiter.allows(event, record.created):
            return
        self._enqueue(self._format_record(record, event))
        for name, count in self._rate_limiter.suppressed.items():
            self._enqueue(self._format_summary("lines_suppressed", name, count))
        self._rate_limiter.suppressed.clear()
        self._flush()

    def _format_record(self, record: logging.LogRecord, event: str) -> bytes:
        entry = {
            "time_ms": int(record.created * 1000),
            "level": record.levelname.lower(),
            "instance": self._instance,
            "part": getattr(record, "part", ""),
            "event": event,
            **getattr(record, "fields", {}),
        }
        return json.dumps(entry, default=str).encode() + b"\n"

    def _format_summary(
        self, event: str, counted_event: str, count: int
    ) -> bytes:
        entry = {
            "time_ms": int(time.time() * 1000),
            "level": "warning",
            "instance": self._instance,
            "part": "log",
            "event": event,
            "of": counted_event,
            "count": count,
        }
        return json.dumps(entry).encode() + b"\n"

    def _enqueue(self, line: bytes) -> None:
        if self._buffered_bytes + len(line) > _MAX_BUFFERED_BYTES:
            self._dropped += 1
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)

    def _flush(self) -> None:
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._schedule_retry()
                return
            except OSError:
                # The reader is gone, and there is nowhere to report the error.
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                continue
            self._buffer.popleft()
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            self._enqueue(self._format_summary("lines_dropped", "all", dropped))
            self._flush()

    def _schedule_retry(self) -> None:
        if self._is_retry_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Without an event loop the next line triggers the retry.
            return
        self._is_retry_scheduled = True
        loop.call_later(_RETRY_DELAY_S, self._retry)

    def _retry(self) -> None:
        self._is_retry_scheduled = False
        self._flush()


def configure(instance: str, level: int = logging.INFO) -> None:
    """Sends the log lines of all components to standard output.

    Args:
        instance: Name of this instance, a field of each line.
        level: Lowest level that is logged.
    """
    _ROOT_LOGGER.handlers[:] = [_OutputHandler(instance, sys.stdout.fileno())]
    _ROOT_LOGGER.setLevel(level)
    _ROOT_LOGGER.propagate = False
