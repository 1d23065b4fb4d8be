"""Circuit breaker that fails calls fast while a service is down."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random

from marigoldgap import clock
from marigoldgap import errors
from marigoldgap import logs

_log = logs.PartLogger("platform")

# Three fast failures or two timeouts in a row open the breaker; a single lost
# packet does not.
_OPEN_THRESHOLD = 3
_FAILURE_WEIGHT = 1
_TIMEOUT_WEIGHT = 2
_INITIAL_BACKOFF_MS = 200
# Bounds the time until a recovered service is used again.
_MAX_BACKOFF_MS = 2_000


class CircuitBreaker:
    """Rejects calls during an outage and probes the service in the background.

    No caller waits for a probe: a call that arrives when a probe is due
    starts the probe and is rejected immediately.

    Args:
        name: Name of the service in errors and logs.
        probe: Inexpensive read; raises StoreUnavailableError on failure.
        random_source: Random generator for the backoff (full jitter).
        now_ms: Monotonic clock, in milliseconds.
    """

    def __init__(
        self,
        name: str,
        probe: Callable[[], Awaitable[object]],
        random_source: random.Random,
        now_ms: Callable[[], int] = clock.monotonic_ms,
    ) -> None:
        self._name = name
        self._probe = probe
        self._random_source = random_source
        self._now_ms = now_ms
        self._failure_weight = 0
        self._backoff_ms = _INITIAL_BACKOFF_MS
        self._probe_at_ms: int | None = None
        self._probe_task: asyncio.Task[None] | None = None

    @property
    def is_open(self) -> bool:
        """Whether calls are currently rejected."""
        return self._probe_at_ms is not None

    def raise_if_open(self) -> None:
        """Rejects a call during an outage and starts a probe when one is due.

        Raises:
            errors.StoreUnavailableError: The breaker is open.
        """
        if self._probe_at_ms is None:
            return
        if self._now_ms() >= self._probe_at_ms and self._probe_task is None:
            self._probe_task = asyncio.create_task(self._run_probe())
        raise errors.StoreUnavailableError(
            f"the {self._name} is down; retry in a few seconds"
        )

    def record_success(self) -> None:
        """Records that the service answered and closes the breaker."""
        if self.is_open:
            _log.info("The %s is available again", self._name)
        self._failure_weight = 0
        self._backoff_ms = _INITIAL_BACKOFF_MS
        self._probe_at_ms = None

    def record_failure(self, timed_out: bool = False) -> None:
        """Records a failed call; opens the breaker at the threshold.

        Args:
            timed_out: Whether the call ran into its timeout.
        """
        weight = _TIMEOUT_WEIGHT if timed_out else _FAILURE_WEIGHT
        self._failure_weight += weight
        if self._failure_weight < _OPEN_THRESHOLD:
            return
        if not self.is_open:
            _log.warning(
                "The %s is unavailable; calls are rejected", self._name
            )
        delay_ms = int(self._random_source.uniform(0, self._backoff_ms))
        self._probe_at_ms = self._now_ms() + delay_ms
        self._backoff_ms = min(self._backoff_ms * 2, _MAX_BACKOFF_MS)

    async def close(self) -> None:
        """Cancels a running probe."""
        if self._probe_task is not None:
            self._probe_task.cancel()
            await asyncio.gather(self._probe_task, return_exceptions=True)

    async def _run_probe(self) -> None:
        """Probes the service once; the probe call records its result."""
        try:
            await self._probe()
        except errors.MarigoldgapError as error:
            _log.debug("The probe of the %s failed: %s", self._name, error)
        finally:
            self._probe_task = None
