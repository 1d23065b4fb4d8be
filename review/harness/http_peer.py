"""Minimal HTTP/1.1 server and client on asyncio streams, JSON bodies."""

import asyncio
import json


class HttpServer:
    """Serves one handler; at most `max_connections` are accepted at a time.

    Further connections wait, as in the queue of a listening socket.
    """

    def __init__(self, handler, max_connections=1_000):
        self._handler = handler
        self._slots = asyncio.Semaphore(max_connections)
        self._server = None

    async def start(self, address):
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), backlog=1_024, limit=2**24
        )

    def close(self):
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader, writer):
        async with self._slots:
            try:
                while (request := await _read_request(reader)) is not None:
                    answer = await self._handler(*request)
                    if answer is None:
                        break
                    writer.write(_encode_answer(*answer))
                    await writer.drain()
            except (OSError, asyncio.IncompleteReadError, ValueError):
                pass
            except asyncio.CancelledError:
                pass
            finally:
                writer.close()


async def _read_head(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_request(reader):
    found = await _read_head(reader)
    if found is None:
        return None
    first, headers = found
    method, path, _ = first.split(" ")
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, path, headers, body


def _encode_answer(status, body=None):
    content = b"" if body is None else json.dumps(body).encode()
    head = (
        f"HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(content)}\r\n\r\n"
    )
    return head.encode() + content


async def call(
    address, method, path, body=None, headers=(), timeout_s=3.0, source=None
):
    """Sends one request on a new connection.

    Returns:
        Status and decoded body, or None if there was no complete response.
    """
    host, _, port = address.rpartition(":")
    content = b"" if body is None else json.dumps(body).encode()
    lines = [
        f"{method} {path} HTTP/1.1",
        *(f"{name}: {value}" for name, value in headers),
        "Content-Type: application/json",
        f"Content-Length: {len(content)}",
        "Connection: close",
    ]
    if not any(name.lower() == "host" for name, _ in headers):
        lines.append(f"Host: {address}")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), local_addr=(source, 0) if source else None
            )
            writer.write("\r\n".join([*lines, "", ""]).encode() + content)
            await writer.drain()
            found = await _read_head(reader)
            if found is None:
                return None
            first, fields = found
            size = int(fields.get("content-length", 0))
            answer = await reader.readexactly(size)
            status = int(first.split(" ")[1])
            return status, json.loads(answer) if answer else None
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
