"""Limits retries per task and per team and spreads them over time."""

from __future__ import annotations

from collections.abc import Callable

from marigoldgap.rules import model as rules_model

# Initial balance of a team, so that a team with few tasks can retry at all.
_INITIAL_BALANCE = 10.0
# Limits the retries that a team accumulates while nothing fails.
_MAX_BALANCE = 1_000.0
_PERCENT = 100.0


class RetryBudget:
    """Limits retries to a fraction of the first attempts of each team.

    Each first attempt adds `budget_percent` of a retry to the team's balance
    and each retry subtracts one. During an outage the load therefore grows by
    at most that fraction instead of a multiple.

    Args:
        rule: Attempts of one task and the budget of a team.
        base_ms: Maximum delay in milliseconds before the first retry.
        cap_ms: Maximum delay in milliseconds before any retry.
    """

    def __init__(
        self,
        rule: rules_model.RetryRule,
        base_ms: int = 100,
        cap_ms: int = 10_000,
    ) -> None:
        self._rule = rule
        self._base_ms = base_ms
        self._cap_ms = cap_ms
        self._balances: dict[str, float] = {}

    def set_rule(self, rule: rules_model.RetryRule) -> None:
        """Replaces the rule; the balances are kept."""
        self._rule = rule

    def first_attempt(self, team: str) -> None:
        """Records the first attempt of a task."""
        earned = self._rule.budget_percent / _PERCENT
        balance = self._balances.get(team, _INITIAL_BALANCE) + earned
        self._balances[team] = min(balance, _MAX_BALANCE)

    def take(self, team: str, attempt: int) -> bool:
        """Takes one retry from the team's budget.

        Args:
            team: The team of the task.
            attempt: Attempts made so far, at least 1.

        Returns:
            Whether the task may be retried; False if its attempts or the
            team's budget are used up.
        """
        if attempt >= self._rule.attempts:
            return False
        balance = self._balances.get(team, _INITIAL_BALANCE)
        if balance < 1.0:
            return False
        self._balances[team] = balance - 1.0
        return True

    def delay_ms(self, attempt: int, draw: Callable[[], float]) -> int:
        """Returns the backoff in milliseconds before a retry, with full jitter.

        Args:
            attempt: Attempts made so far, at least 1.
            draw: Returns a random number in [0, 1).
        """
        doublings = min(max(attempt - 1, 0), 30)
        longest = min(self._cap_ms, self._base_ms << doublings)
        return int(draw() * longest)
