"""Components that the handlers of the operators API use."""

from __future__ import annotations

from typing import NamedTuple

from marigoldgap.config_store import builder as config_builder
from marigoldgap.events import ring
from marigoldgap.operators import interfaces
from marigoldgap.rules import interfaces as rules_interfaces
from marigoldgap.settings import model as settings_model


class OperatorServices(NamedTuple):
    """Components of the instance that operators can read or change.

    Attributes:
        settings: Settings of this instance.
        config: The configuration in force, and its publisher.
        events: Events of this instance.
        status: Source of the status and of the load.
        jobs: Explains jobs.
        targets: Divides capacity between teams, for previews.
    """

    settings: settings_model.Settings
    config: config_builder.ConfigStore
    events: ring.EventRing
    status: interfaces.StatusSource
    jobs: interfaces.JobExplainer
    targets: rules_interfaces.TargetFunction
