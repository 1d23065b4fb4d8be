"""Links to the other entry instances and the messages on them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import secrets
from typing import Any

from marigoldgap import clock
from marigoldgap import errors
from marigoldgap import logs
from marigoldgap.entries import codec
from marigoldgap.entries import connection as connection_module
from marigoldgap.entries import delivery
from marigoldgap.entries import dialing
from marigoldgap.entries import interfaces
from marigoldgap.entries import links
from marigoldgap.entries import membership as membership_module
from marigoldgap.entries import messages
from marigoldgap.entries import traffic
from marigoldgap.settings import model as settings_model

_log = logs.PartLogger("entries")

# Failure detection runs several times per heartbeat interval, so that a dead
# peer is detected soon after `dead_after_ms`.
_CHECKS_PER_HEARTBEAT = 5
_DEFAULT_CALL_TIMEOUT_MS = 2_000


class PeerHub:
    """Maintains links to peers and delivers messages.

    Args:
        settings: Settings of this instance.
        instances: The platform's list of instances.
        hybrid_clock: Timestamps sent messages; without it they carry 0.
        now_ms: Monotonic clock.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        instances: interfaces.InstanceList,
        hybrid_clock: interfaces.HybridClock | None = None,
        now_ms: Callable[[], int] = clock.monotonic_ms,
    ) -> None:
        self._settings = settings
        self._instances = instances
        self._clock = hybrid_clock
        self._now_ms = now_ms
        self._local: interfaces.LocalState = interfaces.IdleLocalState()
        # A random start, so that a late answer to an earlier process with the
        # same instance id does not match a call of this process.
        self._correlation = secrets.randbits(32)
        self._budget = traffic.ByteBudget(
            settings.peers.link_budget_bytes_per_s, now_ms()
        )
        self.membership = membership_module.Membership(settings, now_ms())
        plan = dialing.DialPlan(settings, instances, self.membership)
        self._links = links.LinkTable(settings, plan, self._receive)
        self._delivery = delivery.Delivery()
        self.bound_port = 0

    @property
    def is_coordinator(self) -> bool:
        """Whether this instance coordinates its zone."""
        return self.membership.is_coordinator

    def set_local_state(self, local: interfaces.LocalState) -> None:
        """Sets the source of the state that heartbeats report."""
        self._local = local

    def register(self, receiver: object) -> None:
        """Registers the methods of an object marked with `registry.handles`."""
        self._delivery.register(receiver)

    def is_linked(self, instance_id: str) -> bool:
        """Whether this instance has an open link to the given one."""
        return self._links.get(instance_id) is not None

    def allows_digest(self) -> bool:
        """Whether the byte budget has room for a digest; counts a refusal."""
        return self._budget.allows_digest(self._now_ms())

    def link_traffic(self) -> dict[str, traffic.LinkTraffic]:
        """Returns the byte counters of the open links by instance id."""
        return {link.instance_id: link.counters for link in self._links.all()}

    def send(self, instance_id: str, message: Any) -> bool:
        """Sends a message that needs no answer.

        Returns:
            Whether the message was passed to a handler or a connection; it
            may still be lost on the way.
        """
        if instance_id == self._settings.instance_id:
            self._delivery.deliver(instance_id, message, None)
            return True
        link = self._links.get(instance_id)
        if link is None:
            return False
        try:
            self._send_on_link(link, message)
        except errors.PeerUnavailableError:
            return False
        return True

    def broadcast_zone(self, message: Any) -> None:
        """Sends a message to the other live instances of the zone."""
        for member in self.membership.members:
            if member != self._settings.instance_id:
                self.send(member, message)

    async def call(
        self,
        instance_id: str,
        message: Any,
        timeout_ms: int = _DEFAULT_CALL_TIMEOUT_MS,
    ) -> Any:
        """Sends a message and returns the answer.

        Args:
            instance_id: The receiver; may be this instance, which is called
                without a timeout.
            message: The message.
            timeout_ms: How long to wait for the answer.

        Raises:
            errors.PeerNotLinkedError: There is no link; nothing was sent.
            errors.PeerUnavailableError: The message may have been handled,
                but no answer came in time.
            errors.MarigoldgapError: The error that the handler raised.
        """
        if instance_id == self._settings.instance_id:
            return await self._delivery.call(instance_id, message)
        link = self._links.get(instance_id)
        if link is None:
            raise errors.PeerNotLinkedError(f"no link to {instance_id}")
        self._correlation += 1
        correlation = self._correlation
        future: asyncio.Future[Any] = asyncio.Future()
        link.pending[correlation] = future
        try:
            self._send_on_link(link, message, correlation)
            timeout_s = timeout_ms / clock.MILLISECONDS_PER_SECOND
            return delivery.answer_of(await asyncio.wait_for(future, timeout_s))
        except TimeoutError as error:
            raise errors.PeerUnavailableError(
                f"{instance_id} did not answer within {timeout_ms} ms"
            ) from error
        finally:
            link.pending.pop(correlation, None)

    async def run(self) -> None:
        """Accepts and opens connections until the task is cancelled."""
        host, _, port = self._settings.peer_address.partition(":")
        server = await asyncio.start_server(self._links.serve, host, int(port))
        self.bound_port = server.sockets[0].getsockname()[1]
        try:
            await self._maintain_links()
        finally:
            server.close()
            await self._close()

    async def _maintain_links(self) -> None:
        """Periodically sends heartbeats and closes links to dead peers."""
        heartbeat_ms = self._settings.peers.heartbeat_ms
        check_ms = heartbeat_ms / _CHECKS_PER_HEARTBEAT
        next_heartbeat_ms = self._now_ms()
        while True:
            now_ms = self._now_ms()
            for lost_id in self.membership.detect_failures(now_ms):
                self._links.close(lost_id)
            if now_ms >= next_heartbeat_ms:
                next_heartbeat_ms = now_ms + heartbeat_ms
                self._refresh_members()
                self._send_heartbeats()
            await asyncio.sleep(check_ms / clock.MILLISECONDS_PER_SECOND)

    def _refresh_members(self) -> None:
        """Applies the instance list to the membership and the dialers."""
        listed = self._instances.entries()
        own_zone = [e for e in listed if e.zone == self._settings.zone]
        self.membership.set_draining(self._local.draining)
        self.membership.add_listed(
            [(e.instance_id, e.zone) for e in own_zone], self._now_ms()
        )
        self.membership.remove_dead(frozenset(e.instance_id for e in listed))
        self._links.refresh()

    def _send_heartbeats(self) -> None:
        """Sends a heartbeat on every link."""
        digest = self._budget.allows_digest(self._now_ms())
        term = self.membership.term
        for link in self._links.all():
            heartbeat = link.heartbeats.build(self._local, term, digest)
            try:
                self._send_on_link(link, heartbeat)
            except errors.PeerUnavailableError:
                continue

    def _send_on_link(
        self,
        link: connection_module.Connection,
        message: Any,
        correlation: int = 0,
        is_answer: bool = False,
    ) -> None:
        """Sends a message on a link and charges the byte budget."""
        clock_value = self._clock.now() if self._clock else 0
        envelope = codec.Envelope(message, clock_value, correlation, is_answer)
        self._budget.charge(link.send(envelope), self._now_ms())

    async def _receive(self, link: connection_module.Connection) -> None:
        """Processes the messages of a connection until it is closed."""
        assert link.hello is not None
        self.membership.record_link(link.hello, self._now_ms())
        while True:
            envelope = await link.receive()
            if link.closed:
                return
            self.membership.record_message(link.instance_id, self._now_ms())
            if self._clock is not None:
                self._clock.observe(envelope.clock)
            if envelope.is_answer:
                delivery.resolve(link, envelope)
            elif isinstance(envelope.message, messages.Heartbeat):
                self.membership.apply_heartbeat(
                    link.instance_id, envelope.message
                )
            else:
                self._deliver(link, envelope)

    def _deliver(
        self, link: connection_module.Connection, envelope: codec.Envelope
    ) -> None:
        """Passes a message to its handler; ignores a repeated call."""
        correlation = envelope.correlation
        if correlation and link.is_duplicate_call(correlation):
            return

        def answer(message: Any) -> None:
            try:
                self._send_on_link(link, message, correlation, is_answer=True)
            except errors.PeerUnavailableError:
                _log.debug(
                    "Dropped an answer to %s: the connection is unusable.",
                    link.instance_id,
                )

        self._delivery.deliver(
            link.instance_id, envelope.message, answer if correlation else None
        )

    async def _close(self) -> None:
        """Closes all connections and cancels the running handlers."""
        await self._links.shut_down()
        tasks = list(self._delivery.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
