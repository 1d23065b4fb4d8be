"""Builds heartbeats that hold only what changed on their link."""

from __future__ import annotations

from collections.abc import Mapping

from marigoldgap.dispatch import model as dispatch_model
from marigoldgap.entries import interfaces
from marigoldgap.entries import messages
from marigoldgap.scheduling import model


class HeartbeatBuilder:
    """Remembers what one connection has sent; TCP keeps the order.

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
            digest: Whether the byte budget has room for the load; if not,
                the changes are part of a later heartbeat.
        """
        bare = messages.Heartbeat(
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
            return bare
        load = local.load()
        before = self._sent or dispatch_model.EntryLoad({}, {}, {})
        full = self._sent is None
        self._sent = dispatch_model.EntryLoad(
            dict(load.free), dict(load.waiting), dict(load.running)
        )
        return bare._replace(
            full=full,
            free=_changed_free(before.free, load.free),
            waiting=_changed_counts(before.waiting, load.waiting),
            running=_changed_counts(before.running, load.running),
        )


def _changed_free(
    before: Mapping[str, model.Resources], after: Mapping[str, model.Resources]
) -> tuple[messages.ServiceFree, ...]:
    """Returns the changed services; a vanished one has nothing free."""
    nothing = model.Resources(0, 0)
    changed = [
        messages.ServiceFree(service, free)
        for service, free in after.items()
        if before.get(service) != free
    ]
    for service in before.keys() - after.keys():
        changed.append(messages.ServiceFree(service, nothing))
    return tuple(changed)


def _changed_counts(
    before: Mapping[str, int], after: Mapping[str, int]
) -> tuple[messages.Count, ...]:
    """Returns the changed numbers; a vanished entry counts 0."""
    names = sorted(before.keys() | after.keys())
    return tuple(
        messages.Count(name, after.get(name, 0))
        for name in names
        if before.get(name, 0) != after.get(name, 0)
    )
