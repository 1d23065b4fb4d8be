"""Interfaces of the peers that the scheduler of a cell talks to."""

from __future__ import annotations

from typing import Protocol

from marigoldgap import errors
from marigoldgap.cell import model
from marigoldgap.web import client
from marigoldgap.web import messages

# Most workers about which one call may ask for advice.
MAX_ADVISED_WORKERS = 100


class FencedError(messages.ExchangeError):
    """The worker has seen a higher fencing token."""

    code = "fenced"


class OtherLifeError(messages.ExchangeError):
    """Another worker answers at this address."""

    code = "other-life"


class AdviceBusyError(messages.ExchangeError):
    """Too many calls of this machine are waiting; nothing was decided."""

    code = "advice-busy"
    ran = errors.Ran.NO


class WorkerPort(Protocol):
    """Orders to workers."""

    async def start(
        self,
        worker: model.Registration,
        name: model.RunName,
        payload: str,
        lease_until_ms: int,
        fence: int,
        saved: str,
        ticket: str,
        timeout_s: float,
    ) -> model.StartAnswer:
        """Starts a run; repeating it for the same run is safe."""

    async def stop(
        self,
        worker: model.Registration,
        name: model.RunName,
        fence: int,
        timeout_s: float,
    ) -> bool:
        """Stops a run; returns whether the worker took the order."""

    async def renew(
        self,
        connection: client.Connection,
        worker: model.Registration,
        fence: int,
        seen_number: int,
        lease_until_ms: int,
        wait_ms: int,
    ) -> model.WorkerListing:
        """Renews the lease and reads what runs and what ended."""


class AdvicePort(Protocol):
    """The service that advises which workers may run a step."""

    async def ask(
        self, step: str, workers: list[str], timeout_s: float
    ) -> model.Tickets:
        """Asks which of the workers may run a step."""
