"""Starts that are stored before they are sent.

If a task may have crashed its worker, the next leader has to count a further crash.
"""

from __future__ import annotations

from marigoldgap.cell import job_tracker
from marigoldgap.cell import model
from marigoldgap.cell import runs
from marigoldgap.cell import session_listener
from marigoldgap.cell import worker_session


async def start(
    session: worker_session.WorkerSession,
    run: runs.Run,
    ticket: str,
    listener: session_listener.SessionListener,
    tracker: job_tracker.JobTracker,
) -> None:
    """Starts a run once its start is stored.

    It may be called again after an unexpected error.

    Args:
        session: Session with the worker of the run.
        run: The run.
        ticket: Ticket of the advice service; empty without one.
        listener: Knows what may start at present.
        tracker: Stores the start.
    """
    if run.is_sent:
        await session.start(run, ticket)
        return
    run.is_unstarted = True
    run.step.record_start(run.name, run.worker)
    tracker.store_task(run.step, run.name.task.position)
    await tracker.stored({run.step.job.job_id})
    if run.state is not runs.RunState.STARTING:
        return
    run.is_unstarted = False
    if run.worker.is_over_capacity:
        session.withdraw(run, model.StartOutcome.NO_ROOM)
    elif listener.exceeds_limit(run):
        session.withdraw(run, model.StartOutcome.OVER_LIMIT)
    elif listener.is_evacuated(run):
        session.withdraw(run, model.StartOutcome.EVACUATED)
    else:
        await session.start(run, ticket)
