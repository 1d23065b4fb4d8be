"""Coordination of an instance, with the coordinator role if it is elected."""

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
_CONFIRM_INTERVAL_MS = 500

RoleFactory = Callable[[model.Term], coordinator_module.Coordinator]


class Coordination:
    """Starts and ends the coordinator role; implements MembershipListener.

    Args:
        peers: Links to other instances.
        agent: Executes the commands of the coordinator.
        holdings: Holding accounts of this instance.
        digests: Digests of the other zones.
        relay: Propagates configuration changes.
        gateway: Job API for callers.
        requests: Requests for units.
        create_role: Creates the coordinator role for a new term.
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
        self._confirm_task: asyncio.Task[None] | None = None
        self._next_confirm_ms = 0
        self._unit_requests: set[asyncio.Task[int]] = set()
        self.agent = agent
        self.relay = relay
        self.gateway = gateway
        peers.membership.subscribe(self)
        peers.register(self)

    @property
    def role(self) -> coordinator_module.Coordinator | None:
        """The coordinator role, or None if this instance does not have it."""
        return self._role

    async def request_holding(self, team: str, wanted: int) -> int:
        """Requests units of a team; returns the number granted."""
        return await self._requests.request(team, wanted)

    def ask_holding(self, team: str, wanted: int) -> None:
        """Requests units without waiting; a grant wakes waiting requests."""
        task = asyncio.create_task(self._requests.request(team, wanted))
        self._unit_requests.add(task)
        task.add_done_callback(self._unit_requests.discard)

    async def run(self) -> None:
        """Calls `tick` periodically until the task is cancelled."""
        try:
            while True:
                try:
                    self.tick()
                except Exception:
                    _log.exception("Periodic work of the coordination failed.")
                await asyncio.sleep(_TICK_MS / clock.MILLISECONDS_PER_SECOND)
        finally:
            self._end_role()
            self.relay.stop()

    def tick(self) -> None:
        """Runs periodic work; call it several times a second."""
        if self.agent.detect_pause():
            # Another instance may have become coordinator during the pause, so
            # the state of the role may be out of date.
            self._end_role()
        self._start_role_if_elected()
        if self._role is not None:
            self._role.tick()
            self._send_digest(self._role)
        elif not self.agent.may_act:
            self._confirm_term()
        self.relay.tick()

    def member_linked(self, instance_id: str) -> None:
        """See MembershipListener."""
        self._digests.linked(instance_id)
        if self._role is not None and self._is_in_zone(instance_id):
            self._role.linked(instance_id)
        self.relay.linked(instance_id)

    def member_lost(self, instance_id: str) -> None:
        """See MembershipListener."""
        if self._role is not None and self._is_in_zone(instance_id):
            self._role.member_lost(instance_id)

    def term_changed(self, term: model.Term) -> None:
        """See MembershipListener."""
        if self._role is not None and self._role.term != term:
            self._end_role()

    @registry.handles(messages.TermReport)
    def on_report(self, sender: str, message: messages.TermReport) -> None:
        """Applies a full report, which may carry a higher term."""
        self._peers.membership.observe_term(message.term)
        if self._role is not None:
            self._role.apply_report(sender, message)

    @registry.handles(messages.WorkersChanged)
    def on_changed(self, sender: str, message: messages.WorkersChanged) -> None:
        """Applies changes of an instance."""
        self._active_in(message.term).apply_changes(sender, message)

    @registry.handles(messages.HoldingRequest)
    def on_holding_request(
        self, sender: str, message: messages.HoldingRequest
    ) -> messages.HoldingGrant:
        """Grants units."""
        role = self._active_in(message.term)
        if not role.barrier_passed:
            raise errors.NotReadyError("the barrier is not passed yet")
        return role.allowances.handle_request(sender, message)

    @registry.handles(messages.HoldingReturn)
    def on_return(self, sender: str, message: messages.HoldingReturn) -> None:
        """Records accounts; an answer also confirms the term to the sender."""
        role = self._active_in(message.term)
        if not role.has_reported(sender, message.incarnation):
            raise errors.StaleTermError("a full report is needed first")
        role.allowances.record_accounts(
            message.term, message.incarnation, message.holdings
        )

    @registry.handles(job_messages.PlaceResult)
    def on_placed(self, sender: str, message: job_messages.PlaceResult) -> None:
        """Applies the results of task placements."""
        role = self._active_in(message.term)
        role.jobs.record_placed(sender, message.outcomes)
        role.allowances.record_accounts(
            message.term, message.incarnation, message.holdings
        )

    @registry.handles(job_messages.ZoneDigest)
    def on_digest(self, sender: str, message: job_messages.ZoneDigest) -> None:
        """Applies the digest of another zone."""
        self._digests.receive(sender, message)

    def active(self) -> coordinator_module.Coordinator:
        """Returns the coordinator role.

        Raises:
            errors.StaleTermError: This instance does not have the role, or its
                process was paused.
        """
        role = self._role
        if role is None or not self.agent.may_act:
            raise errors.StaleTermError("this instance is not the coordinator")
        return role

    def _active_in(self, term: model.Term) -> coordinator_module.Coordinator:
        """Returns the role if it has the given term.

        Raises:
            errors.StaleTermError: This instance is not the coordinator in the
                given term.
        """
        role = self.active()
        if role.term != term:
            raise errors.StaleTermError("another term is in force here")
        return role

    def _is_in_zone(self, instance_id: str) -> bool:
        """Whether another instance belongs to this zone."""
        membership = self._peers.membership
        peer = membership.peer(instance_id)
        return peer is not None and peer.zone == membership.zone

    def _start_role_if_elected(self) -> None:
        """Starts the role if this instance should have it."""
        membership = self._peers.membership
        if self._role is not None:
            return
        own_id = membership.instance_id
        if membership.proposed_coordinator(self._now_ms()) == own_id:
            term = membership.next_term()
            _log.info("Starting the coordinator role in term %d.", term.counter)
            self._role = self._create_role(term)

    def _end_role(self) -> None:
        """Ends the role."""
        role, self._role = self._role, None
        if role is not None:
            _log.info(
                "Ending the coordinator role of term %d.", role.term.counter
            )
            role.stop()

    def _send_digest(self, role: coordinator_module.Coordinator) -> None:
        """Sends the digest of the zone once the barrier is passed."""
        if role.barrier_passed:
            self._digests.send(role.digest)

    def _confirm_term(self) -> None:
        """Starts a request for confirmation of the term after a pause.

        After a short pause no peer has declared this instance dead, so the
        coordinator does not announce its term again.
        """
        now_ms = self._now_ms()
        busy = self._confirm_task is not None and not self._confirm_task.done()
        if busy or now_ms < self._next_confirm_ms:
            return
        self._next_confirm_ms = now_ms + _CONFIRM_INTERVAL_MS
        self._confirm_task = asyncio.create_task(self._confirm())

    async def _confirm(self) -> None:
        """Allows work again if the coordinator confirms the term."""
        term = self.agent.reported_term
        message = messages.HoldingReturn(term, self._holdings.incarnation, ())
        try:
            await self._peers.call(term.instance_id, message)
        except errors.MarigoldgapError:
            return
        if term == self._peers.membership.term:
            self.agent.confirm_term()
