"""A job is cancelled after a submission whose outcome is not known."""

import asyncio
import pathlib
import time

import deployment

_JOB = "5c0e7a21d94b36f8"
_PATH = f"/salas/{_JOB}"
# The site's dose of platform_lost: for so long, so large a share of the writes.
_LOSSY_S = 4.5
_MAX_SHARE = 0.35
# Time in it at which the job is submitted; the submission takes 1.35 s.
_SUBMIT_S = 3.0
# Lost writes are done 1 to 6 s later.
_LATE_S = 6.0
_WATCH_S = 12.0


async def play(world, has_trouble):
    store = world.store
    began_s = time.monotonic()
    world.note("lossy", until_s=round(_LOSSY_S, 1))
    await asyncio.sleep(_SUBMIT_S)
    if has_trouble:
        store.late_writes["jobs"] = [_LATE_S] * 20
    job = {
        "spec": "ms=8000",
        "steps": [
            {"count": 1, "cpu": 2000, "memMb": 1024, "estimateMs": 8000}
        ],
    }
    submitted, _ = await world.request("POST", _PATH, job)
    cancelled, _ = await world.request("DELETE", _PATH, instance="e1")
    cancelled_s = time.monotonic()
    left_s = began_s + _LOSSY_S - cancelled_s
    if left_s < 0:
        raise deployment.CannotRunError("the submission took too long")
    await asyncio.sleep(left_s)
    store.late_writes.clear()
    lost = len(store.lost_s)
    answered = sum(each >= began_s for each in store.answered_s)
    share = lost / (lost + answered)
    calm_s = max(store.lost_s, default=began_s)
    world.note("lossy_ended", lost=lost, answered=answered, share=share)
    if share > _MAX_SHARE:
        raise deployment.CannotRunError(f"a share of {share:.2f} was lost")
    await asyncio.sleep(_WATCH_S)
    if cancelled not in (200, 410):
        raise deployment.CannotRunError("the cancelling was not acknowledged")
    bounds = deployment.BOUNDS
    allowed_s = cancelled_s + bounds["cancel_ms"] / 1000
    in_touch_s = calm_s + bounds["stableWindowMs"] / 1000
    late = [
        line
        for line in world.runs()
        if line["what"] == "started" and line["t"] > max(allowed_s, in_touch_s)
    ]
    if late:
        return (
            f"the submission got {submitted}, its cancelling {cancelled};"
            f" {late[0]['task']} was started"
            f" {late[0]['t'] - cancelled_s:.1f} s after that, and"
            f" {late[0]['t'] - calm_s:.1f} s after the last lost answer"
        )
    return ""


deployment.main(play, pathlib.Path(__file__).parent)
