"""Relays TCP connections with latency, rate limits, counters and cuts."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time
from typing import NamedTuple

from marigoldgap import clock

_CHUNK_BYTES = 16_384
# Limits the chunks in flight per connection; beyond, the sender must wait.
_CHUNKS_IN_FLIGHT = 64
_BITS_PER_BYTE = 8
_BITS_PER_MEGABIT = 1_000_000


class Direction:
    """One direction of a link; all its connections share the rate.

    Args:
        delay_ms: One-way latency.
        rate_mbit: Rate in Mbit/s; 0 for no limit.
    """

    def __init__(self, delay_ms: float, rate_mbit: float) -> None:
        self._delay_s = delay_ms / clock.MILLISECONDS_PER_SECOND
        self._bytes_per_s = rate_mbit * _BITS_PER_MEGABIT / _BITS_PER_BYTE
        self._free_at_s = 0.0
        self.sent_bytes = 0

    @property
    def delay_s(self) -> float:
        """One-way latency in seconds."""
        return self._delay_s

    def send(self, size: int) -> float:
        """Counts bytes and returns their arrival time.

        Returns:
            The arrival time on the monotonic clock, in seconds.
        """
        self.sent_bytes += size
        now_s = time.monotonic()
        if not self._bytes_per_s:
            return now_s + self._delay_s
        self._free_at_s = max(self._free_at_s, now_s)
        self._free_at_s += size / self._bytes_per_s
        return self._free_at_s + self._delay_s


class Path:
    """Connections that are cut together; a long cut closes them.

    Args:
        close_after_ms: How long connections survive a cut, as they do while
            their hosts retransmit, in milliseconds.
    """

    def __init__(self, close_after_ms: int) -> None:
        self._close_after_s = close_after_ms / clock.MILLISECONDS_PER_SECOND
        self._open = asyncio.Event()
        self._open.set()
        self._closing: asyncio.TimerHandle | None = None
        self._transports: set[asyncio.WriteTransport] = set()

    @property
    def is_cut(self) -> bool:
        """Whether the path is cut."""
        return not self._open.is_set()

    async def wait_open(self) -> None:
        """Waits until the path is not cut."""
        await self._open.wait()

    def cut(self) -> None:
        """Stops all traffic; connections close later."""
        if self._closing is None:
            self._open.clear()
            self._schedule_close()

    def heal(self) -> None:
        """Lets traffic pass again."""
        if self._closing is not None:
            self._closing.cancel()
            self._closing = None
        self._open.set()

    def add(self, transport: asyncio.WriteTransport) -> None:
        """Adds a connection to close after a long cut."""
        self._transports.add(transport)

    def discard(self, transport: asyncio.WriteTransport) -> None:
        """Removes a connection."""
        self._transports.discard(transport)

    def _schedule_close(self) -> None:
        """Schedules the next closing of connections while the cut lasts."""
        loop = asyncio.get_running_loop()
        self._closing = loop.call_later(self._close_after_s, self._close)

    def _close(self) -> None:
        """Aborts all connections."""
        for transport in list(self._transports):
            transport.abort()
        self._schedule_close()


class Channel(NamedTuple):
    """The two directions of a connection and its path."""

    forward: Direction
    backward: Direction
    path: Path


ChunkObserver = Callable[[bytes], None]


async def pump(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    direction: Direction,
    path: Path,
    observer: ChunkObserver | None = None,
) -> None:
    """Forwards bytes in one direction until the sender closes.

    Args:
        reader: Source of the bytes.
        writer: Destination of the bytes.
        direction: Delays and counts them.
        path: Withholds them during a cut.
        observer: Called with each chunk before it is written, with an empty one
            at the end.
    """
    chunks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(
        _CHUNKS_IN_FLIGHT
    )
    sender = asyncio.create_task(_send(chunks, writer, path, observer))
    try:
        while data := await reader.read(_CHUNK_BYTES):
            await chunks.put((direction.send(len(data)), data))
        await chunks.put((time.monotonic() + direction.delay_s, b""))
        await sender
    finally:
        sender.cancel()


async def _send(
    chunks: asyncio.Queue[tuple[float, bytes]],
    writer: asyncio.StreamWriter,
    path: Path,
    observer: ChunkObserver | None,
) -> None:
    """Writes each chunk at its arrival time; an empty one ends the stream."""
    while True:
        arrives_at_s, data = await chunks.get()
        await asyncio.sleep(max(0.0, arrives_at_s - time.monotonic()))
        await path.wait_open()
        if observer is not None:
            observer(data)
        if not data:
            writer.write_eof()
            return
        writer.write(data)
        await writer.drain()


async def relay(
    client: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    server: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    channel: Channel,
    observers: tuple[ChunkObserver | None, ChunkObserver | None] = (None, None),
) -> None:
    """Relays between two streams until both ended or one failed."""
    writers = (client[1], server[1])
    for writer in writers:
        channel.path.add(writer.transport)
    pumps = [
        asyncio.create_task(
            pump(
                client[0],
                server[1],
                channel.forward,
                channel.path,
                observers[0],
            )
        ),
        asyncio.create_task(
            pump(
                server[0],
                client[1],
                channel.backward,
                channel.path,
                observers[1],
            )
        ),
    ]
    try:
        await asyncio.gather(*pumps)
    except (OSError, RuntimeError):
        pass
    finally:
        for each in pumps:
            each.cancel()
        for writer in writers:
            channel.path.discard(writer.transport)
            writer.transport.abort()


async def open_target(
    address: str, timeout_s: float
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Opens a connection.

    Raises:
        OSError: The connection was refused or timed out.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        return await asyncio.open_connection(host, int(port))


ConnectionHandler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


async def listen(address: str, serve: ConnectionHandler) -> asyncio.Server:
    """Starts a server on an address."""

    async def serve_until_end(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await serve(reader, writer)
        except asyncio.CancelledError:
            # Raised when the process ends; asyncio would log it as an error.
            writer.transport.abort()

    host, _, port = address.rpartition(":")
    return await asyncio.start_server(
        serve_until_end, host, int(port), backlog=512
    )
