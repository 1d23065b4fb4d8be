"""Budget of retries in proportion to first attempts."""

from __future__ import annotations

from marigoldgap.rules import model as rules_model

# Retries saved up by a team, so that a quiet team can retry at all.
_LARGEST_BALANCE = 10.0
_PERCENT = 100


class RatioBudget:
    """Each first attempt of a team adds a part of a retry.

    Args:
        rule: Attempts of one task and retries in percent of requests.
    """

    def __init__(self, rule: rules_model.RetryRule | None = None) -> None:
        self._rule = rule or rules_model.RetryRule()
        self._balance: dict[str, float] = {}

    def set_rule(self, rule: rules_model.RetryRule) -> None:
        """Sets the rule in force."""
        self._rule = rule

    def note_request(self, team: str) -> None:
        """Counts a first attempt."""
        earned = self._rule.budget_percent / _PERCENT
        balance = self._balance.get(team, _LARGEST_BALANCE)
        self._balance[team] = min(_LARGEST_BALANCE, balance + earned)

    def try_retry(self, team: str, attempt: int) -> bool:
        """Takes one retry from the budget; returns False if there is none."""
        if attempt >= self._rule.attempts:
            return False
        balance = self._balance.get(team, _LARGEST_BALANCE)
        if balance < 1:
            return False
        self._balance[team] = balance - 1
        return True
