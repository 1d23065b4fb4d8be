"""Chooses free ports on loopback."""

from __future__ import annotations

import collections
import os
import random
import socket

_HOST = "127.0.0.1"
# Below the ephemeral port range of the system, so that no outgoing connection
# takes the port of an instance that is being restarted.
_LOWEST_PORT = 10_000
_HIGHEST_PORT = 31_000
# Number of the latest ports that a process keeps reserved; each needs a file
# descriptor.
_MAX_RESERVED = 512


class Ports:
    """Allocates each free port once; the first port differs by process.

    The latest ports stay reserved while nothing listens on them: no other
    instance of this class, in whichever process, allocates them, and
    connections are refused. A listener with SO_REUSEADDR can bind to them.
    """

    def __init__(self) -> None:
        start = random.Random(os.getpid()).randrange(
            _LOWEST_PORT, _HIGHEST_PORT
        )
        self._next = start
        self._reserved: collections.deque[socket.socket] = collections.deque()

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
            reservation = _reserve(port)
            if reservation is not None:
                self._keep(reservation)
                return f"{_HOST}:{port}"
        raise OSError(
            f"no free port on {_HOST} from {_LOWEST_PORT} to"
            f" {_HIGHEST_PORT - 1}"
        )

    def _keep(self, reservation: socket.socket) -> None:
        self._reserved.append(reservation)
        if len(self._reserved) > _MAX_RESERVED:
            self._reserved.popleft().close()


def _reserve(port: int) -> socket.socket | None:
    """Binds a socket to a port that no other socket is bound to.

    Returns:
        The socket, which does not listen, or None if the port is in use.
    """
    reservation = socket.socket()
    try:
        reservation.bind((_HOST, port))
    except OSError:
        reservation.close()
        return None
    # Set after bind(), which thereby failed if the port was reserved. A
    # listener can bind to the port as well if both sockets have the option.
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return reservation
