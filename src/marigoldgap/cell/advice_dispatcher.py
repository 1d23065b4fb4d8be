"""Distributes calls to the advice service over the instances.

The advice service handles the calls of one machine one after the other, so
each instance is used as a separate proxy. Slow calls leave some proxies free
for quick calls.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import math
from typing import NamedTuple
from typing import Protocol

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap import measures
from marigoldgap.cell import advice_proxies
from marigoldgap.cell import advice_targets
from marigoldgap.cell import containment
from marigoldgap.cell import ports
from marigoldgap.cell import step_progress

_log = decision_log.DecisionLogger("advice")

# Calls that are expected to take longer than this may not use every proxy.
_SLOW_CALL_S = 0.1
# A call may be overtaken by a quicker one that is requested later by up to this
# multiple of the difference between their declared times.
_OVERTAKING_FACTOR = 4.0
# Added to the expected time of a call for its timeout: covers the network
# path to the instance and from there to the service.
_CALL_OVERHEAD_S = 0.6
# Part of a ticket's validity that is lost in transit.
_TRANSIT_S = 0.05


class AdviceProxy(Protocol):
    """An instance through which the advice service is called."""

    name: str

    async def ask(
        self, step: str, workers: list[str], timeout_s: float
    ) -> ports.Tickets:
        """Requests tickets for the workers that may run a step."""


class _Request(NamedTuple):
    """A queued call for tickets of a step.

    Attributes:
        step: The step.
        workers: The workers that were requested.
        requested_s: Monotonic time of the request, in seconds.
        declared_s: Declared time of the call, in seconds.
    """

    step: step_progress.StepProgress
    workers: list[str]
    requested_s: float
    declared_s: float

    @property
    def urgency(self) -> tuple[bool, float]:
        """Sort key: deferred calls go last, whatever the time they have waited.

        Among the others, quick calls go first, but keep no slow one waiting.
        """
        return (
            self.step.is_advice_deferred,
            self.requested_s + _OVERTAKING_FACTOR * self.declared_s,
        )


class AdviceDispatcher:
    """Requests tickets for steps, at most one call at a time per proxy.

    Args:
        proxies: Returns the proxies that may be used, this instance first.
        choose: Returns the workers that a call asks about when it is sent, for
            a step and the workers that were requested.
        answered: Called after each call, whether or not it succeeded.
    """

    def __init__(
        self,
        proxies: Callable[[], list[AdviceProxy]],
        choose: Callable[[step_progress.StepProgress, list[str]], list[str]],
        answered: Callable[[], None],
    ) -> None:
        self._proxies = proxies
        self._choose = choose
        self._answered = answered
        # Those that cannot be sent yet, and whether they will be examined again in
        # the next turn of the event loop.
        self._waiting: list[_Request] = []
        self._is_scheduled = False
        self._is_closed = False
        # Start time of the current call, by name of the proxy.
        self._busy: dict[str, float] = {}
        self._health = advice_proxies.AdviceProxies()
        self._tasks: set[asyncio.Task[None]] = set()

    def request(
        self, step: step_progress.StepProgress, workers: list[str]
    ) -> None:
        """Requests tickets for a step and stores them in the step.

        A gang needs many workers, so it asks about more of them at once, in
        several concurrent calls of about the same size: the tickets of a quick
        call would expire before a slow one ends. One call is enough for other
        steps.
        """
        if step.is_advice_pending or not workers:
            return
        asked = workers[: advice_targets.max_requested(step)]
        calls = _calls_for(len(asked))
        now = clock.now_s()
        requests = []
        for first in range(calls):
            workers = asked[first::calls]
            step.pending_advice_calls += 1
            requests.append(
                _Request(step, workers, now, _declared_s(step, workers))
            )
        # A plan may request calls for thousands of steps. Those that wait cannot be
        # sent because of a further request, so they are examined once for all.
        self._waiting += self._send(requests)
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._dispatch)

    def close(self) -> None:
        """Cancels all calls."""
        self._is_closed = True
        for task in self._tasks:
            task.cancel()

    def _dispatch(self) -> None:
        self._is_scheduled = False
        if self._is_closed:
            return
        self._waiting.sort(key=lambda request: request.urgency)
        self._waiting = self._send(self._waiting)

    def _send(self, requests: list[_Request]) -> list[_Request]:
        """Sends the requests for which a proxy is free.

        Args:
            requests: Requests in the order in which they get proxies.

        Returns:
            Those that have to wait.
        """
        now = clock.now_s()
        proxies = {proxy.name: proxy for proxy in self._proxies()}
        self._health.update(list(proxies))
        free = {
            is_slow: self._health.usable(self._busy.keys(), is_slow, now)
            for is_slow in (False, True)
        }
        waiting = []
        for request in requests:
            if request.step.job.is_ended:
                request.step.pending_advice_calls -= 1
                continue
            is_slow = request.declared_s > _SLOW_CALL_S
            if not free[is_slow]:
                waiting.append(request)
                continue
            workers = self._choose(request.step, request.workers)
            if not workers:
                request.step.pending_advice_calls -= 1
                continue
            proxy = proxies[free[is_slow][0]]
            for names in free.values():
                if proxy.name in names:
                    names.remove(proxy.name)
            self._busy[proxy.name] = now
            sent = request._replace(
                workers=workers, declared_s=_declared_s(request.step, workers)
            )
            task = asyncio.create_task(self._call(proxy, sent))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return waiting

    async def _call(self, proxy: AdviceProxy, request: _Request) -> None:
        step = request.step
        started_s = clock.now_s()
        try:
            with containment.contained("advice", proxy.name):
                tickets = await proxy.ask(
                    step.advice_name,
                    request.workers,
                    request.declared_s + _CALL_OVERHEAD_S,
                )
        except errors.MarigoldgapError as error:
            pause_s = self._health.record_failure(proxy.name, clock.now_s())
            _log.warning(
                "advice_failed",
                step=step.advice_name,
                proxy=proxy.name,
                pause_s=pause_s,
                cause=str(error),
            )
            asyncio.get_running_loop().call_later(pause_s, self._dispatch)
        else:
            self._health.record_success(proxy.name)
            measures.ADVICE_S.observe(clock.now_s() - started_s)
            self._record(request, tickets, started_s)
        finally:
            self._busy.pop(proxy.name, None)
            step.pending_advice_calls -= 1
        self._dispatch()
        self._answered()

    def _record(
        self, request: _Request, tickets: ports.Tickets, started_s: float
    ) -> None:
        now = clock.now_s()
        step = request.step
        valid_until_s = now + tickets.valid_ms / 1000 - _TRANSIT_S
        step.asked_workers.update(request.workers)
        for worker_id in request.workers:
            step.advised_workers.pop(worker_id, None)
        for worker_id, ticket in tickets.by_worker.items():
            step.advised_workers[worker_id] = None
            step.tickets[worker_id] = (ticket, valid_until_s)
        _log.info(
            "advice_received",
            step=step.advice_name,
            good=len(tickets.by_worker),
            asked=len(request.workers),
            declared_s=round(request.declared_s, 3),
            took_s=round(now - started_s, 3),
            queued_s=round(started_s - request.requested_s, 3),
        )


def _declared_s(step: step_progress.StepProgress, workers: list[str]) -> float:
    advice = step.job.queue.advice
    assert advice is not None
    return (advice.decide_ms + advice.each_ms * len(workers)) / 1000


def _calls_for(workers: int) -> int:
    return math.ceil(workers / ports.MAX_ADVISED_WORKERS)
