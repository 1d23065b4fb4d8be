"""Creates the metrics client of an instance."""

from __future__ import annotations

from marigoldgap.metrics import client
from marigoldgap.settings import model as settings_model


def build(settings: settings_model.Settings) -> client.MetricsClient:
    """Returns the client; it sends nothing if no address is configured."""
    return client.MetricsClient(settings)
