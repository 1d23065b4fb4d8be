"""Generates, hashes and verifies the API keys of callers."""

from __future__ import annotations

import hashlib
import hmac
import re
import secrets
from typing import NamedTuple

from marigoldgap import clock
from marigoldgap import errors
from marigoldgap.config_store import model
from marigoldgap.config_store import state as state_module
from marigoldgap.rules import model as rules_model
from marigoldgap.rules import problems
from marigoldgap.settings import model as settings_model

_ID_BYTES = 8
_SECRET_BYTES = 24
_SALT_BYTES = 16
_BEARER_PATTERN = re.compile(
    r"Bearer ([0-9a-f]{16})\.([A-Za-z0-9_-]{16,128})", re.IGNORECASE
)
# Compared when the key id is unknown, so that the response time does not show
# whether a key id exists.
_DUMMY_RECORD = model.KeyRecord("", "", "", "0" * 64, "", 0)


class NewKey(NamedTuple):
    """A new key; the secret is stored nowhere else.

    Attributes:
        key: The key as the caller sends it: `KEY_ID.SECRET`.
        record: The record to store, with a salted hash of the secret.
    """

    key: str
    record: model.KeyRecord


def new_key(team: str, granted_by: str, at_ms: int) -> NewKey:
    """Returns a new random key for a team.

    Args:
        team: The team whose work the key allows.
        granted_by: Operator who grants the key.
        at_ms: Wall-clock time of the grant.
    """
    key_id = secrets.token_hex(_ID_BYTES)
    secret = secrets.token_urlsafe(_SECRET_BYTES)
    salt = secrets.token_hex(_SALT_BYTES)
    record = model.KeyRecord(
        key_id, team, salt, _hash(salt, secret), granted_by, at_ms
    )
    return NewKey(f"{key_id}.{secret}", record)


class KeyVerifier:
    """Verifies keys and determines the team of submitted work.

    Args:
        settings: Settings of this instance.
        state: The configuration in force.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        state: state_module.ConfigState,
    ) -> None:
        self._max_age_s = settings.max_key_age_s
        self._state = state

    def verify(self, authorization: str | None, queue: str) -> str:
        """Returns the team for which work for a queue is accepted.

        A queue without keys has a fixed team.

        Args:
            authorization: Value of the header `Authorization`; None if the
                request has none.
            queue: Name of the queue.

        Raises:
            errors.NotReadyError: No configuration was read yet.
            errors.NotFoundError: The rules have no such queue.
            errors.AuthenticationError: The key is missing, malformed,
                unknown or withdrawn.
            errors.AuthorizationError: The key's team has no rule.
            errors.KeysUnconfirmedError: The configuration was last confirmed
                longer ago than the settings allow.
        """
        if not self._state.is_known:
            raise errors.NotReadyError("this instance has no rules yet")
        rule = self._state.rules.queues.get(queue)
        if rule is None:
            raise errors.NotFoundError(self._unknown_queue(queue))
        if not rule.keyed:
            return rule.team
        return self._team_of_key(authorization, rule)

    def identify(self, authorization: str | None) -> str:
        """Returns the team of a key, e.g. to show or cancel its jobs.

        Args:
            authorization: Value of the header `Authorization`; None if the
                request has none.

        Raises:
            errors.AuthenticationError: See `verify`.
            errors.AuthorizationError: See `verify`.
            errors.KeysUnconfirmedError: See `verify`.
        """
        return self._team_of_key(authorization, None)

    def _team_of_key(
        self, authorization: str | None, rule: rules_model.QueueRule | None
    ) -> str:
        if not authorization:
            place = f"queue '{rule.name}'" if rule else "this"
            raise errors.AuthenticationError(
                f"{place} needs a key; send 'Authorization: Bearer KEY'"
            )
        match = _BEARER_PATTERN.fullmatch(authorization.strip())
        if match is None:
            raise errors.AuthenticationError(
                "the key is malformed; expected 'Bearer KEY_ID.SECRET'"
            )
        record = self._matching_record(match.group(1).lower(), match.group(2))
        self._check_age()
        if record.team not in self._state.rules.teams:
            raise errors.AuthorizationError(
                f"team '{record.team}' of this key has no rule"
            )
        return record.team

    def _matching_record(self, key_id: str, secret: str) -> model.KeyRecord:
        record = self._state.keys.get(key_id, _DUMMY_RECORD)
        computed = _hash(record.salt, secret)
        matches = hmac.compare_digest(computed, record.secret_hash)
        if not matches or record is _DUMMY_RECORD:
            raise errors.AuthenticationError(
                "the key is unknown or was withdrawn; ask an operator for one"
            )
        if self._state.is_denied(key_id):
            raise errors.AuthenticationError(
                f"the key {key_id} was withdrawn; ask an operator for a new one"
            )
        return record

    def _check_age(self) -> None:
        if self._max_age_s is None:
            return
        age_ms = self._state.confirmed_age_ms()
        limit_ms = self._max_age_s * clock.MILLISECONDS_PER_SECOND
        if age_ms is None or age_ms > limit_ms:
            raise errors.KeysUnconfirmedError(
                f"the keys were not confirmed for {self._max_age_s} s; "
                f"retry at another instance"
            )

    def _unknown_queue(self, queue: str) -> str:
        known = self._state.rules.queues
        nearest = problems.nearest_word(queue, known)
        hint = f"; did you mean '{nearest}'?" if nearest else ""
        return f"there is no queue '{queue}'{hint}"


def _hash(salt: str, secret: str) -> str:
    """Returns the salted hash of a secret.

    The secret is random, so that one round of hashing is enough.
    """
    return hashlib.sha256(f"{salt}.{secret}".encode()).hexdigest()
