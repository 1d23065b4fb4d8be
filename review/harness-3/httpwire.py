"""Minimal HTTP/1.1 server and client for the stand-ins (standard library)."""

import asyncio
import json


class HttpError(Exception):
    """No usable response arrived."""


async def _read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


class Server:
    """Serves JSON; the handler returns a status and an object.

    Args:
        handler: Coroutine function of method, path, headers and body.
    """

    def __init__(self, handler):
        self._handler = handler
        self._server = None
        self._writers = set()

    async def start(self, host, port):
        self._server = await asyncio.start_server(
            self._serve, host, port, backlog=512
        )

    def close(self):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await _read_message(reader)
                method, path, _ = first.split(" ", 2)
                status, answer = await self._handler(
                    method, path, headers, body
                )
                content = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(address, method, path, body=None, headers=(), timeout_s=3.0):
    """Sends one request on a new connection.

    Returns:
        The status and the decoded body.

    Raises:
        HttpError: There was no complete response in time.
    """
    content = b"" if body is None else json.dumps(body).encode()
    host, _, port = address.rpartition(":")
    lines = [f"{method} {path} HTTP/1.1"]
    names = {name.lower() for name, _ in headers}
    if "host" not in names:
        lines.append(f"Host: {address}")
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [
        "Content-Type: application/json",
        f"Content-Length: {len(content)}",
        "Connection: close",
    ]
    head = "\r\n".join(lines).encode() + b"\r\n\r\n"
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head + content)
            await writer.drain()
            first, _, answer = await _read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        raise HttpError(repr(error)) from error
    finally:
        if writer is not None:
            writer.close()
    status = int(first.split(" ")[1])
    try:
        return status, json.loads(answer) if answer else {}
    except ValueError as error:
        raise HttpError(repr(error)) from error
