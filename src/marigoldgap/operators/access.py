"""Checks the operators' key."""

from __future__ import annotations

import hashlib
import hmac

from marigoldgap import errors
from marigoldgap.settings import model as settings_model

_SCHEME = "bearer "


def check(settings: settings_model.Settings, authorization: str | None) -> None:
    """Checks the header `Authorization` of an operator's request.

    Raises:
        errors.AuthenticationError: The key is missing or wrong.
    """
    value = authorization or ""
    if not value.lower().startswith(_SCHEME):
        raise errors.AuthenticationError(
            "send the operators' key as 'Authorization: Bearer KEY'"
        )
    key = value[len(_SCHEME) :].strip()
    digest = hashlib.sha256(key.encode()).hexdigest()
    if not hmac.compare_digest(digest, settings.operator_key_hash):
        raise errors.AuthenticationError("the operators' key is wrong")
