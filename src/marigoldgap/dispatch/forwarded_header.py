"""Signed header that proves that an entry instance forwards a request.

Callers do not know the cluster secret and cannot forge it.
"""

from __future__ import annotations

import hashlib
import hmac

from marigoldgap import clock
from marigoldgap import errors

HEADER = "Marigoldgap-Forwarded"
# Limits replay of an intercepted header. The clocks of two instances must
# differ by less than this.
_VALID_FOR_MS = 10_000


def sign(secret: str, team: str, queue: str, payload: bytes) -> str:
    """Returns the header value for a request of a team."""
    sent_at_ms = str(clock.wall_ms())
    proof = _proof(secret, team, queue, sent_at_ms, payload)
    return f"{team};{sent_at_ms};{proof}"


def verify(secret: str, header: str, queue: str, payload: bytes) -> str:
    """Verifies the header and returns the team that made the request.

    Raises:
        AuthenticationError: The header is malformed, its signature does not
            match the request, or it is too old.
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
