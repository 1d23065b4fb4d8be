"""Authenticates operators by their shared key."""

from __future__ import annotations

import hashlib
import hmac

from marigoldgap import errors
from marigoldgap.settings import model as settings_model

_BEARER_PREFIX = "bearer "


def check(settings: settings_model.Settings, authorization: str | None) -> None:
    """Checks the `Authorization` header of an operator's request.

    Args:
        settings: Settings with the hash of the operators' key.
        authorization: Value of the header, or None if it is missing.

    Raises:
        errors.AuthenticationError: The key is missing or wrong.
    """
    value = authorization or ""
    if not value.lower().startswith(_BEARER_PREFIX):
        raise errors.AuthenticationError(
            "send the operators' key as 'Authorization: Bearer KEY'"
        )
    key = value[len(_BEARER_PREFIX) :].strip()
    digest = hashlib.sha256(key.encode()).hexdigest()
    if not hmac.compare_digest(digest, settings.operator_key_hash):
        raise errors.AuthenticationError("the operators' key is wrong")
