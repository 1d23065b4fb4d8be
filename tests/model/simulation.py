"""Event loop with a simulated clock and a simulated network.

The processes of a cell run unchanged on it, faster than in real time, and in the
same order each time.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import contextvars
import os
import random
import selectors
import socket
import time
from unittest import mock

from marigoldgap.web import server
from tests.fixtures import cell_world

# Host on which the current task runs.
host = contextvars.ContextVar("host", default="")
_START_S = 10_000.0
# Wall time of the start, so that it differs from the monotonic time.
_WALL_OFFSET_S = 1_700_000_000.0
_LATENCY_S = 0.001
_END_OF_STREAM = object()
_RESET = object()


class SimulatedClock:
    """Time that passes only while nothing is to be done."""

    def __init__(self):
        self.now_s = _START_S

    def patched(self):
        """Returns a context in which all clocks of the process are simulated."""
        stack = contextlib.ExitStack()
        for name, read in {
            "monotonic": lambda: self.now_s,
            "monotonic_ns": lambda: int(self.now_s * 1e9),
            "time": lambda: self.now_s + _WALL_OFFSET_S,
            "time_ns": lambda: int((self.now_s + _WALL_OFFSET_S) * 1e9),
            "clock_gettime": lambda _: self.now_s,
        }.items():
            stack.enter_context(mock.patch.object(time, name, read))
        return stack


class _SimulatedSelector(selectors.SelectSelector):
    """Advances the clock instead of waiting."""

    def __init__(self, clock):
        super().__init__()
        self._clock = clock

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("the simulation waits for nothing")
        self._clock.now_s += max(0.0, timeout)
        return []


class Network:
    """Connections between hosts, which can be cut in each direction.

    Attributes:
        listeners: Listeners by port.
        blocked: Pairs of hosts; what the first one sends does not arrive at the
            second one until the pair is removed.
    """

    def __init__(self):
        self.listeners = {}
        self.blocked = set()
        self.transports = []
        # The file descriptor of each connection: nothing ever arrives there.
        self.descriptors = os.pipe()
        os.set_blocking(self.descriptors[0], False)
        self._ports = iter(range(10_000, 60_000))

    def close(self):
        for descriptor in self.descriptors:
            os.close(descriptor)

    def free_address(self):
        return f"127.0.0.1:{next(self._ports)}"

    def cut(self, first, second, way):
        """Cuts the connections between two hosts until they are healed.

        Args:
            first: The first host.
            second: The second host.
            way: `to` or `from` the first host, `both`, or `reset` for both with
                an error on the open connections.
        """
        if way == "reset":
            for transport in list(self.transports):
                if {transport.host, transport.peer.host} == {first, second}:
                    transport.lose(ConnectionResetError("cut"))
        if way != "from":
            self.blocked.add((second, first))
        if way != "to":
            self.blocked.add((first, second))

    def heal(self):
        self.blocked.clear()
        for transport in list(self.transports):
            transport.deliver_soon()


class _Socket:
    """What connections and listeners use of a socket."""

    def __init__(self, network, port=0):
        self.port = port
        self.resets = False
        self._network = network

    def setsockopt(self, level, option, value):
        if (level, option) == (socket.SOL_SOCKET, socket.SO_LINGER):
            self.resets = True

    def fileno(self):
        return self._network.descriptors[0]

    def listen(self, backlog):
        pass

    def close(self):
        pass


class _Transport(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, network, protocol, address, context):
        self._socket = _Socket(network)
        super().__init__({"peername": address, "socket": self._socket})
        self.host = context.get(host, "")
        self.peer = None
        self._network = network
        self._protocol = protocol
        self._context = context
        self._loop = asyncio.get_running_loop()
        self._inbox = collections.deque()
        self._arrived_count = 0
        self._is_closing = False
        self._is_reading = True
        network.transports.append(self)

    def write(self, data):
        if data and not self._is_closing:
            self.peer.send_here(bytes(data))

    def send_here(self, item):
        self._inbox.append(item)
        self._loop.call_later(_LATENCY_S, self._arrive, context=self._context)

    def _arrive(self):
        self._arrived_count += 1
        self.deliver()

    def deliver_soon(self):
        self._loop.call_soon(self.deliver, context=self._context)

    def deliver(self):
        """Passes on what has arrived, unless the connection is cut."""
        while self._arrived_count and self._is_reading:
            if (self.peer.host, self.host) in self._network.blocked:
                return
            if self._is_closing:
                return
            self._arrived_count -= 1
            item = self._inbox.popleft()
            if item is _RESET:
                self.lose(ConnectionResetError("reset by the peer"))
            elif item is _END_OF_STREAM:
                if not self._protocol.eof_received():
                    self.close()
            else:
                self._protocol.data_received(item)

    def lose(self, error):
        """Ends this end of the connection with an error."""
        if self._is_closing:
            return
        self._end(error)

    def _end(self, error):
        self._is_closing = True
        self._network.transports.remove(self)
        self._loop.call_soon(
            self._protocol.connection_lost, error, context=self._context
        )

    def close(self):
        if self._is_closing:
            return
        self.peer.send_here(_RESET if self._socket.resets else _END_OF_STREAM)
        self._end(None)

    abort = close

    def is_closing(self):
        return self._is_closing

    def get_write_buffer_size(self):
        return 0

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def pause_reading(self):
        self._is_reading = False

    def resume_reading(self):
        self._is_reading = True
        self.deliver_soon()

    def is_reading(self):
        return self._is_reading


class _Listener:
    """Accepts connections on a port."""

    def __init__(self, network, port, factory):
        self.factory = factory
        self.context = contextvars.copy_context()
        self._network = network
        self._port = port
        network.listeners[port] = self

    def close(self):
        if self._network.listeners.get(self._port) is self:
            del self._network.listeners[self._port]


class _SimulatedLoop(asyncio.SelectorEventLoop):

    def __init__(self, clock, network):
        super().__init__(_SimulatedSelector(clock))
        self._network = network

    async def create_server(self, protocol_factory, *, sock, **_):
        return _Listener(self._network, sock.port, protocol_factory)

    async def create_connection(self, protocol_factory, _, port):
        await asyncio.sleep(_LATENCY_S)
        listener = self._network.listeners.get(port)
        own = contextvars.copy_context()
        if listener is None:
            raise ConnectionRefusedError(f"nothing listens on {port}")
        pair = own.get(host, ""), listener.context.get(host, "")
        while {pair, pair[::-1]} & self._network.blocked:
            await asyncio.sleep(0.1)
        near = protocol_factory()
        far = listener.context.run(listener.factory)
        near_end = _Transport(self._network, near, ("127.0.0.1", port), own)
        # Each connection has a port of its own, of which only the number counts.
        far_end = _Transport(
            self._network, far, ("127.0.0.1", 1), listener.context.copy()
        )
        near_end.peer, far_end.peer = far_end, near_end
        far_end._context.run(far.connection_made, far_end)
        near.connection_made(near_end)
        return near_end, near


def run(seed, create):
    """Runs a coroutine in simulated time.

    Args:
        seed: Seed of the random numbers that the processes draw.
        create: Returns the coroutine; called with the network.
    """
    clock = SimulatedClock()
    network = Network()
    random_state = random.getstate()
    random.seed(seed)
    try:
        with (
            clock.patched(),
            mock.patch.object(
                server,
                "_listener",
                lambda address: _Socket(
                    network, int(address.rpartition(":")[2])
                ),
            ),
            mock.patch.object(cell_world, "free_address", network.free_address),
        ):
            loop = _SimulatedLoop(clock, network)
            try:
                return loop.run_until_complete(_run_alone(create(network)))
            finally:
                loop.close()
    finally:
        random.setstate(random_state)
        network.close()


async def _run_alone(coroutine):
    """Returns the result of a coroutine; ends all tasks that it leaves."""
    try:
        return await coroutine
    finally:
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        await asyncio.sleep(0)
