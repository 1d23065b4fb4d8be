"""Runs coroutines from commands, which are synchronous."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any
from typing import Protocol
from typing import TypeVar

_Result = TypeVar("_Result")


class Client(Protocol):
    """A client with open connections."""

    async def close(self) -> None:
        """Closes all connections."""


def run(client: Client, coroutine: Coroutine[Any, Any, _Result]) -> _Result:
    """Runs a coroutine in a new event loop, then closes the client it uses."""

    async def run_and_close() -> _Result:
        try:
            return await coroutine
        finally:
            await client.close()

    return asyncio.run(run_and_close())
