"""Rendezvous hashing: every member computes the same owner for a key."""

from __future__ import annotations

from collections.abc import Sequence
import hashlib

from marigoldgap import errors

# With 64 bits, ties are negligible; the higher candidate id wins a tie.
_DIGEST_BYTES = 8


def _weight(key: str, candidate: str) -> bytes:
    joined = f"{key}\0{candidate}".encode()
    return hashlib.blake2b(joined, digest_size=_DIGEST_BYTES).digest()


def rendezvous_owner(key: str, candidates: Sequence[str]) -> str:
    """Returns the candidate that should own the key.

    The result does not depend on the order of the candidates. When a candidate
    joins or leaves, only the keys that it gains or loses change their owner.

    Raises:
        NoCandidateError: If there is no candidate.
    """
    if not candidates:
        raise errors.NoCandidateError(f"no candidate can own {key}")
    return max(candidates, key=lambda name: (_weight(key, name), name))
