"""A client that sends what no ordinary caller sends, beside all faults."""

from __future__ import annotations

import asyncio
import random

from soak import instances
from tests.standins import hostile_clients

# Mean interval between two crowds.
_MEAN_INTERVAL_S = 1.5
# Longest time for which a crowd keeps its connections.
_MAX_HOLD_S = 2.0
# Far below what an instance would hold without limits, and little work for it:
# the load of the run is that of its callers.
_CROWD_CLIENTS = 4
_CROWD_BYTES = 2_000_000
_OPENED_CONNECTIONS = 100
_OPEN_ONLY = "connections that only open"
# More than an instance needs with all limits in use; the smallest machine has
# 200 MB.
MAX_MEMORY_KB = 128 * 1_024


class HostileClient:
    """Sends one crowd after another to random instances.

    It has its own random source, so that the other faults of a seed stay the
    same.

    Args:
        random_source: Determines instances and crowds.
        entry_instances: The instances.
        request: Encoded request that every instance answers.
    """

    def __init__(
        self,
        random_source: random.Random,
        entry_instances: list[instances.Instance],
        request: bytes,
    ) -> None:
        self.crowds = 0
        self._random_source = random_source
        self._instances = entry_instances
        self._request = request

    async def run(self) -> None:
        """Sends crowds until it is cancelled."""
        while True:
            await asyncio.sleep(
                self._random_source.expovariate(1 / _MEAN_INTERVAL_S)
            )
            await self._send_crowd()

    async def _send_crowd(self) -> None:
        instance = self._random_source.choice(self._instances)
        target = hostile_clients.Target(
            instance.callers_address,
            self._request,
            self._request,
            _CROWD_CLIENTS,
            _CROWD_BYTES,
        )
        name = self._random_source.choice(
            [*sorted(hostile_clients.CROWDS), _OPEN_ONLY]
        )
        hold_s = self._random_source.uniform(0.0, _MAX_HOLD_S)
        if name == _OPEN_ONLY:
            clients = await hostile_clients.open_only(
                target, _OPENED_CONNECTIONS, lambda: None
            )
        else:
            clients = await hostile_clients.CROWDS[name](target)
        self.crowds += 1
        try:
            await asyncio.sleep(hold_s)
        finally:
            for each in clients:
                each.close()


def memory_violations(
    entry_instances: list[instances.Instance],
) -> list[str]:
    """Returns the running instances that took more memory than they may."""
    return [
        f"{each.name} took {each.peak_memory_kb} KiB of memory"
        for each in entry_instances
        if each.is_running and each.peak_memory_kb > MAX_MEMORY_KB
    ]
