"""Circuit breaker: an outage of a service costs its callers no waiting."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random

from marigoldgap import clock
from marigoldgap import errors
from marigoldgap import logs

_log = logs.PartLogger("platform")

# Three quick failures in a row, or two calls without any answer, separate an
# outage from a single lost packet.
_WEIGHT_TO_OPEN = 3
_WEIGHT_OF_FAILURE = 1
_WEIGHT_OF_TIMEOUT = 2
_FIRST_DELAY_MS = 200
# Bounds the extra time until a service that came back is used again.
_LONGEST_DELAY_MS = 2_000


class CircuitBreaker:
    """Refuses calls during an outage and probes in the background.

    No caller waits for a probe: a call that arrives when a probe is due
    starts it and is refused at once.

    Args:
        name: Name of the service in messages.
        probe: A cheap read; it raises StoreUnavailableError if it fails.
        source: Source of the random delays (full jitter).
        now_ms: Monotonic clock.
    """

    def __init__(
        self,
        name: str,
        probe: Callable[[], Awaitable[object]],
        source: random.Random,
        now_ms: Callable[[], int] = clock.monotonic_ms,
    ) -> None:
        self._name = name
        self._probe = probe
        self._source = source
        self._now_ms = now_ms
        self._weight = 0
        self._delay_ms = _FIRST_DELAY_MS
        self._probe_at_ms: int | None = None
        self._probing: asyncio.Task[None] | None = None

    @property
    def is_open(self) -> bool:
        """Whether calls are refused now."""
        return self._probe_at_ms is not None

    def check(self) -> None:
        """Refuses a call during an outage.

        Raises:
            errors.StoreUnavailableError: The service is known to be down.
        """
        if self._probe_at_ms is None:
            return
        if self._now_ms() >= self._probe_at_ms and self._probing is None:
            self._probing = asyncio.create_task(self._run_probe())
        raise errors.StoreUnavailableError(
            f"the {self._name} is down; retry in a few seconds"
        )

    def succeeded(self) -> None:
        """Records an answer of the service."""
        if self.is_open:
            _log.info("The %s answers again", self._name)
        self._weight = 0
        self._delay_ms = _FIRST_DELAY_MS
        self._probe_at_ms = None

    def failed(self, timed_out: bool = False) -> None:
        """Records that the service did not answer.

        Args:
            timed_out: Whether it cost its caller the whole timeout.
        """
        weight = _WEIGHT_OF_TIMEOUT if timed_out else _WEIGHT_OF_FAILURE
        self._weight += weight
        if self._weight < _WEIGHT_TO_OPEN:
            return
        if not self.is_open:
            _log.warning("The %s does not answer", self._name)
        delay_ms = int(self._source.uniform(0, self._delay_ms))
        self._probe_at_ms = self._now_ms() + delay_ms
        self._delay_ms = min(self._delay_ms * 2, _LONGEST_DELAY_MS)

    async def close(self) -> None:
        """Ends a running probe."""
        if self._probing is not None:
            self._probing.cancel()
            await asyncio.gather(self._probing, return_exceptions=True)

    async def _run_probe(self) -> None:
        """Tries the service once; the probe records the result itself."""
        try:
            await self._probe()
        except errors.MarigoldgapError as error:
            _log.debug("The probe of the %s failed: %s", self._name, error)
        finally:
            self._probing = None
