"""Claims of idempotency keys in the table service (section 2.3)."""

from __future__ import annotations

import base64
from collections.abc import Mapping
import hashlib
from typing import Any

from marigoldgap import clock
from marigoldgap import errors
from marigoldgap import identifiers
from marigoldgap import logs
from marigoldgap.dispatch import interfaces
from marigoldgap.scheduling import model
from marigoldgap.table_service import model as table_service_model
from marigoldgap.workers import model as workers_model

LARGEST_RECORDED_BODY = 4_096
# Bounds the recorded headers, since rows of the table are small.
_LARGEST_RECORDED_HEADERS = 2_048

_logger = logs.PartLogger("dispatch")


class TableClaimStore:
    """Keeps one row for each idempotency key of a team.

    Args:
        committer: Writes; concurrent claims share a write.
        reader: Reads rows.
    """

    def __init__(
        self, committer: interfaces.Committer, reader: interfaces.TableReader
    ) -> None:
        self._committer = committer
        self._reader = reader

    async def claim(
        self, task: model.TaskSpec, key: str, payload: bytes
    ) -> interfaces.Claim | workers_model.WorkerAnswer:
        """Claims the key, or returns the answer recorded for it.

        Raises:
            DuplicateRequestError: The key was used and has no answer, or was
                used for another request.
            StoreUnavailableError: The claim could not be made.
        """
        claim = interfaces.Claim(
            _row_key(task.team, key),
            identifiers.new_token(),
            _fingerprint(task.queue, payload),
            table_service_model.ABSENT_VERSION,
        )
        try:
            version = await self._write(claim, {"state": "started"})
        except errors.ConflictError:
            return await self._earlier(claim)
        except errors.StoreOutcomeUnknownError:
            return await self._read_back(claim)
        return claim._replace(version=version)

    async def record(
        self, claim: interfaces.Claim, answer: workers_model.WorkerAnswer
    ) -> None:
        """Records the answer; without a record repeats get a conflict."""
        try:
            await self._write(claim, _recorded(answer))
        except errors.MarigoldgapError as error:
            _logger.warning("answer not recorded: %s", error.detail)

    async def abandon(self, claim: interfaces.Claim) -> None:
        """Deletes the claim of work that did not run."""
        checks = (table_service_model.Check(claim.key, claim.version),)
        transaction = table_service_model.Transaction(
            checks, deletes=(claim.key,)
        )
        try:
            await self._committer.commit(transaction)
        except errors.MarigoldgapError as error:
            _logger.warning("claim not abandoned: %s", error.detail)

    async def _write(
        self, claim: interfaces.Claim, fields: Mapping[str, Any]
    ) -> int:
        content = {
            **fields,
            "token": claim.token,
            "fingerprint": claim.fingerprint,
            "at_ms": clock.wall_ms(),
        }
        transaction = table_service_model.Transaction(
            checks=(table_service_model.Check(claim.key, claim.version),),
            puts=(table_service_model.Put(claim.key, content),),
        )
        return await self._committer.commit(transaction)

    async def _earlier(
        self, claim: interfaces.Claim
    ) -> workers_model.WorkerAnswer:
        """Returns the recorded answer of the request that has the key."""
        row = await self._reader.get(claim.key)
        if row is None:
            # The other request was refused meanwhile and freed the key.
            raise errors.StoreUnavailableError("the key was just freed")
        content = row.value
        if content.get("fingerprint") != claim.fingerprint:
            raise errors.DuplicateRequestError(
                "the idempotency key was used for another request"
            )
        if "body" not in content:
            raise errors.DuplicateRequestError(
                "a request with this idempotency key was accepted before"
            )
        return _replayed(content)

    async def _read_back(self, claim: interfaces.Claim) -> interfaces.Claim:
        """Finds out whether a claim whose answer was lost took effect.

        A claim that is not there may still arrive. The request is refused and
        did not run; the late claim then refuses repeats, which is safe.
        """
        row = await self._reader.get(claim.key)
        if row is not None and row.value.get("token") == claim.token:
            return claim._replace(version=row.version)
        raise errors.StoreUnavailableError("the claim could not be confirmed")


def _row_key(team: str, key: str) -> str:
    return f"claims/{team}/{hashlib.sha256(key.encode()).hexdigest()}"


def _fingerprint(queue: str, payload: bytes) -> str:
    """Returns a digest of the request, so that a key is not reused."""
    return hashlib.sha256(queue.encode() + b"\0" + payload).hexdigest()


def _recorded(answer: workers_model.WorkerAnswer) -> dict[str, Any]:
    """Returns the fields of a finished claim; large answers are left out."""
    headers = dict(answer.headers)
    size = sum(len(name) + len(text) for name, text in headers.items())
    if len(answer.body) > LARGEST_RECORDED_BODY:
        return {"state": "finished"}
    if size > _LARGEST_RECORDED_HEADERS:
        return {"state": "finished"}
    return {
        "state": "finished",
        "status": answer.status,
        "headers": headers,
        "body": base64.b64encode(answer.body).decode(),
    }


def _replayed(content: Mapping[str, Any]) -> workers_model.WorkerAnswer:
    headers = {**content["headers"], "marigoldgap-replayed": "true"}
    return workers_model.WorkerAnswer(
        int(content["status"]), headers, base64.b64decode(content["body"])
    )
