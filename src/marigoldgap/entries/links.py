"""Opens and accepts connections and maintains one link to each peer."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from marigoldgap import errors
from marigoldgap import identifiers
from marigoldgap import logs
from marigoldgap.entries import connection as connection_module
from marigoldgap.entries import dialing
from marigoldgap.settings import model as settings_model

_log = logs.PartLogger("entries")

_HANDSHAKE_TIMEOUT_S = 2
_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 2.0

Receiver = Callable[[connection_module.Connection], Awaitable[None]]


class LinkTable:
    """The links of this instance; each connection has a task of its own.

    Args:
        settings: Settings of this instance.
        plan: Selects the connections to open.
        receive: Processes the messages of a new link until it is closed.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        plan: dialing.DialPlan,
        receive: Receiver,
    ) -> None:
        self._settings = settings
        self._plan = plan
        self._receive = receive
        self._incarnation = identifiers.new_token()
        self._links: dict[str, connection_module.Connection] = {}
        self._dialers: dict[dialing.Target, asyncio.Task[None]] = {}
        self._accepted: set[asyncio.Task[None]] = set()

    def get(self, instance_id: str) -> connection_module.Connection | None:
        """Returns the open link to an instance, or None."""
        link = self._links.get(instance_id)
        return None if link is None or link.closed else link

    def all(self) -> tuple[connection_module.Connection, ...]:
        """Returns all links, including closed ones not removed yet."""
        return tuple(self._links.values())

    def close(self, instance_id: str) -> None:
        """Closes the link to an instance.

        A dialer opens a new one if the plan still contains the instance.
        """
        link = self._links.get(instance_id)
        if link is not None:
            self._close_link(link)

    def refresh(self) -> None:
        """Starts and stops dialers according to the plan."""
        wanted = self._plan.targets()
        for target in wanted - self._dialers.keys():
            self._dialers[target] = asyncio.create_task(self._dial(target))
        for target in self._dialers.keys() - wanted:
            self._dialers.pop(target).cancel()

    async def shut_down(self) -> None:
        """Cancels all tasks and closes all connections."""
        tasks = [*self._dialers.values(), *self._accepted]
        for task in tasks:
            task.cancel()
        for link in self.all():
            self._close_link(link)
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _dial(self, target: dialing.Target) -> None:
        """Keeps a connection to the target open until cancelled.

        Failed attempts are retried with exponential backoff.
        """
        known_id = target.instance_id
        backoff_s = _INITIAL_BACKOFF_S
        while True:
            if known_id not in self._links:
                address = target.address or self._plan.address_of(known_id)
                reached_id = await self._dial_once(address)
                known_id = reached_id or known_id
                backoff_s = _INITIAL_BACKOFF_S if reached_id else backoff_s * 2
            await asyncio.sleep(min(backoff_s, _MAX_BACKOFF_S))

    async def _dial_once(self, address: str | None) -> str:
        """Opens one connection and runs it until it ends.

        Returns:
            The id of the peer; empty if the handshake did not succeed.
        """
        if not address:
            return ""
        host, _, port = address.partition(":")
        try:
            async with asyncio.timeout(_HANDSHAKE_TIMEOUT_S):
                streams = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return ""
        link = connection_module.Connection(
            *streams, self._settings, dialed=True
        )
        await self._run_connection(link)
        return link.instance_id

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves a connection that a peer opened."""
        task = asyncio.current_task()
        assert task is not None
        self._accepted.add(task)
        link = connection_module.Connection(
            reader, writer, self._settings, dialed=False
        )
        try:
            await self._run_connection(link)
        except asyncio.CancelledError:
            # Not raised again: asyncio's stream server logs a cancelled
            # connection task as an error.
            return
        finally:
            self._accepted.discard(task)

    async def _run_connection(self, link: connection_module.Connection) -> None:
        """Runs one connection from the handshake to its end."""
        try:
            async with asyncio.timeout(_HANDSHAKE_TIMEOUT_S):
                await link.handshake(self._incarnation)
            if self._register_link(link):
                await self._receive(link)
        except errors.ProtocolError as error:
            _log.warning(
                "Closed a peer connection after a protocol error: %s.",
                error.detail,
            )
        except (OSError, EOFError, TimeoutError, errors.PeerUnavailableError):
            _log.debug("The connection to %s ended.", link.instance_id)
        finally:
            self._close_link(link)

    def _register_link(self, link: connection_module.Connection) -> bool:
        """Makes a connection the link to its peer, unless one is preferred.

        Of two connections, both sides keep the one that the instance with the
        lower id opened.

        Returns:
            Whether the connection became the link.
        """
        current = self._links.get(link.instance_id)
        if current is not None and not current.closed:
            preferred = min(link.instance_id, self._settings.instance_id)
            if link.dialer != preferred and current.dialer == preferred:
                return False
            current.close()
        self._links[link.instance_id] = link
        return True

    def _close_link(self, link: connection_module.Connection) -> None:
        """Closes a connection and removes it from the links."""
        link.close()
        if self._links.get(link.instance_id) is link:
            del self._links[link.instance_id]
