"""Creates the peer hub of an instance."""

from __future__ import annotations

from marigoldgap.entries import hub
from marigoldgap.entries import interfaces
from marigoldgap.settings import model as settings_model


def create_hub(
    settings: settings_model.Settings,
    instances: interfaces.InstanceList,
    hybrid_clock: interfaces.HybridClock | None = None,
) -> hub.PeerHub:
    """Returns a hub without handlers; the caller registers them and runs it.

    Args:
        settings: Settings of this instance.
        instances: The platform's list of instances.
        hybrid_clock: Timestamps sent messages, so that the events of several
            instances can be merged into one timeline.
    """
    return hub.PeerHub(settings, instances, hybrid_clock)
