"""Interfaces that the peer protocol requires from other packages."""

from __future__ import annotations

from typing import Protocol

from marigoldgap.dispatch import model as dispatch_model
from marigoldgap.scheduling import model
from marigoldgap.table_service import model as table_service_model


class InstanceList(Protocol):
    """The platform's list of instances, as last read."""

    def entries(
        self, zone: str | None = None
    ) -> tuple[table_service_model.InstanceEntry, ...]:
        """Returns the entry instances of a zone, or of all zones."""

    def age_ms(self) -> int:
        """Returns the time since the list was last read."""


class LocalState(Protocol):
    """State of this instance that heartbeats report."""

    @property
    def draining(self) -> bool:
        """Whether this instance is stopping."""

    @property
    def config_version(self) -> int:
        """The configuration version in force on this instance."""

    @property
    def generation(self) -> int:
        """Number of changes to the set of owned workers."""

    def load(self) -> dispatch_model.EntryLoad:
        """Returns the current load."""


class HybridClock(Protocol):
    """A hybrid logical clock whose times are single integers."""

    def now(self) -> int:
        """Returns the time of a send event."""

    def observe(self, value: int) -> None:
        """Advances the clock to the time of a received message."""


class MembershipListener(Protocol):
    """Receives changes of the membership.

    The methods run on the event loop and must not block.
    """

    def member_linked(self, instance_id: str) -> None:
        """An instance has a new link; messages on an earlier may be lost."""

    def member_lost(self, instance_id: str) -> None:
        """An instance is dead, or its process restarted."""

    def term_changed(self, term: model.Term) -> None:
        """A higher term was seen; lower ones are refused from now on."""


class IdleLocalState:
    """State of an instance without work."""

    draining = False
    config_version = 0
    generation = 0

    def load(self) -> dispatch_model.EntryLoad:
        """Returns an empty load."""
        return dispatch_model.EntryLoad({}, {}, {})
