"""Quarantines workers that fail every task, and probes them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random

from marigoldgap import logs
from marigoldgap.dispatch import acceptance_gate
from marigoldgap.rules import model as rules_model
from marigoldgap.scheduling import quarantine

_logger = logs.PartLogger("dispatch")

_PROBE_CHECK_INTERVAL_S = 0.25
_MILLISECONDS_PER_SECOND = 1_000

QuarantineObserver = Callable[[str, bool], None]


class WorkerQuarantine:
    """Applies the decisions of the quarantine tracker to the owned workers.

    A worker in quarantine gets one task when a probe is due, and no other task
    until the probe has ended.

    Args:
        gate: Blocks new work on the workers in quarantine.
        now_ms: Monotonic clock in milliseconds.
        rule: When a worker is quarantined and how often it is probed.
    """

    def __init__(
        self,
        gate: acceptance_gate.AcceptanceGate,
        now_ms: Callable[[], int],
        rule: rules_model.QuarantineRule | None = None,
    ) -> None:
        self._gate = gate
        self._now_ms = now_ms
        self._rule = rule or rules_model.QuarantineRule()
        self._tracker = _create_tracker(self._rule)
        self._awaiting_probe: set[str] = set()
        self._probes: dict[str, str] = {}
        self._observers: list[QuarantineObserver] = []

    @property
    def workers(self) -> frozenset[str]:
        """The workers in quarantine."""
        return self._tracker.quarantined()

    def add_observer(self, observer: QuarantineObserver) -> None:
        """Adds a callback for changes.

        It gets the worker and whether it is in quarantine now.
        """
        self._observers.append(observer)

    def set_rule(self, rule: rules_model.QuarantineRule) -> None:
        """Adopts a rule; a changed rule resets the state of all workers."""
        if rule == self._rule:
            return
        released = self._tracker.quarantined()
        self._rule = rule
        self._tracker = _create_tracker(rule)
        self._awaiting_probe.clear()
        self._probes.clear()
        for worker_id in released:
            self._set_quarantined(worker_id, False)

    def task_placed(self, worker_id: str, task_id: str) -> None:
        """Records a placement.

        The first one on a worker whose probe is due is the probe.
        """
        if worker_id not in self._awaiting_probe:
            return
        self._awaiting_probe.discard(worker_id)
        self._probes[worker_id] = task_id
        self._tracker.probe_started(worker_id)
        self._gate.set_quarantined(worker_id, True)

    def task_ended(self, worker_id: str, job_id: str, failed: bool) -> None:
        """Records how a task ended.

        Args:
            worker_id: The worker that ran it.
            job_id: Its job; requests of one team and queue count as one job.
            failed: Whether the task itself failed.
        """
        if not failed:
            if self._tracker.succeeded(worker_id, job_id):
                self._set_quarantined(worker_id, False)
            return
        verdict = self._tracker.failed(worker_id, job_id, self._now_ms())
        if verdict.worker_quarantined:
            self._set_quarantined(worker_id, True)
        for released in verdict.released_workers:
            self._set_quarantined(released, False)

    def task_released(self, worker_id: str, task_id: str) -> None:
        """Ends a probe whose task is not counted any more.

        A probe without a result is repeated after the usual interval.
        """
        if self._probes.get(worker_id) != task_id:
            return
        del self._probes[worker_id]
        self._tracker.probe_abandoned(worker_id, self._now_ms())

    def worker_restarted(self, worker_id: str) -> None:
        """Discards the failures of the worker's earlier process."""
        was_quarantined = self._tracker.is_quarantined(worker_id)
        self._tracker.forget_worker(worker_id)
        self._probes.pop(worker_id, None)
        if was_quarantined:
            self._set_quarantined(worker_id, False)

    def open_due_probes(self) -> None:
        """Allows one task on each worker whose probe is due."""
        now_ms = self._now_ms()
        for worker_id in self._tracker.quarantined() - self._awaiting_probe:
            if self._tracker.probe_due(worker_id, now_ms):
                self._awaiting_probe.add(worker_id)
                self._gate.set_quarantined(worker_id, False)

    async def run(self) -> None:
        """Opens due probes periodically; never returns."""
        while True:
            await asyncio.sleep(_PROBE_CHECK_INTERVAL_S)
            self.open_due_probes()

    def _set_quarantined(self, worker_id: str, quarantined: bool) -> None:
        _logger.warning(
            "worker %s %s quarantine",
            worker_id,
            "enters" if quarantined else "leaves",
        )
        self._awaiting_probe.discard(worker_id)
        self._gate.set_quarantined(worker_id, quarantined)
        for observer in self._observers:
            observer(worker_id, quarantined)


def _create_tracker(
    rule: rules_model.QuarantineRule,
) -> quarantine.QuarantineTracker:
    return quarantine.QuarantineTracker(
        rule.after, rule.probe_s * _MILLISECONDS_PER_SECOND, random.random
    )
