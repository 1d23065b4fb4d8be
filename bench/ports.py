"""Chooses free ports on loopback."""

from __future__ import annotations

import os
import random
import socket

_HOST = "127.0.0.1"
# Below the ephemeral port range of the system, so that no outgoing connection
# takes the port of an instance that is being restarted.
_LOWEST_PORT = 10_000
_HIGHEST_PORT = 31_000


class Ports:
    """Allocates each free port once; the first port differs by process."""

    def __init__(self) -> None:
        start = random.Random(os.getpid()).randrange(
            _LOWEST_PORT, _HIGHEST_PORT
        )
        self._next = start

    def take(self) -> str:
        """Returns an address that nothing listens on.

        Raises:
            OSError: No port of the range is free.
        """
        for _ in range(_HIGHEST_PORT - _LOWEST_PORT):
            port = self._next
            self._next += 1
            if self._next >= _HIGHEST_PORT:
                self._next = _LOWEST_PORT
            if _is_free(port):
                return f"{_HOST}:{port}"
        raise OSError(
            f"no free port on {_HOST} from {_LOWEST_PORT} to"
            f" {_HIGHEST_PORT - 1}"
        )


def _is_free(port: int) -> bool:
    """Returns whether a listener can bind to the port."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((_HOST, port))
        except OSError:
            return False
    return True
