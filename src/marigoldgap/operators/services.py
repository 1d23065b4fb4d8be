"""What the handlers of the operators API work with."""

from __future__ import annotations

from typing import NamedTuple

from marigoldgap.config_store import builder as config_builder
from marigoldgap.events import ring
from marigoldgap.operators import interfaces
from marigoldgap.rules import interfaces as rules_interfaces
from marigoldgap.settings import model as settings_model


class OperatorServices(NamedTuple):
    """Parts of the instance that operators can see or change.

    Attributes:
        targets: The function that divides capacity, for previews.
    """

    settings: settings_model.Settings
    config: config_builder.ConfigStore
    events: ring.EventRing
    status: interfaces.StatusSource
    jobs: interfaces.JobExplainer
    targets: rules_interfaces.TargetFunction
