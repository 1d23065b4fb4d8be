"""Encodes the request line and headers; checks what may stand in them."""

from __future__ import annotations

import ipaddress
from typing import Any

from marigoldgap.web import messages

_MAX_PORT = 65_535


class UnsendableRequestError(messages.NotConnectedError):
    """A header cannot be encoded; nothing was sent."""

    code = "request-unsendable"


def encode(
    method: str,
    address: str,
    path: str,
    body_bytes: int,
    headers: tuple[tuple[str, str], ...] = (),
) -> bytes:
    """Returns the encoded request line and headers.

    Args:
        method: HTTP method.
        address: Value of the `Host` header.
        path: Path and query, quoted.
        body_bytes: Length of the body, which is JSON unless empty.
        headers: Further headers.

    Raises:
        UnsendableRequestError: A value cannot be that of a header.
    """
    fields = (("Host", address), *headers)
    for name, value in fields:
        if not is_header_value(value):
            raise UnsendableRequestError(
                f"value of header {name} cannot be sent: {value[:200]!a}"
            )
    lines = [f"{method} {path} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in fields)
    if body_bytes:
        lines.append(f"Content-Type: {messages.JSON_TYPE}")
    lines.append(f"Content-Length: {body_bytes}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def is_header_value(value: str) -> bool:
    """Returns whether a header can carry a value without changing it.

    A receiver strips white space at both ends, and a control character could
    end the header.
    """
    if not value or not value.isprintable() or value != value.strip():
        return False
    try:
        value.encode("latin-1")
    except UnicodeEncodeError:
        return False
    return True


def is_address(value: Any) -> bool:
    """Returns whether a value of another program has the form `ip:port`.

    A name in place of the number would have to be resolved first, and other
    notations of a number could not stand in a header.
    """
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    is_port = port.isascii() and port.isdecimal() and len(port) <= 5
    return is_port and 0 < int(port) <= _MAX_PORT
