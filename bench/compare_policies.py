"""Compares round robin, first fit and the policies of marigoldgap.

This is a discrete-event simulation of the scheduling decisions only, without
network, leases and faults.
"""

from __future__ import annotations

import argparse
from collections.abc import Sequence
import heapq
import itertools
from typing import NamedTuple

from bench import policy_load
from bench import policy_schedulers
from marigoldgap import clock
from marigoldgap.scheduling import model
from marigoldgap.scheduling import resources
from marigoldgap.scheduling import shares

_SAMPLE_MS = 500


class Waiting(NamedTuple):
    """Waiting times of one kind of work, in milliseconds."""

    tasks: int
    p50_ms: int
    p99_ms: int


class PolicyResult(NamedTuple):
    """Result of one scheduler under one load.

    Attributes:
        waiting: Waiting times by kind; tasks that never started count with
            their time up to the end of the load.
        late: Tasks that ended, or would end, after their deadline.
        packing: Used fraction of the slots of workers that run any task, as
            the mean over time. Workers without tasks are free for large tasks.
        share_distance: Fraction of the capacity that teams use above their
            weighted max-min targets, as the mean over time.
    """

    scheduler: str
    layout: str
    seed: int
    waiting: dict[str, Waiting]
    late: int
    packing: float
    share_distance: float


class _Run:
    """Simulation of one scheduler under one load."""

    def __init__(
        self,
        layout: policy_load.Layout,
        scheduler: policy_schedulers.Scheduler,
        load: Sequence[policy_load.Arrival],
    ) -> None:
        self._layout = layout
        self._scheduler = scheduler
        self._load = load
        self._arrivals = {arrival.task.task_id: arrival for arrival in load}
        self._ends: list[tuple[int, int, model.TaskSpec, str]] = []
        self._numbers = itertools.count()
        self._waiting: dict[str, model.TaskSpec] = {}
        self._used = {team.name: resources.NONE for team in layout.teams}
        self._demand = dict(self._used)
        self._slots: dict[str, int] = {}
        self._total = resources.scale(policy_load.CAPACITY, policy_load.WORKERS)
        self.waits: dict[str, list[int]] = {}
        self.late = 0
        self.packing: list[float] = []
        self.distance: list[float] = []

    def run(self, end_ms: int) -> None:
        """Runs the load; tasks that still wait count with their time so far."""
        position = 0
        for sample_ms in range(_SAMPLE_MS, end_ms + 1, _SAMPLE_MS):
            while True:
                arrival_ms = (
                    self._load[position].at_ms
                    if position < len(self._load)
                    else end_ms + 1
                )
                finish_ms = self._ends[0][0] if self._ends else end_ms + 1
                now_ms = min(arrival_ms, finish_ms)
                if now_ms > sample_ms:
                    break
                if finish_ms <= arrival_ms:
                    self._finish()
                else:
                    self._arrive(self._load[position])
                    position += 1
                self._start_all(now_ms)
            self._sample()
        for task in self._waiting.values():
            self._record_start(task, end_ms)

    def _arrive(self, arrival: policy_load.Arrival) -> None:
        task = arrival.task
        self._waiting[task.task_id] = task
        self._demand[task.team] = resources.add(
            self._demand[task.team], task.resources
        )
        self._scheduler.submit(task, arrival.at_ms)

    def _start_all(self, now_ms: int) -> None:
        while True:
            started = self._scheduler.start_next(now_ms)
            if started is None:
                return
            task, worker_id = started
            del self._waiting[task.task_id]
            self._record_start(task, now_ms)
            self._change_usage(task, worker_id, 1)
            run_ms = self._arrivals[task.task_id].run_ms
            entry = (now_ms + run_ms, next(self._numbers), task, worker_id)
            heapq.heappush(self._ends, entry)

    def _finish(self) -> None:
        _, _, task, worker_id = heapq.heappop(self._ends)
        self._change_usage(task, worker_id, -1)
        self._demand[task.team] = resources.subtract(
            self._demand[task.team], task.resources
        )
        self._scheduler.finish(task, worker_id)

    def _change_usage(
        self, task: model.TaskSpec, worker_id: str, sign: int
    ) -> None:
        size = resources.scale(task.resources, sign)
        self._used[task.team] = resources.add(self._used[task.team], size)
        self._slots[worker_id] = self._slots.get(worker_id, 0) + size.slots

    def _record_start(self, task: model.TaskSpec, start_ms: int) -> None:
        arrival = self._arrivals[task.task_id]
        waits = self.waits.setdefault(task.kind, [])
        waits.append(start_ms - arrival.at_ms)
        if task.deadline_ms is not None:
            self.late += start_ms + arrival.run_ms > task.deadline_ms

    def _sample(self) -> None:
        busy = [slots for slots in self._slots.values() if slots]
        if busy:
            whole = len(busy) * policy_load.CAPACITY.slots
            self.packing.append(sum(busy) / whole)
        usage = shares.dominant_usage(self._used, self._total)
        demands = shares.dominant_usage(self._demand, self._total)
        weights = {team.name: team.share for team in self._layout.teams}
        # The targets divide the capacity in use, so that the distance depends
        # only on which team uses it and not on how much of it is idle.
        targets = shares.max_min_targets(sum(usage.values()), weights, demands)
        self.distance.append(shares.distance_to_targets(usage, targets))


def _percentile(values: Sequence[int], fraction: float) -> int:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def compare(
    layout_name: str, seed: int = 1, duration_s: int = 120
) -> list[PolicyResult]:
    """Runs every scheduler under the same load.

    Args:
        layout_name: `quetzal` or `cordero`.
        seed: Selects the load; equal seeds give equal results.
        duration_s: Length of the load in simulated time.
    """
    layout = policy_load.find(layout_name)
    load = policy_load.arrivals(layout, seed, duration_s)
    results = []
    for name, factory in policy_schedulers.SCHEDULERS.items():
        run = _Run(layout, factory(layout), load)
        run.run(duration_s * clock.MILLISECONDS_PER_SECOND)
        waiting = {
            kind: Waiting(
                len(waits), _percentile(waits, 0.5), _percentile(waits, 0.99)
            )
            for kind, waits in sorted(run.waits.items())
        }
        results.append(
            PolicyResult(
                name,
                layout_name,
                seed,
                waiting,
                run.late,
                _mean(run.packing),
                _mean(run.distance),
            )
        )
    return results


def format_results(results: Sequence[PolicyResult]) -> str:
    """Returns the results as a plain-text table."""
    lines = [
        f"{'layout':8} {'scheduler':12} {'kind':8} {'tasks':>7}"
        f" {'wait p50':>9} {'wait p99':>9} {'late':>5}"
        f" {'packing':>8} {'share distance':>15}"
    ]
    for result in results:
        for kind, waiting in result.waiting.items():
            lines.append(
                f"{result.layout:8} {result.scheduler:12} {kind:8}"
                f" {waiting.tasks:7} {waiting.p50_ms:6} ms"
                f" {waiting.p99_ms:6} ms {result.late:5}"
                f" {result.packing:8.3f} {result.share_distance:15.4f}"
            )
    return "\n".join(lines)


def main(arguments: Sequence[str] | None = None) -> None:
    """Prints the comparison for one layout or for all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--layout", choices=sorted(policy_load.LAYOUTS))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration", type=int, default=120, help="seconds")
    options = parser.parse_args(arguments)
    names = [options.layout] if options.layout else list(policy_load.LAYOUTS)
    for name in names:
        results = compare(name, options.seed, options.duration)
        print(format_results(results))


if __name__ == "__main__":
    main()
