"""Coordination: runs on every instance and takes the coordinator role."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marigoldgap import clock
from marigoldgap import errors
from marigoldgap import logs
from marigoldgap.coordination import config_relay
from marigoldgap.coordination import coordinator as coordinator_module
from marigoldgap.coordination import entry_agent
from marigoldgap.coordination import holding_requests
from marigoldgap.coordination import interfaces
from marigoldgap.coordination import jobs_gateway
from marigoldgap.coordination import zone_digests
from marigoldgap.entries import job_messages
from marigoldgap.entries import messages
from marigoldgap.entries import registry
from marigoldgap.scheduling import model

_log = logs.PartLogger("coordination")

_TICK_MS = 100
_CONFIRM_EVERY_MS = 500

RoleFactory = Callable[[model.Term], coordinator_module.Coordinator]


class Coordination:
    """Switches the coordinator role on and off; implements MembershipListener.

    Args:
        peers: Links to other instances.
        agent: The part that obeys the coordinator.
        holdings: Accounts of this instance.
        digests: Digests of the other zones.
        relay: Passes configuration on.
        gateway: Jobs on behalf of callers.
        requests: Requests for units.
        create_role: Creates the role for a new term.
        now_ms: Monotonic clock.
    """

    def __init__(
        self,
        peers: interfaces.Peers,
        agent: entry_agent.EntryAgent,
        holdings: interfaces.Holdings,
        digests: zone_digests.ZoneDigests,
        relay: config_relay.ConfigRelay,
        gateway: jobs_gateway.JobsGateway,
        requests: holding_requests.HoldingRequests,
        create_role: RoleFactory,
        now_ms: Callable[[], int],
    ) -> None:
        self._peers = peers
        self._holdings = holdings
        self._digests = digests
        self._requests = requests
        self._create_role = create_role
        self._now_ms = now_ms
        self._role: coordinator_module.Coordinator | None = None
        self._confirming: asyncio.Task[None] | None = None
        self._next_confirm_ms = 0
        self._asking: set[asyncio.Task[int]] = set()
        self.agent = agent
        self.relay = relay
        self.gateway = gateway
        peers.membership.subscribe(self)
        peers.register(self)

    @property
    def role(self) -> coordinator_module.Coordinator | None:
        """The coordinator role, if this instance has it."""
        return self._role

    async def request_holding(self, team: str, wanted: int) -> int:
        """Asks the coordinator for units; returns how many were granted."""
        return await self._requests.request(team, wanted)

    def ask_holding(self, team: str, wanted: int) -> None:
        """Asks for units without waiting; the grant wakes the requests."""
        task = asyncio.create_task(self._requests.request(team, wanted))
        self._asking.add(task)
        task.add_done_callback(self._asking.discard)

    async def run(self) -> None:
        """Ticks until the task is cancelled."""
        try:
            while True:
                try:
                    self.tick()
                except Exception:
                    _log.exception("A tick of the coordination failed.")
                await asyncio.sleep(_TICK_MS / clock.MILLISECONDS_PER_SECOND)
        finally:
            self._end_role()
            self.relay.stop()

    def tick(self) -> None:
        """Does what is due; called several times a second."""
        if self.agent.beat():
            # Others may have replaced this process during the pause, so what
            # the role knows is not certain any more.
            self._end_role()
        self._take_role()
        if self._role is not None:
            self._role.tick()
            self._send_digest(self._role)
        elif not self.agent.may_act:
            self._confirm_term()
        self.relay.tick()

    def member_linked(self, instance_id: str) -> None:
        """See MembershipListener."""
        self._digests.linked(instance_id)
        if self._role is not None and self._is_of_zone(instance_id):
            self._role.linked(instance_id)
        self.relay.linked(instance_id)

    def member_lost(self, instance_id: str) -> None:
        """See MembershipListener."""
        if self._role is not None and self._is_of_zone(instance_id):
            self._role.member_lost(instance_id)

    def term_changed(self, term: model.Term) -> None:
        """See MembershipListener."""
        if self._role is not None and self._role.term != term:
            self._end_role()

    @registry.handles(messages.TermReport)
    def on_report(self, sender: str, message: messages.TermReport) -> None:
        """Takes over a full report, or learns of a higher term."""
        self._peers.membership.observe_term(message.term)
        if self._role is not None:
            self._role.report(sender, message)

    @registry.handles(messages.WorkersChanged)
    def on_changed(self, sender: str, message: messages.WorkersChanged) -> None:
        """Takes over changes of an instance."""
        self._active(message.term).changed(sender, message)

    @registry.handles(messages.HoldingRequest)
    def on_holding_request(
        self, sender: str, message: messages.HoldingRequest
    ) -> messages.HoldingGrant:
        """Grants units."""
        role = self._active(message.term)
        if not role.barrier_passed:
            raise errors.NotReadyError("the barrier is not passed yet")
        return role.keeper.request(sender, message)

    @registry.handles(messages.HoldingReturn)
    def on_return(self, sender: str, message: messages.HoldingReturn) -> None:
        """Takes over accounts; also confirms the term to the sender."""
        role = self._active(message.term)
        if not role.knows(sender, message.incarnation):
            raise errors.StaleTermError("a full report is needed first")
        role.keeper.record(message.term, message.incarnation, message.holdings)

    @registry.handles(job_messages.PlaceResult)
    def on_placed(self, sender: str, message: job_messages.PlaceResult) -> None:
        """Takes over results of placing tasks."""
        role = self._active(message.term)
        role.jobs.placed(sender, message.outcomes)
        role.keeper.record(message.term, message.incarnation, message.holdings)

    @registry.handles(job_messages.ZoneDigest)
    def on_digest(self, sender: str, message: job_messages.ZoneDigest) -> None:
        """Takes over the digest of another zone."""
        self._digests.receive(sender, message)

    def active(self) -> coordinator_module.Coordinator:
        """Returns the coordinator role.

        Raises:
            errors.StaleTermError: This instance does not have the role.
        """
        role = self._role
        if role is None or not self.agent.may_act:
            raise errors.StaleTermError("this instance is not the coordinator")
        return role

    def _active(self, term: model.Term) -> coordinator_module.Coordinator:
        """Returns the role if it has this term."""
        role = self.active()
        if role.term != term:
            raise errors.StaleTermError("another term is in force here")
        return role

    def _is_of_zone(self, instance_id: str) -> bool:
        """Whether another instance belongs to this zone."""
        membership = self._peers.membership
        peer = membership.peer(instance_id)
        return peer is not None and peer.zone == membership.zone

    def _take_role(self) -> None:
        """Takes the role if this instance should have it."""
        membership = self._peers.membership
        if self._role is not None:
            return
        own_id = membership.instance_id
        if membership.proposed_coordinator(self._now_ms()) == own_id:
            term = membership.next_term()
            _log.info("Coordinating the zone in term %d.", term.counter)
            self._role = self._create_role(term)

    def _end_role(self) -> None:
        """Gives the role up."""
        role, self._role = self._role, None
        if role is not None:
            _log.info("Term %d ends here.", role.term.counter)
            role.stop()

    def _send_digest(self, role: coordinator_module.Coordinator) -> None:
        """Sends the digest of the zone once the role knows it."""
        if role.barrier_passed:
            self._digests.send(role.digest)

    def _confirm_term(self) -> None:
        """Asks the coordinator whether this instance is still known to it.

        After a short pause nobody has declared this instance dead, so that
        no new announcement comes.
        """
        now_ms = self._now_ms()
        busy = self._confirming is not None and not self._confirming.done()
        if busy or now_ms < self._next_confirm_ms:
            return
        self._next_confirm_ms = now_ms + _CONFIRM_EVERY_MS
        self._confirming = asyncio.create_task(self._confirm())

    async def _confirm(self) -> None:
        """Lets the agent act again if the coordinator still knows it."""
        term = self.agent.reported_term
        message = messages.HoldingReturn(term, self._holdings.incarnation, ())
        try:
            await self._peers.call(term.instance_id, message)
        except errors.MarigoldgapError:
            return
        if term == self._peers.membership.term:
            self.agent.confirm()
