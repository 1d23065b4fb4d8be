"""Records events and metrics about requests."""

from __future__ import annotations

from marigoldgap import clock
from marigoldgap import errors
from marigoldgap.dispatch import dispatcher as dispatch_dispatcher
from marigoldgap.events import ring
from marigoldgap.events import types
from marigoldgap.metrics import client
from marigoldgap.metrics import names
from marigoldgap.scheduling import model
from marigoldgap.workers import model as workers_model


class ObservedDispatcher:
    """Wraps a dispatcher and records the outcome of its requests.

    Implements `callers.interfaces.RequestDispatcher`.

    Args:
        dispatcher: Runs the requests.
        events: Event ring that the events are written to.
        metrics: Client that counters and timings are sent to.
    """

    def __init__(
        self,
        dispatcher: dispatch_dispatcher.Dispatcher,
        events: ring.EventRing,
        metrics: client.MetricsClient,
    ) -> None:
        self._dispatcher = dispatcher
        self._events = events
        self._metrics = metrics

    async def submit(
        self,
        task: model.TaskSpec,
        payload: bytes,
        forwarded: bool = False,
        idempotency_key: str = "",
    ) -> workers_model.WorkerAnswer:
        """Runs a request; see `Dispatcher.submit`."""
        start_ms = clock.monotonic_ms()
        self._metrics.count(names.REQUESTS_ACCEPTED)
        self._events.record(
            types.RequestAccepted(task.task_id, task.team, task.queue)
        )
        try:
            answer = await self._dispatcher.submit(
                task, payload, forwarded, idempotency_key
            )
        except errors.MarigoldgapError as error:
            self._record_failure(task, error)
            raise
        duration_ms = clock.monotonic_ms() - start_ms
        self._metrics.count(names.REQUESTS_ANSWERED)
        self._metrics.timing(names.REQUEST_TIME, duration_ms)
        self._events.record(
            types.RequestAnswered(task.task_id, answer.status, duration_ms)
        )
        return answer

    def _record_failure(
        self, task: model.TaskSpec, error: errors.MarigoldgapError
    ) -> None:
        did_not_run = error.ran is errors.Ran.NO
        metric = (
            names.REQUESTS_REFUSED if did_not_run else names.REQUESTS_UNKNOWN
        )
        self._metrics.count(metric)
        self._metrics.count(metric, suffix=error.code)
        self._events.record(
            types.RequestRefused(
                task.task_id, task.team, task.queue, error.code, error.ran.value
            )
        )
