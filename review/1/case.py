"""The instances restart in turn while jobs with occurrences are at work."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness"))

import deployment as deployments  # noqa: E402
import runs  # noqa: E402

_JOBS = 36
_INTERVAL_MS = 1_000
_OCCURRENCES = 35
_STEP = {"count": 2, "cpu": 1400, "memMb": 2900, "estimateMs": 600}
# Pause between an instance's start and the SIGTERM of the next one.
_GAP_S = 2.0


async def case(deployment, is_disturbed):
    first_ms = int(time.time() * 1000) + 1_500
    jobs = [deployments.new_job_id() for _ in range(_JOBS)]
    accepted = await asyncio.gather(
        *(
            deployment.submit(
                job,
                {
                    "spec": "ms=400-900",
                    "startAtMs": first_ms + number * _INTERVAL_MS // _JOBS,
                    "intervalMs": _INTERVAL_MS,
                    "repeats": _OCCURRENCES,
                    "steps": [_STEP],
                },
            )
            for number, job in enumerate(jobs)
        )
    )
    if not all(accepted):
        raise deployments.CannotRunError("a job was not accepted")
    await asyncio.sleep(9.0)
    if is_disturbed:
        await _restart_in_turn(deployment)
    else:
        await asyncio.sleep(20.0)
    await asyncio.sleep(16.0)
    for job in jobs:
        await deployment.state(job)
    found = runs.collect(deployment.worker_events(), deployment.events)
    total = sum(len(each) for each in found.values())
    deployment.note("case", "runs", tasks=len(found), runs=total)
    return runs.twice(found)


async def _restart_in_turn(deployment):
    """Restarts each instance once, the leader first."""
    waiting = set(deployment.instances)
    while waiting:
        leader = deployment.leader()
        name = leader if leader in waiting else min(waiting)
        waiting.remove(name)
        await deployment.terminate(name)
        deployment.start_instance(name)
        deployment.note(name, "started")
        await asyncio.sleep(_GAP_S)


if __name__ == "__main__":
    deployments.main(case, FOLDER, instances=4, workers=8)
