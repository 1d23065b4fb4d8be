"""Faults of workers."""

from __future__ import annotations

from bench import faults


@faults.fault("worker-kill")
async def worker_kill(context: faults.Context) -> None:
    """Kills a worker and starts it again as a new incarnation."""
    worker = context.claim_worker()
    if worker is None:
        return
    context.record(f"worker-kill {worker.worker_id}")
    controls = context.target.controls
    try:
        await controls.worker(worker, "kill")
        await context.pause(0.5, 15)
    finally:
        await controls.worker(worker, "restart")
        context.release(worker.worker_id)


@faults.fault("worker-leave")
async def worker_leave(context: faults.Context) -> None:
    """Marks a backend server as leaving and, after a while, as live again."""
    worker = context.claim_worker()
    if worker is None:
        return
    name = worker.worker_id
    context.record(f"worker-leave {name}")
    controls = context.target.controls
    try:
        await controls.worker(worker, "switches", {"leaving": True})
        await controls.list_instance(name, state="leaving")
        await context.pause(8, 20)
    finally:
        await controls.list_instance(name, state="live")
        await controls.worker(worker, "switches", {"leaving": False})
        context.release(name)


@faults.fault("worker-fails-all")
async def worker_fails_all(context: faults.Context) -> None:
    """Makes a worker fail every task that it starts."""
    worker = context.claim_worker()
    if worker is None:
        return
    context.record(f"worker-fails-all {worker.worker_id}")
    controls = context.target.controls
    try:
        await controls.worker(worker, "switches", {"fail_all": True})
        await context.pause(3, 15)
    finally:
        await controls.worker(worker, "switches", {"fail_all": False})
        context.release(worker.worker_id)
