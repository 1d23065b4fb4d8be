"""Opens and accepts connections and keeps one link to each peer."""

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
_FIRST_RETRY_S = 0.1
_LONGEST_RETRY_S = 2.0

Receiver = Callable[[connection_module.Connection], Awaitable[None]]


class LinkTable:
    """The links of an instance; one task serves each connection.

    Args:
        settings: Settings of this instance.
        plan: Which connections to open.
        receive: Reads from a new link until it ends.
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
        """Returns the open link to an instance, if there is one."""
        link = self._links.get(instance_id)
        return None if link is None or link.closed else link

    def all(self) -> tuple[connection_module.Connection, ...]:
        """Returns all links."""
        return tuple(self._links.values())

    def close(self, instance_id: str) -> None:
        """Closes the link to an instance; it is dialed again if wanted."""
        link = self._links.get(instance_id)
        if link is not None:
            self._drop(link)

    def refresh(self) -> None:
        """Starts and stops dialers as the plan says."""
        wanted = self._plan.targets()
        for target in wanted - self._dialers.keys():
            self._dialers[target] = asyncio.create_task(self._dial(target))
        for target in self._dialers.keys() - wanted:
            self._dialers.pop(target).cancel()

    async def shut_down(self) -> None:
        """Ends all tasks and connections."""
        tasks = [*self._dialers.values(), *self._accepted]
        for task in tasks:
            task.cancel()
        for link in self.all():
            self._drop(link)
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _dial(self, target: dialing.Target) -> None:
        """Keeps a connection to the target open while it is wanted."""
        known_id = target.instance_id
        retry_s = _FIRST_RETRY_S
        while True:
            if known_id not in self._links:
                address = target.address or self._plan.address_of(known_id)
                reached_id = await self._dial_once(address)
                known_id = reached_id or known_id
                retry_s = _FIRST_RETRY_S if reached_id else retry_s * 2
            await asyncio.sleep(min(retry_s, _LONGEST_RETRY_S))

    async def _dial_once(self, address: str | None) -> str:
        """Connects and serves; returns the id of the peer, if reached."""
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
        await self._converse(link)
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
            await self._converse(link)
        except asyncio.CancelledError:
            # The stream server reports a cancelled task as an error.
            return
        finally:
            self._accepted.discard(task)

    async def _converse(self, link: connection_module.Connection) -> None:
        """Runs one connection from handshake to end."""
        try:
            async with asyncio.timeout(_HANDSHAKE_TIMEOUT_S):
                await link.handshake(self._incarnation)
            if self._adopt(link):
                await self._receive(link)
        except errors.ProtocolError as error:
            _log.warning("Closed a connection: %s.", error.detail)
        except (OSError, EOFError, TimeoutError, errors.PeerUnavailableError):
            _log.debug("Connection to %s ended.", link.instance_id)
        finally:
            self._drop(link)

    def _adopt(self, link: connection_module.Connection) -> bool:
        """Makes a connection the link to its peer, unless one is better.

        Of two connections both sides keep the one that the lower id opened.
        """
        current = self._links.get(link.instance_id)
        if current is not None and not current.closed:
            preferred = min(link.instance_id, self._settings.instance_id)
            if link.dialer != preferred and current.dialer == preferred:
                return False
            current.close()
        self._links[link.instance_id] = link
        return True

    def _drop(self, link: connection_module.Connection) -> None:
        """Closes a connection and forgets it."""
        link.close()
        if self._links.get(link.instance_id) is link:
            del self._links[link.instance_id]
