"""Rendezvous hashing: every member proposes the same owner for a key."""

from __future__ import annotations

from collections.abc import Sequence
import hashlib

from marigoldgap import errors

# 64 bits make a tie between candidates negligible; ties go to the higher id.
_DIGEST_BYTES = 8


def _weight(key: str, candidate: str) -> bytes:
    joined = f"{key}\0{candidate}".encode()
    return hashlib.blake2b(joined, digest_size=_DIGEST_BYTES).digest()


def rendezvous_owner(key: str, candidates: Sequence[str]) -> str:
    """Returns the candidate that should own the key.

    The answer does not depend on the order of the candidates. When a candidate
    joins or leaves, only keys that it gains or loses change their owner.

    Raises:
        NoCandidateError: If there is no candidate.
    """
    if not candidates:
        raise errors.NoCandidateError(f"no candidate can own {key}")
    return max(candidates, key=lambda name: (_weight(key, name), name))
