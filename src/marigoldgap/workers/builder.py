"""Builds the workers package for an entry instance."""

from __future__ import annotations

from marigoldgap.settings import model as settings_model
from marigoldgap.workers import fleet
from marigoldgap.workers import model


def build_fleet(
    settings: settings_model.Settings, listener: model.FleetListener
) -> fleet.WorkerFleet:
    """Returns a fleet without workers; its `run` must be started."""
    return fleet.WorkerFleet(settings, listener)
