"""Proof that an entry instance, not a caller, forwards a request."""

from __future__ import annotations

import hashlib
import hmac

from marigoldgap import clock
from marigoldgap import errors

HEADER = "Marigoldgap-Forwarded"
# Bounds how long a recorded header could be used again; allows for clocks
# that differ by less.
_VALID_FOR_MS = 10_000


def sign(secret: str, team: str, queue: str, payload: bytes) -> str:
    """Returns the header for a request of a team."""
    sent_at_ms = str(clock.wall_ms())
    proof = _proof(secret, team, queue, sent_at_ms, payload)
    return f"{team};{sent_at_ms};{proof}"


def verify(secret: str, header: str, queue: str, payload: bytes) -> str:
    """Returns the team for which the request is forwarded.

    Raises:
        AuthenticationError: The header is malformed, false or too old.
    """
    team, _, rest = header.partition(";")
    sent_at_ms, _, proof = rest.partition(";")
    expected = _proof(secret, team, queue, sent_at_ms, payload)
    if not hmac.compare_digest(proof.encode(), expected.encode()):
        raise errors.AuthenticationError("the forwarding proof is false")
    if abs(clock.wall_ms() - int(sent_at_ms)) > _VALID_FOR_MS:
        raise errors.AuthenticationError("the forwarding proof is too old")
    return team


def _proof(
    secret: str, team: str, queue: str, sent_at_ms: str, payload: bytes
) -> str:
    digest = hashlib.sha256(payload).hexdigest()
    message = "\0".join((team, queue, sent_at_ms, digest))
    return hmac.new(
        secret.encode(), message.encode(), hashlib.sha256
    ).hexdigest()
