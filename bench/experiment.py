"""Runs a deployment under load and faults and computes the verdict."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import json
import pathlib
import random
import signal
import time
from typing import Any
from typing import NamedTuple

from bench import checker
from bench import cluster
from bench import collector
from bench import faults
from bench import layouts
from bench import load
from bench import observations
from marigoldgap import clock

RUNS = pathlib.Path(".run")
_LAST_RECORDS_WAIT_S = 1.0
# A changed limit or new configuration must be in force everywhere by then.
_IN_FORCE_WAIT_S = 10.0


class Plan(NamedTuple):
    """Parameters of a run.

    Attributes:
        faults: Names of the faults to inject.
        duration_s: How long work is sent.
        program: Interpreter arguments that start an entry instance; see
            cluster.Cluster.
    """

    name: str
    layout: layouts.Layout
    seed: int
    duration_s: float
    faults: list[str]
    rates: load.Rates = load.Rates()
    program: tuple[str, ...] = cluster.PROGRAM


class Progress(NamedTuple):
    """State of a run in progress."""

    plan: Plan
    load: load.Load
    collected: collector.Collector
    context: faults.Context


Show = Callable[[Progress], None]


class Result(NamedTuple):
    """Outcome of a run."""

    verdict: checker.Verdict
    run: observations.Observations
    directory: pathlib.Path


def execute(
    plan: Plan, print_line: Callable[[str], None], show: Show
) -> Result:
    """Performs a run and always ends all of its processes.

    Args:
        plan: Parameters of the run.
        print_line: Called with a line at the begin of each phase.
        show: Called twice a second while work is sent.
    """
    directory = _new_directory(plan)
    target = cluster.Cluster(plan.layout, directory, plan.program)
    try:
        return asyncio.run(_run(plan, target, directory, print_line, show))
    finally:
        target.kill_all()


def latest_directory() -> pathlib.Path | None:
    """Returns the directory of the latest finished run, or None."""
    found = sorted(RUNS.glob("*/verdict.json"), key=_modified)
    return found[-1].parent if found else None


async def _run(
    plan: Plan,
    target: cluster.Cluster,
    directory: pathlib.Path,
    print_line: Callable[[str], None],
    show: Show,
) -> Result:
    """Starts the deployment, applies load and faults, computes the verdict."""
    _cancel_on_termination()
    try:
        print_line(f"starting {plan.layout.name} in {directory}")
        await target.start()
        print_line("sending work")
        run = await _measure(plan, target, directory, print_line, show)
        print_line("stopping gracefully")
        await target.stop_entries()
        run = run._replace(
            stops=list(target.stops),
            interruptions=await target.controls.interruptions(),
        )
    finally:
        await target.close()
    verdict = checker.check_run(run)
    _write_results(directory, plan, run, verdict)
    return Result(verdict, run, directory)


async def _measure(
    plan: Plan,
    target: cluster.Cluster,
    directory: pathlib.Path,
    print_line: Callable[[str], None],
    show: Show,
) -> observations.Observations:
    """Sends work, injects faults and waits until all work has ended."""
    collected = collector.Collector(target, directory / "samples.jsonl")
    work = load.Load(target, collected, plan.seed, plan.rates)
    context = faults.Context(
        target, work.jobs, random.Random(f"{plan.seed}-faults")
    )
    progress = Progress(plan, work, collected, context)
    background = [
        asyncio.create_task(collected.run()),
        asyncio.create_task(_show_periodically(progress, show)),
    ]
    try:
        await asyncio.gather(
            work.run(plan.duration_s),
            faults.run(context, plan.faults, plan.duration_s),
        )
        print_line("waiting for the last answers and jobs")
        await work.settle()
        if context.history:
            await asyncio.sleep(_IN_FORCE_WAIT_S)
        await asyncio.sleep(_LAST_RECORDS_WAIT_S)
    finally:
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
    await collected.poll()
    history = [{"at_ms": at, "fault": line} for at, line in context.history]
    _write(directory / "faults.jsonl", history)
    return _collect_observations(plan, target, progress)


def _collect_observations(
    plan: Plan, target: cluster.Cluster, progress: Progress
) -> observations.Observations:
    """Returns the observations up to the stop of the entry instances."""
    context = progress.context
    collected = progress.collected
    return observations.Observations(
        layout=plan.layout,
        records=collected.sorted_records(),
        submissions=progress.load.caller.submissions,
        jobs=progress.load.jobs.accepted,
        limits=context.limits,
        withdrawals=context.withdrawals,
        disturbances=context.disturbances,
        versions_seen=collected.versions_seen,
        versions_accepted=target.operator.accepted,
        link_bytes=sum(collected.link_bytes.values()),
        from_ms=progress.load.from_ms,
        to_ms=clock.monotonic_ms(),
    )


async def _show_periodically(progress: Progress, show: Show) -> None:
    """Shows the progress twice a second until cancelled."""
    while True:
        show(progress)
        await asyncio.sleep(0.5)


def _cancel_on_termination() -> None:
    """Makes SIGTERM cancel the run so that it cleans up, as with SIGINT."""
    task = asyncio.current_task()
    if task is not None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)


def _new_directory(plan: Plan) -> pathlib.Path:
    """Creates the directory of a run."""
    name = f"{time.strftime('%Y%m%d-%H%M%S')}-{plan.name}-{plan.seed}"
    directory = RUNS / name
    number = 1
    while directory.exists():
        number += 1
        directory = RUNS / f"{name}-{number}"
    directory.mkdir(parents=True)
    return directory


def _write_results(
    directory: pathlib.Path,
    plan: Plan,
    run: observations.Observations,
    verdict: checker.Verdict,
) -> None:
    """Writes the verdict and the observations that it is computed from."""
    summary = {
        "name": plan.name,
        "layout": plan.layout.name,
        "seed": plan.seed,
        "duration_s": plan.duration_s,
        "faults": plan.faults,
        "fields": verdict.fields,
        "violations": verdict.violations,
    }
    _write(directory / "verdict.json", [summary], indent=1)
    _write(directory / "records.jsonl", run.records)
    for name in (
        "submissions",
        "jobs",
        "stops",
        "limits",
        "withdrawals",
        "disturbances",
    ):
        rows = [row._asdict() for row in getattr(run, name)]
        _write(directory / f"{name}.jsonl", rows)


def _write(path: pathlib.Path, rows: Any, indent: int | None = None) -> None:
    """Writes JSON values, each followed by a line break."""
    with path.open("w", encoding="utf-8") as file:
        for row in rows:
            file.write(json.dumps(row, indent=indent) + "\n")


def _modified(path: pathlib.Path) -> float:
    """Returns the modification time of a file in seconds."""
    return path.stat().st_mtime
