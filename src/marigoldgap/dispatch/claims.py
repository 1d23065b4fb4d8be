"""Stores claims of idempotency keys in the table service (section 2.3)."""

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

MAX_RECORDED_BODY_BYTES = 4_096
# Limit in bytes, since the table service holds small rows only.
_MAX_RECORDED_HEADERS_BYTES = 2_048

_logger = logs.PartLogger("dispatch")


class TableClaimStore:
    """Stores one row for each idempotency key of a team.

    Args:
        committer: Writes rows; concurrent claims share one write.
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
            DuplicateRequestError: The key was used before and no answer is
                recorded, or it was used for another request.
            StoreUnavailableError: The claim was not made or not confirmed.
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
            return await self._recorded_answer(claim)
        except errors.StoreOutcomeUnknownError:
            return await self._confirm(claim)
        return claim._replace(version=version)

    async def record(
        self, claim: interfaces.Claim, answer: workers_model.WorkerAnswer
    ) -> None:
        """Records the answer of a claimed request.

        A failure is logged only: repeats of the request then get a
        `DuplicateRequestError` instead of the answer.
        """
        try:
            await self._write(claim, _finished_fields(answer))
        except errors.MarigoldgapError as error:
            _logger.warning(
                "cannot record the answer of an idempotency key: %s",
                error.detail,
            )

    async def abandon(self, claim: interfaces.Claim) -> None:
        """Deletes the claim of work that did not run; logs a failure."""
        checks = (table_service_model.Check(claim.key, claim.version),)
        transaction = table_service_model.Transaction(
            checks, deletes=(claim.key,)
        )
        try:
            await self._committer.commit(transaction)
        except errors.MarigoldgapError as error:
            _logger.warning(
                "cannot delete the claim of an idempotency key: %s",
                error.detail,
            )

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

    async def _recorded_answer(
        self, claim: interfaces.Claim
    ) -> workers_model.WorkerAnswer:
        """Returns the recorded answer of the request that claimed the key.

        Raises:
            DuplicateRequestError: No answer is recorded, or the key belongs to
                a request with another queue or payload.
            StoreUnavailableError: The claim was deleted meanwhile.
        """
        row = await self._reader.get(claim.key)
        if row is None:
            # The other request was refused meanwhile and deleted its claim.
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
        return _replayed_answer(content)

    async def _confirm(self, claim: interfaces.Claim) -> interfaces.Claim:
        """Reads back a claim whose write had an unknown outcome.

        A write that is not visible yet may still take effect. The request is
        then refused and does not run; a claim that is stored late makes
        repeats of the request fail, which is safe.

        Raises:
            StoreUnavailableError: The row does not hold this claim.
        """
        row = await self._reader.get(claim.key)
        if row is not None and row.value.get("token") == claim.token:
            return claim._replace(version=row.version)
        raise errors.StoreUnavailableError("the claim could not be confirmed")


def _row_key(team: str, key: str) -> str:
    return f"claims/{team}/{hashlib.sha256(key.encode()).hexdigest()}"


def _fingerprint(queue: str, payload: bytes) -> str:
    """Returns a digest that detects reuse of a key for another request."""
    return hashlib.sha256(queue.encode() + b"\0" + payload).hexdigest()


def _finished_fields(answer: workers_model.WorkerAnswer) -> dict[str, Any]:
    """Returns the fields of a finished claim.

    Answers with a body or headers above the limits are left out.
    """
    headers = dict(answer.headers)
    size = sum(len(name) + len(text) for name, text in headers.items())
    if len(answer.body) > MAX_RECORDED_BODY_BYTES:
        return {"state": "finished"}
    if size > _MAX_RECORDED_HEADERS_BYTES:
        return {"state": "finished"}
    return {
        "state": "finished",
        "status": answer.status,
        "headers": headers,
        "body": base64.b64encode(answer.body).decode(),
    }


def _replayed_answer(content: Mapping[str, Any]) -> workers_model.WorkerAnswer:
    headers = {**content["headers"], "marigoldgap-replayed": "true"}
    return workers_model.WorkerAnswer(
        int(content["status"]), headers, base64.b64decode(content["body"])
    )
