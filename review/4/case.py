"""Workers crash, at different times, under a task that lasts."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness"))

import deployment as deployments  # noqa: E402

_WORKERS = 8
# Crashes of one worker of eight, each 12 s; it is down for 4.5 s.
_CRASHES = 4
_INTERVAL_S = 12.0
_DOWN_S = 4.5
_STEP = {"count": 1, "cpu": 4500, "memMb": 8000, "longRunning": True}
# A task that lasts may have nothing running for 6 s and 3 s more.
_MAX_GAP_S = 9.0


async def case(deployment, is_disturbed):
    job = deployments.new_job_id()
    if not await deployment.submit(job, {"spec": "lasts", "steps": [_STEP]}):
        raise deployments.CannotRunError("the job was not accepted")
    await asyncio.sleep(3.0)
    broken = []
    for number in range(_CRASHES):
        ends_s = time.monotonic() + _INTERVAL_S
        host = _host(deployment)
        if is_disturbed and host is not None:
            life = number + 1
            deployment.kill(host)
            await asyncio.sleep(_DOWN_S)
            machine = host.partition("-")[0]
            deployment.start_worker(f"{machine}-{life}", ["a", "r1-1"])
            deployment.note(machine, "started", life=life)
        while time.monotonic() < ends_s:
            await asyncio.sleep(1.0)
            state = await deployment.state(job)
            if state in ("failed", "cancelled", "gone", "completed"):
                broken.append(f"{job} is shown as {state}; nobody cancelled it")
        if broken:
            break
    starts = [e for e in deployment.worker_events() if e["what"] == "start"]
    deployment.note("case", "runs", runs=len(starts), last=starts[-1]["who"])
    if time.monotonic() - starts[-1]["t"] > _MAX_GAP_S and not _host(deployment):
        broken.append(f"{job} has nothing running for over {_MAX_GAP_S:g} s")
    return broken


def _host(deployment):
    """Returns the worker that runs the task now."""
    host = None
    for event in deployment.worker_events():
        if event["what"] == "start":
            host = event["who"]
        elif event["what"] in ("failed", "stopped", "lapsed", "done"):
            host = None
    return host if host and deployment.workers[host].poll() is None else None


if __name__ == "__main__":
    deployments.main(case, FOLDER, instances=4, workers=_WORKERS)
