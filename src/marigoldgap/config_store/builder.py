"""Creates and connects the components of the configuration store."""

from __future__ import annotations

import random
from typing import NamedTuple

from marigoldgap.config_store import in_force
from marigoldgap.config_store import interfaces
from marigoldgap.config_store import keys
from marigoldgap.config_store import poller
from marigoldgap.config_store import publisher
from marigoldgap.config_store import reader
from marigoldgap.config_store import state
from marigoldgap.config_store import withdrawals
from marigoldgap.settings import model as settings_model


class ConfigStore(NamedTuple):
    """The components of the configuration store."""

    state: state.ConfigState
    verifier: keys.KeyVerifier
    reader: reader.ConfigReader
    publisher: publisher.ConfigPublisher
    withdrawals: withdrawals.Withdrawals
    poller: poller.HeadPoller
    in_force: in_force.InForceTracker


def build(
    settings: settings_model.Settings,
    table: interfaces.Table,
    committer: interfaces.Committer,
    instances: interfaces.InstanceSource,
    random_source: random.Random | None = None,
) -> ConfigStore:
    """Returns the connected components; reads nothing yet.

    Args:
        settings: Settings of this instance.
        table: Reads rows.
        committer: Writes rows.
        instances: The platform's list of instances.
        random_source: Source of the jitter of pauses; tests pass one with a
            fixed seed.
    """
    random_source = random_source or random.Random()
    own_state = state.ConfigState()
    config_reader = reader.ConfigReader(table)
    config_publisher = publisher.ConfigPublisher(
        config_reader, committer, own_state, random_source
    )
    pending = withdrawals.Withdrawals(
        config_reader, config_publisher, own_state
    )
    return ConfigStore(
        own_state,
        keys.KeyVerifier(settings, own_state),
        config_reader,
        config_publisher,
        pending,
        poller.HeadPoller(
            settings, config_reader, own_state, pending, random_source
        ),
        in_force.InForceTracker(settings, own_state, instances),
    )
