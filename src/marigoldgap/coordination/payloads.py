"""Job payloads: small ones are sent inline, larger ones by reference."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from marigoldgap.coordination import interfaces
from marigoldgap.entries import job_messages

# Larger payloads are kept in the object store; see section 3.4.
INLINE_LIMIT_BYTES = 16_384


class PayloadSource:
    """Payloads of one batch; each referenced object is read once.

    Args:
        payloads: The payloads or references in the batch.
        objects: The object store.
    """

    def __init__(
        self,
        payloads: Sequence[job_messages.Payload],
        objects: interfaces.ObjectClient,
    ) -> None:
        self._payloads = {payload.job_id: payload for payload in payloads}
        self._objects = objects
        self._reads: dict[str, asyncio.Future[bytes]] = {}

    async def get(self, job_id: str) -> bytes:
        """Returns the payload of a job; empty if the batch has none.

        Raises:
            errors.StoreUnavailableError: The object could not be read.
        """
        payload = self._payloads.get(job_id)
        if payload is None:
            return b""
        if not payload.reference:
            return payload.data
        if job_id not in self._reads:
            read = self._objects.get(payload.reference)
            self._reads[job_id] = asyncio.ensure_future(read)
        return await asyncio.shield(self._reads[job_id])
