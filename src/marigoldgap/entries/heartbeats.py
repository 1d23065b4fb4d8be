"""Builds heartbeats that carry only the changes since the last one."""

from __future__ import annotations

from collections.abc import Mapping

from marigoldgap.dispatch import model as dispatch_model
from marigoldgap.entries import interfaces
from marigoldgap.entries import messages
from marigoldgap.scheduling import model


class HeartbeatBuilder:
    """Builds the heartbeats of one connection.

    The load is sent as changes against the load sent before. This is safe
    because TCP delivers the heartbeats of a connection completely and in
    order.

    Args:
        with_load: Whether the load is sent; links between zones carry it in
            the zone digest instead.
    """

    def __init__(self, with_load: bool) -> None:
        self._with_load = with_load
        self._sent: dispatch_model.EntryLoad | None = None

    def build(
        self, local: interfaces.LocalState, term: model.Term, digest: bool
    ) -> messages.Heartbeat:
        """Returns the next heartbeat.

        Args:
            local: State of this instance.
            term: The term that this instance obeys.
            digest: Whether the byte budget has room for the load; if not, a
                later heartbeat carries the changes.
        """
        without_load = messages.Heartbeat(
            draining=local.draining,
            term=term,
            config_version=local.config_version,
            generation=local.generation,
            full=False,
            free=(),
            waiting=(),
            running=(),
        )
        if not (self._with_load and digest):
            return without_load
        load = local.load()
        before = self._sent or dispatch_model.EntryLoad({}, {}, {})
        full = self._sent is None
        self._sent = dispatch_model.EntryLoad(
            dict(load.free), dict(load.waiting), dict(load.running)
        )
        return without_load._replace(
            full=full,
            free=_changed_free(before.free, load.free),
            waiting=_changed_counts(before.waiting, load.waiting),
            running=_changed_counts(before.running, load.running),
        )


def _changed_free(
    before: Mapping[str, model.Resources], after: Mapping[str, model.Resources]
) -> tuple[messages.ServiceFree, ...]:
    """Returns the changed services; a removed one has no free resources."""
    no_resources = model.Resources(0, 0)
    changed = [
        messages.ServiceFree(service, free)
        for service, free in after.items()
        if before.get(service) != free
    ]
    for service in before.keys() - after.keys():
        changed.append(messages.ServiceFree(service, no_resources))
    return tuple(changed)


def _changed_counts(
    before: Mapping[str, int], after: Mapping[str, int]
) -> tuple[messages.Count, ...]:
    """Returns the changed numbers; a removed entry has the number 0."""
    names = sorted(before.keys() | after.keys())
    return tuple(
        messages.Count(name, after.get(name, 0))
        for name in names
        if before.get(name, 0) != after.get(name, 0)
    )
