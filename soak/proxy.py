"""TCP proxy on loopback that delays, withholds or resets traffic."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct

_CHUNK_BYTES = 65_536
_WITHHOLD_POLL_INTERVAL_S = 0.02
# A linger time of 0 s makes close() reset the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# What fileno() returns for a closed socket.
_CLOSED = -1


class Mode(enum.Enum):
    """How the proxy treats bytes.

    Attributes:
        PASS: Forwards them.
        DELAY: Delays each chunk.
        SILENT: Withholds them in both directions.
        ANSWERS_LOST: Withholds those from the server.
    """

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    ANSWERS_LOST = "answers-lost"


class Proxy:
    """Forwards connections to one server.

    Args:
        listen: `ip:port` to listen on.
        target: `ip:port` of the server.
    """

    def __init__(self, listen: str, target: str) -> None:
        self.mode = Mode.PASS
        self.delay_s = 0.0
        # Rate of the answers in bytes per second; 0 for no limit.
        self.answer_rate = 0.0
        self.address = listen
        self._target = target
        self._free_at_s = 0.0
        self._server: asyncio.Server | None = None
        self._start_lock = asyncio.Lock()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts listening, unless it already does."""
        async with self._start_lock:
            if self._server is not None:
                return
            host, _, port = self.address.rpartition(":")
            self._server = await asyncio.start_server(
                self._serve, host, int(port)
            )

    def reset(self) -> None:
        """Resets all connections (RST), unlike a process that closes them."""
        for writer in list(self._writers):
            connection = writer.get_extra_info("socket")
            if connection.fileno() == _CLOSED:
                continue
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
            writer.transport.abort()

    def close(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset()
        for task in self._tasks:
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            server = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        writers = (writer, server[1])
        self._writers.update(writers)
        tasks = [
            asyncio.create_task(self._forward_bytes(reader, server[1], False)),
            asyncio.create_task(self._forward_bytes(server[0], writer, True)),
        ]
        self._tasks.update(tasks)
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for each in writers:
            each.transport.abort()
            self._writers.discard(each)
        for task in tasks:
            task.cancel()
            self._tasks.discard(task)

    async def _wait_for_link(self, size: int) -> None:
        """Waits until the link has carried bytes; all connections share it."""
        now_s = asyncio.get_running_loop().time()
        self._free_at_s = max(self._free_at_s, now_s) + size / self.answer_rate
        await asyncio.sleep(self._free_at_s - now_s)

    async def _forward_bytes(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_answer: bool,
    ) -> None:
        try:
            while data := await reader.read(_CHUNK_BYTES):
                while self.mode is Mode.SILENT or (
                    is_answer and self.mode is Mode.ANSWERS_LOST
                ):
                    await asyncio.sleep(_WITHHOLD_POLL_INTERVAL_S)
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(self.delay_s)
                if is_answer and self.answer_rate:
                    await self._wait_for_link(len(data))
                writer.write(data)
                await writer.drain()
        except OSError:
            return
