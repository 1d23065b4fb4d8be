"""Applies the rules in force to the data plane."""

from __future__ import annotations

from collections.abc import Sequence

from marigoldgap.config_store import model as config_model
from marigoldgap.config_store import state as config_state
from marigoldgap.dispatch import dispatcher as dispatch_dispatcher
from marigoldgap.scheduling import retry_budget


class RulesApplier:
    """Passes new rules to the data plane; a `ConfigListener`.

    Args:
        config: The configuration in force at this instance.
        dispatcher: Gets the shares of the teams and the quarantine rule.
        budget: Gets the retry rule.
    """

    def __init__(
        self,
        config: config_state.ConfigState,
        dispatcher: dispatch_dispatcher.Dispatcher,
        budget: retry_budget.RetryBudget,
    ) -> None:
        self._config = config
        self._dispatcher = dispatcher
        self._budget = budget

    def config_changed(
        self, versions: Sequence[config_model.ConfigVersion]
    ) -> None:
        """Applies the shares, the retry rule and the quarantine rule."""
        del versions
        rules = self._config.rules
        shares = {name: team.share for name, team in rules.teams.items()}
        self._dispatcher.usage.set_shares(shares)
        self._dispatcher.quarantine.set_rule(rules.quarantine)
        self._budget.set_rule(rules.retry)

    def keys_denied(self, key_ids: Sequence[str]) -> None:
        """Does nothing: the key verifier reads the deny set itself."""
