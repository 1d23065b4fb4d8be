"""A worker crashes while a start is pending, and is cut off once it is back."""

import asyncio
import pathlib
import time

import deployment

_JOB = "5c0e7a21d94b36f8"
_PATH = f"/salas/{_JOB}"
_WORKER = "w0"
# Times after the crash: of the submission, and of the start of the next life.
_SUBMIT_S = 0.1
_RESTART_S = 1.0
# Time that the next life needs until it listens.
_LISTENS_S = 0.3
# Time from the start of the task until the cut, and the site's dose of it.
_CUT_AFTER_S = 0.1
_CUT_S = 5.5
_WATCH_S = 18.0


async def _wait_for_renewal(link):
    """Waits until the leader has just sent a request to the worker."""
    until_s = time.monotonic() + 10
    while time.monotonic() - link.forwarded_s > 0.1:
        if time.monotonic() > until_s:
            raise deployment.CannotRunError("the worker is not called")
        await asyncio.sleep(0.01)


def _find_overlap(lines):
    """Returns two runs of one task that ran at the same time, or None."""
    running = {}
    for line in lines:
        if line["what"] in ("crashed", "up"):
            for key in [key for key in running if key[0] == line["worker"]]:
                del running[key]
        elif line["what"] == "started":
            for (worker, task, run), since_s in running.items():
                if task == line["task"]:
                    return worker, run, since_s, line
            key = line["worker"], line["task"], line["run"]
            running[key] = line["t"]
        elif line["what"] in ("done", "failed", "stopped", "lapsed"):
            running.pop((line["worker"], line["task"], line["run"]), None)
    return None


async def play(world, has_trouble):
    link = world.links[_WORKER]
    await _wait_for_renewal(link)
    began_s = time.monotonic()
    if has_trouble:
        link.darken()
        world.kill_worker(_WORKER)
    await asyncio.sleep(began_s + _SUBMIT_S - time.monotonic())
    job = {
        "spec": "ms=12000",
        "steps": [
            {"count": 1, "cpu": 1000, "memMb": 1024, "estimateMs": 12000}
        ],
    }
    status, _ = await world.request("POST", _PATH, job)
    if status != 200:
        raise deployment.CannotRunError("the job was not accepted")
    await asyncio.sleep(began_s + _RESTART_S - time.monotonic())
    if has_trouble:
        world.start_worker(_WORKER)
        await asyncio.sleep(_LISTENS_S)
        link.light()
    until_s = time.monotonic() + 5
    while not world.current_runs(_JOB):
        if time.monotonic() > until_s:
            raise deployment.CannotRunError("the task was not started")
        await asyncio.sleep(0.02)
    if world.current_runs(_JOB)[0][2] != _WORKER:
        raise deployment.CannotRunError("the task runs on another worker")
    await asyncio.sleep(_CUT_AFTER_S)
    if has_trouble:
        world.note("cut", worker=_WORKER)
        link.darken()
        await asyncio.sleep(_CUT_S)
        link.light()
        world.note("cut_ended", worker=_WORKER)
    await asyncio.sleep(_WATCH_S - _CUT_S)
    overlap = _find_overlap(world.runs())
    if overlap is None:
        return ""
    worker, run, since_s, line = overlap
    return (
        f"{line['task']} run {line['run']} was started on {line['worker']} while"
        f" run {run} ran on {worker}, for {line['t'] - since_s:.1f} s by then"
    )


deployment.main(play, pathlib.Path(__file__).parent, has_links=True)
