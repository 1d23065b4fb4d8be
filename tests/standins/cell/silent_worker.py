"""Stand-in for a worker that accepts connections and answers nothing."""

from __future__ import annotations

import asyncio


class SilentWorker:
    """Discards all that is sent to it.

    Args:
        address: `ip:port` to listen on.
    """

    def __init__(self, address):
        self._address = address
        self._server = None
        self._transports = []

    async def start(self):
        host, _, port = self._address.rpartition(":")
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Connection(self._transports), host, int(port)
        )

    def stop(self):
        self._server.close()
        for transport in self._transports:
            transport.abort()


class _Connection(asyncio.Protocol):

    def __init__(self, transports):
        self._transports = transports

    def connection_made(self, transport):
        self._transports.append(transport)
