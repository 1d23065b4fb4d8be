"""Clients that send what no ordinary caller sends, in bounded amounts.

A decorator registers each crowd by its name. A crowd keeps its connections open
until they are closed by whoever started it, so that what they hold stays held.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import re
import socket
from typing import NamedTuple

from marigoldgap.web import client as http_client
from marigoldgap.web import messages

# Connections of a crowd, but for the one that only opens connections.
CLIENTS = 16
# Bytes that all connections of a crowd send together.
CROWD_BYTES = 64_000_000
_PIECE = 16_384
# Time after which a server that reads nothing is sent nothing more.
_SEND_TIMEOUT_S = 1.0
_CONNECT_TIMEOUT_S = 2.0
# Small, so that responses that are not read stay with the server.
_RECEIVE_BUFFER_BYTES = 4_096
# Requests that are sent at once on a connection.
_PIPELINED = 12
# Connections whose responses are not read. The system keeps up to some MB of
# unread responses of each; more connections would keep all of them there.
UNREAD_CLIENTS = 3
# Responses that are left unread in each round.
UNREAD_PER_ROUND = _PIPELINED * UNREAD_CLIENTS
# Time for a server to accept connections before the next ones are opened.
_OPENING_PAUSE_S = 0.001
_STATUS_LINE = re.compile(rb"HTTP/1\.1 (\d{3}) ")


class Target(NamedTuple):
    """A server and a request that it answers at once, and one that waits.

    Attributes:
        address: `ip:port` of the server.
        request: Encoded request that is answered at once.
        slow_request: Encoded request whose response takes some seconds; empty
            if the server has none.
        clients: Connections of a crowd.
        crowd_bytes: Bytes that all of them send together.
    """

    address: str
    request: bytes = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
    slow_request: bytes = b""
    clients: int = CLIENTS
    crowd_bytes: int = CROWD_BYTES


class HostileClient:
    """One connection that sends bytes until it is closed or a limit is met."""

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self.sent_bytes = 0
        self.is_cut = False

    async def send(self, content: bytes) -> bool:
        """Sends bytes.

        Returns:
            Whether all were sent; otherwise nothing more can be sent.
        """
        if self.is_cut:
            return False
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(_SEND_TIMEOUT_S):
                await loop.sock_sendall(self._connection, content)
        except (OSError, TimeoutError):
            self.is_cut = True
            return False
        self.sent_bytes += len(content)
        return True

    async def send_repeatedly(self, content: bytes, total: int) -> None:
        """Sends the same bytes again until `total` bytes were sent."""
        piece = content * max(1, _PIECE // len(content))
        until = self.sent_bytes + total
        while self.sent_bytes < until and await self.send(piece):
            pass

    def statuses(self) -> list[int]:
        """Returns the status codes of the responses that have arrived."""
        content = b""
        while True:
            try:
                part = self._connection.recv(65_536)
            except OSError:
                break
            if not part:
                break
            content += part
        return [int(each) for each in _STATUS_LINE.findall(content)]

    def close(self) -> None:
        self._connection.close()


Crowd = Callable[[Target], Awaitable[list[HostileClient]]]
CROWDS: dict[str, Crowd] = {}


def _crowd(name: str) -> Callable[[Crowd], Crowd]:
    def register(function: Crowd) -> Crowd:
        CROWDS[name] = function
        return function

    return register


async def connect(address: str) -> HostileClient | None:
    """Opens a connection; None if the server accepts none."""
    host, _, port = address.rpartition(":")
    connection = socket.socket()
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
    )
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            await loop.sock_connect(connection, (host, int(port)))
    except (OSError, TimeoutError):
        connection.close()
        return None
    return HostileClient(connection)


async def _connect_all(address: str, count: int) -> list[HostileClient]:
    found = [await connect(address) for _ in range(count)]
    return [each for each in found if each is not None]


async def _send_from_all(
    target: Target, count: int, first: bytes, repeated: bytes
) -> list[HostileClient]:
    """Sends `first` once and `repeated` many times on each connection."""
    clients = await _connect_all(target.address, count)

    async def send(client: HostileClient) -> None:
        if not first or await client.send(first):
            await client.send_repeatedly(repeated, target.crowd_bytes // count)

    await asyncio.gather(*map(send, clients))
    return clients


_HEAD = b"GET / HTTP/1.1\r\nHost: x\r\n"
_CHUNKED = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"


@_crowd("an unending header value")
async def unending_value(target: Target) -> list[HostileClient]:
    return await _send_from_all(target, 1, _HEAD + b"A: ", b"v")


@_crowd("an unending header name")
async def unending_name(target: Target) -> list[HostileClient]:
    return await _send_from_all(target, 1, _HEAD, b"n")


@_crowd("an unending request target")
async def unending_target(target: Target) -> list[HostileClient]:
    return await _send_from_all(target, 1, b"GET /", b"t")


@_crowd("heads over the limit")
async def large_heads(target: Target) -> list[HostileClient]:
    return await _send_from_all(
        target, target.clients, _HEAD, b"A: vvvvvvvvvv\r\n"
    )


@_crowd("heads of many different headers")
async def many_headers(target: Target) -> list[HostileClient]:
    names = b"".join(b"%x:\r\n" % number for number in range(3_000))
    return await _send_from_all(target, target.clients, _HEAD, names)


@_crowd("unending heads behind a request")
async def unending_behind(target: Target) -> list[HostileClient]:
    first = target.request + _HEAD + b"A: "
    return await _send_from_all(target, target.clients, first, b"v")


@_crowd("unending heads behind a request that is being answered")
async def unending_behind_slow(target: Target) -> list[HostileClient]:
    first = target.slow_request + _HEAD + b"A: "
    return await _send_from_all(target, target.clients, first, b"v")


@_crowd("endless empty lines")
async def empty_lines(target: Target) -> list[HostileClient]:
    return await _send_from_all(target, target.clients, b"", b"\r\n")


@_crowd("endless empty lines behind a request that is being answered")
async def empty_lines_behind_slow(target: Target) -> list[HostileClient]:
    return await _send_from_all(
        target, target.clients, target.slow_request, b"\r\n"
    )


@_crowd("bodies of one-byte chunks")
async def small_chunks(target: Target) -> list[HostileClient]:
    return await _send_from_all(target, target.clients, _CHUNKED, b"1\r\nx\r\n")


@_crowd("endless chunk extensions")
async def chunk_extensions(target: Target) -> list[HostileClient]:
    return await _send_from_all(target, target.clients, _CHUNKED + b"1;", b"e")


@_crowd("endless trailers")
async def trailers(target: Target) -> list[HostileClient]:
    return await _send_from_all(
        target, target.clients, _CHUNKED + b"0\r\n", b"T: vvvvvvvvvv\r\n"
    )


@_crowd("an unending trailer")
async def unending_trailer(target: Target) -> list[HostileClient]:
    return await _send_from_all(
        target, target.clients, _CHUNKED + b"0\r\nT: ", b"v"
    )


async def leave_unread(target: Target, rounds: int) -> list[HostileClient]:
    """Sends requests in rounds on all connections and reads no response.

    A request of one more connection is answered in each round, so that the
    server has handled the requests of a round before the next one, and rejects
    none for being too many at once.
    """
    clients = await _connect_all(target.address, UNREAD_CLIENTS)
    pacer = http_client.HttpPool()
    for _ in range(rounds):
        await asyncio.gather(
            *(each.send(target.request * _PIPELINED) for each in clients)
        )
        with contextlib.suppress(messages.ExchangeError):
            await pacer.exchange("GET", target.address, "/")
    return clients


@_crowd("requests behind a request that is being answered")
async def pipelined_behind_slow(target: Target) -> list[HostileClient]:
    return await _send_from_all(
        target, target.clients, target.slow_request, target.request
    )


async def open_only(
    target: Target, count: int, observe: Callable[[], None]
) -> list[HostileClient]:
    """Opens connections and sends nothing.

    Args:
        target: The server.
        count: Number of connections.
        observe: Called after each of them.
    """
    clients = []
    for _ in range(count):
        client = await connect(target.address)
        if client is not None:
            clients.append(client)
        await asyncio.sleep(_OPENING_PAUSE_S)
        observe()
    return clients
