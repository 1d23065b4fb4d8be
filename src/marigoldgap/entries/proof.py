"""Mutual challenge-response authentication with the cluster secret.

The accepting side sends a nonce. Each side then sends an HMAC over both
nonces, its role, instance id, zone and incarnation. The role prevents a
reflection attack, in which a side gets its own proof sent back.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets

from marigoldgap.entries import messages

_NONCE_BYTES = 16
_PROTOCOL = b"marigoldgap-peer-1"


def new_nonce() -> bytes:
    """Returns a random nonce."""
    return secrets.token_bytes(_NONCE_BYTES)


def sign(
    secret: str, role: str, challenge: bytes, hello: messages.Hello
) -> bytes:
    """Returns the proof of a Hello.

    Args:
        secret: The cluster secret.
        role: Role of the side that sends the Hello: `dial` or `accept`.
        challenge: The nonce of the other side.
        hello: The Hello; its `proof` field is ignored.
    """
    parts = (
        _PROTOCOL,
        role.encode(),
        challenge,
        hello.nonce,
        hello.instance_id.encode(),
        hello.zone.encode(),
        hello.incarnation.encode(),
    )
    text = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
    return hmac.new(secret.encode(), text, hashlib.sha256).digest()


def verify(
    secret: str, role: str, challenge: bytes, hello: messages.Hello
) -> bool:
    """Whether the proof in a Hello is right; compares in constant time."""
    if len(challenge) != _NONCE_BYTES or len(hello.nonce) != _NONCE_BYTES:
        return False
    return hmac.compare_digest(
        sign(secret, role, challenge, hello), hello.proof
    )
