"""Calls between the instances of a cell, as JSON over HTTP.

The messages are few and small: a binary codec would cost each process more
memory than the bytes that it saves.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from typing import Any
from urllib import parse

from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap import json_object
from marigoldgap.cell import configuration_relay
from marigoldgap.cell import election as elections
from marigoldgap.cell import job_view
from marigoldgap.cell import model
from marigoldgap.cell import ports
from marigoldgap.cell import records
from marigoldgap.web import client
from marigoldgap.web import messages

_log = decision_log.DecisionLogger("peers")

# Timeout of a query to the leader: three crossings between regions.
_QUERY_TIMEOUT_S = 0.4
_JOBS_PATH = "/peer/jobs/"
_QUEUES_PATH = "/peer/queues/"
_ADVICE_PATH = "/peer/advice"
_STORED_PATH = "/peer/stored-jobs"
_WATCH_PATH = "/peer/watch"
_VOUCH_PATH = "/peer/vouch"
_TAKE_OVER_PATH = "/peer/take-over"
_CONFIGURATION_PATH = "/peer/configuration/"
# Timeout of a call for the configuration, until the first part of the answer and
# between its parts: the time for which it is held, and a margin.
_CONFIGURATION_TIMEOUT_S = configuration_relay.HOLD_S + 0.3
# Most bytes of such an answer.
_MAX_CONFIGURATION_BYTES = 8 * 1_024 * 1_024
# Time for which the leader holds the answer to a watch call.
_WATCH_HOLD_S = 10.0
# Timeout of a request to take over, which reads and writes the store.
_TAKE_OVER_TIMEOUT_S = 0.8
# Errors of reading a field of an answer.
_FIELD_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)
# An instance whose own read of the store takes longer would be no better
# leader: twice a read across regions plus the store's time for a call.
_MAX_READ_S = 0.1


def is_watch(request: messages.Request) -> bool:
    """Returns whether a request only waits for the end of its connection."""
    return request.path == _WATCH_PATH


class PeerServer:
    """Answers the calls of other instances.

    Args:
        view: Jobs of the leader, while this instance is the leader.
        advice: Client of the advice service; None if there is no service.
        election: This instance's part in the election.
        relay: Returns the configuration for an instance that has a version of it.
    """

    def __init__(
        self,
        view: job_view.JobView,
        advice: ports.AdvicePort | None,
        election: elections.Election,
        relay: Callable[[int], Awaitable[configuration_relay.RelayedRows]],
    ) -> None:
        self._view = view
        self._advice = advice
        self._election = election
        self._relay = relay
        self._packer = configuration_relay.Packer()

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers one call."""
        try:
            return await self._handle(request)
        except errors.MarigoldgapError as error:
            _log.warning("answer_failed", path=request.path, cause=str(error))
            return messages.json_response(503, {"error": error.code})

    async def _handle(self, request: messages.Request) -> messages.Response:
        path = parse.unquote(request.path)
        if path.startswith(_JOBS_PATH):
            state = self._view.state(path.removeprefix(_JOBS_PATH))
            found = state.value if state is not None else None
            return messages.json_response(200, {"state": found})
        if path.startswith(_QUEUES_PATH):
            count = self._view.waiting(path.removeprefix(_QUEUES_PATH))
            return messages.json_response(200, {"waiting": count})
        if path == _STORED_PATH:
            fields = json_object.decode(
                request.body, messages.InvalidAnswerError
            )
            self._view.add_stored(
                records.decode_job(str(fields["job"]), fields["row"].encode()),
                int(fields.get("version", 0)),
            )
            return messages.json_response(200, {})
        if path == _ADVICE_PATH and self._advice is not None:
            return await self._request_tickets(
                json_object.decode(request.body, messages.InvalidAnswerError)
            )
        if path.startswith(_CONFIGURATION_PATH):
            return await self._answer_configuration(
                path.removeprefix(_CONFIGURATION_PATH)
            )
        if path == _WATCH_PATH:
            await asyncio.sleep(_WATCH_HOLD_S)
            return messages.json_response(200, {})
        if path == _VOUCH_PATH:
            fields = json_object.decode(
                request.body, messages.InvalidAnswerError
            )
            return messages.json_response(
                200, {"vouched": self._election.vouch(int(fields["epoch"]))}
            )
        if path == _TAKE_OVER_PATH:
            fields = json_object.decode(
                request.body, messages.InvalidAnswerError
            )
            return messages.json_response(
                200, {"taken": await self._take_over(fields)}
            )
        return messages.json_response(404, {"error": "not-found"})

    async def _answer_configuration(self, version: str) -> messages.Response:
        if not version.isascii() or not version.isdecimal():
            raise messages.InvalidAnswerError(f"invalid version {version!r}")
        rows = await self._relay(int(version))
        return messages.json_response(
            200, configuration_relay.encode(rows, self._packer)
        )

    async def _take_over(self, fields: dict[str, Any]) -> bool:
        if self._election.claim_delay_s > fields["most_delay_s"]:
            return False
        return await self._election.take_over(
            int(fields["epoch"]),
            "requested by the leader",
            _MAX_READ_S,
            # Earlier versions do not send it.
            fields.get("has_stopped") is True,
        )

    async def _request_tickets(
        self, fields: dict[str, Any]
    ) -> messages.Response:
        assert self._advice is not None
        tickets = await self._advice.ask(
            str(fields["step"]),
            [str(each) for each in fields["workers"]],
            float(fields["timeout_s"]),
        )
        return messages.json_response(200, tickets._asdict())


class PeerClient:
    """Calls another instance; also a proxy to the advice service.

    Args:
        pool: Connections to peers.
        address: `ip:port` of the instance.
        name: Name of the instance.
    """

    def __init__(self, pool: client.HttpPool, address: str, name: str) -> None:
        self.name = name
        self._pool = pool
        self._address = address

    async def state(self, job_id: str) -> model.JobState | None:
        """Requests the state of a job; None if the instance does not know it.

        Raises:
            MarigoldgapError: The call failed or its answer is invalid.
        """
        fields = await self._call(
            "GET", _JOBS_PATH + job_id, b"", _QUERY_TIMEOUT_S
        )
        state = fields.get("state")
        with self._checked():
            return None if state is None else model.JobState(state)

    async def waiting(self, queue: str) -> int:
        """Requests the number of jobs of a queue that have not started.

        Raises:
            MarigoldgapError: The call failed or its answer is invalid.
        """
        path = _QUEUES_PATH + parse.quote(queue, safe="")
        fields = await self._call("GET", path, b"", _QUERY_TIMEOUT_S)
        with self._checked():
            return int(fields["waiting"])

    async def ask(
        self, step: str, workers: list[str], timeout_s: float
    ) -> ports.Tickets:
        """Requests tickets from the advice service through the instance.

        Raises:
            MarigoldgapError: The call failed or its answer is invalid.
        """
        body = {"step": step, "workers": workers, "timeout_s": timeout_s}
        fields = await self._call(
            "POST", _ADVICE_PATH, json_object.encode(body), timeout_s
        )
        with self._checked():
            tickets = fields["by_worker"].items()
            return ports.Tickets(
                {str(name): str(ticket) for name, ticket in tickets},
                float(fields["valid_ms"]),
            )

    async def add_stored(self, record: model.JobRecord, version: int) -> None:
        """Notifies the instance of a job whose row was just written.

        Args:
            record: The job.
            version: Version of its row.

        Raises:
            MarigoldgapError: The call failed or its answer is invalid.
        """
        row = records.encode_job(record).decode()
        await self._call(
            "POST",
            _STORED_PATH,
            json_object.encode(
                {"job": record.job_id, "row": row, "version": version}
            ),
            _QUERY_TIMEOUT_S,
        )

    async def take_over(
        self, epoch: int, most_delay_s: float, has_stopped: bool
    ) -> bool:
        """Requests that the instance takes leadership over.

        Args:
            epoch: Epoch of the leadership that ends.
            most_delay_s: The instance declines if its claim delay is longer,
                that is, if it is placed worse than this allows.
            has_stopped: Whether this leader, and all before it, send no starts
                until the answer arrives.

        Returns:
            Whether the instance is the leader now.

        Raises:
            MarigoldgapError: The call failed or its answer is invalid.
        """
        body = {
            "epoch": epoch,
            "most_delay_s": most_delay_s,
            "has_stopped": has_stopped,
        }
        fields = await self._call(
            "POST",
            _TAKE_OVER_PATH,
            json_object.encode(body),
            _TAKE_OVER_TIMEOUT_S,
        )
        return fields.get("taken") is True

    async def vouch(self, epoch: int) -> bool:
        """Asks whether the instance knows no leader after that of an epoch.

        Raises:
            MarigoldgapError: The call failed or its answer is invalid.
        """
        fields = await self._call(
            "POST",
            _VOUCH_PATH,
            json_object.encode({"epoch": epoch}),
            _QUERY_TIMEOUT_S,
        )
        return fields.get("vouched") is True

    async def configuration(
        self, version: int
    ) -> configuration_relay.RelayedRows:
        """Requests the configuration from the reader of the zone.

        Args:
            version: Version that this instance has; 0 if none.

        Raises:
            MarigoldgapError: The call failed or its answer is invalid.
        """
        answer = await self._pool.exchange(
            "GET",
            self._address,
            f"{_CONFIGURATION_PATH}{version}",
            timeout_s=_CONFIGURATION_TIMEOUT_S,
            is_bulk=True,
            max_body_bytes=_MAX_CONFIGURATION_BYTES,
        )
        if answer.status != 200:
            raise messages.InvalidAnswerError(
                f"{self.name} answered with status {answer.status}"
            )
        return configuration_relay.decode(answer.body)

    async def watch(self) -> None:
        """Waits until the instance answers a long poll or ends.

        Raises:
            MarigoldgapError: The connection was lost or refused.
        """
        await self._call("GET", _WATCH_PATH, b"", 2 * _WATCH_HOLD_S)

    @contextlib.contextmanager
    def _checked(self) -> Iterator[None]:
        """Raises InvalidAnswerError for fields that are missing or malformed."""
        try:
            yield
        except _FIELD_ERRORS as error:
            raise messages.InvalidAnswerError(
                f"{self.name} answered with an invalid field: {error!r}"
            ) from error

    async def _call(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> dict[str, Any]:
        answer = await self._pool.exchange(
            method, self._address, path, body, timeout_s
        )
        if answer.status != 200:
            raise messages.InvalidAnswerError(
                f"{self.name} answered {method} {path} with status"
                f" {answer.status}"
            )
        return json_object.decode(answer.body, messages.InvalidAnswerError)
