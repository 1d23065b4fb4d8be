"""Calls between the instances of a cell, JSON over HTTP.

The messages are few and small; a further codec would cost each process more
memory than it saves bytes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any
from urllib import parse

from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap import json_object
from marigoldgap.cell import election as elections
from marigoldgap.cell import model
from marigoldgap.cell import ports
from marigoldgap.cell import records
from marigoldgap.cell import scheduler as schedulers
from marigoldgap.web import client
from marigoldgap.web import messages

_log = decision_log.DecisionLogger("peers")

# Limit of a question to the elected instance; three crossings of a region.
_QUESTION_TIMEOUT_S = 0.4
_JOBS_PATH = "/peer/jobs/"
_QUEUES_PATH = "/peer/queues/"
_ADVICE_PATH = "/peer/advice"
_STORED_PATH = "/peer/stored-jobs"
_WATCH_PATH = "/peer/watch"
_TAKE_OVER_PATH = "/peer/take-over"
# How long the elected instance holds back its answer to a watcher.
_WATCH_S = 10.0
# Limit of a request to take over: a read and a write of the store.
_TAKE_OVER_TIMEOUT_S = 0.8
# An instance whose own read takes longer would not do the duty any better:
# twice a read across regions and the store's time for a call.
_LONGEST_READ_S = 0.1


class NotElectedError(errors.OverloadedError):
    """The asked instance does not schedule."""

    code = "not-elected"


class JobView:
    """What the elected instance knows of jobs.

    Args:
        scheduler: Returns the scheduler while this instance is elected.
    """

    def __init__(
        self, scheduler: Callable[[], schedulers.Scheduler | None]
    ) -> None:
        self._scheduler = scheduler

    def state(self, job_id: str) -> model.JobState | None:
        """Returns the state of a job; None if it is not known.

        Raises:
            NotElectedError: This instance does not schedule.
        """
        job = self._recovered().jobs.jobs.get(job_id)
        return None if job is None else job.shown_state

    def add_stored(self, record: model.JobRecord) -> None:
        """Takes over a job whose row was just written.

        Raises:
            NotElectedError: This instance does not schedule.
        """
        self._recovered().jobs.add(record)

    def waiting(self, queue: str) -> int:
        """Returns how many jobs of a queue have not begun.

        Raises:
            NotElectedError: This instance does not schedule.
        """
        return self._recovered().jobs.waiting(queue)

    def _recovered(self) -> schedulers.Scheduler:
        scheduler = self._scheduler()
        if scheduler is None or not scheduler.is_recovered:
            raise NotElectedError("this instance does not schedule")
        return scheduler


class PeerServer:
    """Answers the calls of other instances.

    Args:
        view: What is known of jobs here.
        advice: The advice service; None if there is none.
        election: Takes part in the election for this instance.
    """

    def __init__(
        self,
        view: JobView,
        advice: ports.AdvicePort | None,
        election: elections.Election,
    ) -> None:
        self._view = view
        self._advice = advice
        self._election = election

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
                records.decode_job(str(fields["job"]), fields["row"].encode())
            )
            return messages.json_response(200, {})
        if path == _ADVICE_PATH and self._advice is not None:
            return await self._ask(
                json_object.decode(request.body, messages.InvalidAnswerError)
            )
        if path == _WATCH_PATH:
            await asyncio.sleep(_WATCH_S)
            return messages.json_response(200, {})
        if path == _TAKE_OVER_PATH:
            fields = json_object.decode(
                request.body, messages.InvalidAnswerError
            )
            return messages.json_response(
                200, {"taken": await self._take_over(fields)}
            )
        return messages.json_response(404, {"error": "not-found"})

    async def _take_over(self, fields: dict[str, Any]) -> bool:
        if self._election.delay_s > fields["most_delay_s"]:
            return False
        return await self._election.take_over(
            int(fields["epoch"]), "it asked for it", _LONGEST_READ_S
        )

    async def _ask(self, fields: dict[str, Any]) -> messages.Response:
        assert self._advice is not None
        tickets = await self._advice.ask(
            str(fields["step"]),
            [str(each) for each in fields["workers"]],
            float(fields["timeout_s"]),
        )
        return messages.json_response(200, tickets._asdict())


class PeerClient:
    """Calls another instance.

    Args:
        pool: Connections.
        address: `ip:port` of the instance.
        name: Its name.
    """

    def __init__(self, pool: client.HttpPool, address: str, name: str) -> None:
        self.name = name
        self._pool = pool
        self._address = address

    async def state(self, job_id: str) -> model.JobState | None:
        """Asks for the state of a job; None if it is not known there.

        Raises:
            MarigoldgapError: There is no usable answer.
        """
        fields = await self._call(
            "GET", _JOBS_PATH + job_id, b"", _QUESTION_TIMEOUT_S
        )
        state = fields.get("state")
        return None if state is None else model.JobState(state)

    async def waiting(self, queue: str) -> int:
        """Asks how many jobs of a queue have not begun.

        Raises:
            MarigoldgapError: There is no usable answer.
        """
        path = _QUEUES_PATH + parse.quote(queue, safe="")
        fields = await self._call("GET", path, b"", _QUESTION_TIMEOUT_S)
        return int(fields["waiting"])

    async def ask(
        self, step: str, workers: list[str], timeout_s: float
    ) -> model.Tickets:
        """Has the instance ask the advice service.

        Raises:
            MarigoldgapError: There is no usable answer.
        """
        body = {"step": step, "workers": workers, "timeout_s": timeout_s}
        fields = await self._call(
            "POST", _ADVICE_PATH, json_object.encode(body), timeout_s
        )
        return model.Tickets(fields["by_worker"], fields["valid_ms"])

    async def add_stored(self, record: model.JobRecord) -> None:
        """Tells the instance of a job whose row was just written.

        Raises:
            MarigoldgapError: There is no usable answer.
        """
        row = records.encode_job(record).decode()
        await self._call(
            "POST",
            _STORED_PATH,
            json_object.encode({"job": record.job_id, "row": row}),
            _QUESTION_TIMEOUT_S,
        )

    async def take_over(self, epoch: int, most_delay_s: float) -> bool:
        """Asks the instance to schedule from now on.

        Args:
            epoch: The election that is over.
            most_delay_s: Only an instance that is placed well enough to wait
                no longer than this should do it.

        Raises:
            MarigoldgapError: There is no usable answer.
        """
        body = {"epoch": epoch, "most_delay_s": most_delay_s}
        fields = await self._call(
            "POST",
            _TAKE_OVER_PATH,
            json_object.encode(body),
            _TAKE_OVER_TIMEOUT_S,
        )
        return fields.get("taken") is True

    async def watch(self) -> None:
        """Waits until the instance ends or a while has passed.

        Raises:
            MarigoldgapError: The connection was lost, or there is none.
        """
        await self._call("GET", _WATCH_PATH, b"", 2 * _WATCH_S)

    async def _call(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> dict[str, Any]:
        answer = await self._pool.exchange(
            method, self._address, path, body, timeout_s
        )
        if answer.status != 200:
            raise messages.InvalidAnswerError(
                f"{self.name} answered {answer.status}"
            )
        return json_object.decode(answer.body, messages.InvalidAnswerError)
