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
    """Returns the hub; the caller registers handlers and runs it.

    Args:
        settings: Settings of this instance.
        instances: The platform's list of instances.
        hybrid_clock: Stamps messages for the merged timeline.
    """
    return hub.PeerHub(settings, instances, hybrid_clock)
