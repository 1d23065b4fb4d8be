"""Counts and logs what is done about clients that reach a limit."""

from __future__ import annotations

from typing import Any

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap import measures

_log = decision_log.DecisionLogger("web")

# Time for which further lines of a source about the same limit are only counted.
_QUIET_S = 5.0
# Sources that are remembered; the oldest one is forgotten for a new one.
_MAX_SOURCES = 256


class LimitLog:
    """Counts by listening address and cause; logs at most a line per source.

    Args:
        address_kind: Name of the listening address in metrics and log lines.
    """

    def __init__(self, address_kind: str) -> None:
        self._address_kind = address_kind
        # Time from which the next line may be logged, and the number of those
        # that were left out, by source and limit; oldest first.
        self._sources: dict[tuple[str, str], tuple[float, int]] = {}

    def record(
        self, event: str, limit: str, source: str, **fields: Any
    ) -> None:
        """Counts an event; logs it unless its source had a line lately.

        Args:
            event: Name of the event.
            limit: Name of the limit, one of a fixed set.
            source: Host of the client.
            **fields: Further fields of the line.
        """
        measures.LIMITED_CLIENTS.labels(self._address_kind, limit).inc()
        now_s = clock.now_s()
        key = source, limit
        quiet_until_s, left_out = self._sources.get(key, (0.0, 0))
        if now_s < quiet_until_s:
            self._sources[key] = quiet_until_s, left_out + 1
            return
        self._sources.pop(key, None)
        if len(self._sources) >= _MAX_SOURCES:
            del self._sources[next(iter(self._sources))]
        self._sources[key] = now_s + _QUIET_S, 0
        _log.warning(
            event,
            address=self._address_kind,
            limit=limit,
            source=source,
            left_out=left_out,
            **fields,
        )
