"""A worker crashes and starts again under its id, as one of another kind."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness"))

import deployment as deployments  # noqa: E402

_WORKERS = 8
# Each time one worker of eight (a share of 0.125) is down for about half a
# second and comes back as one of the other kind.
_CRASHES = 18
_CHANGING = 6
_DOWN_S = 0.3
_INTERVAL_S = 3.0
# Tasks that need a worker of kind `a`; more of them wait than fit.
_STEP = {
    "count": 20,
    "cpu": 2000,
    "memMb": 2000,
    "estimateMs": 1500,
    "requiredLabel": "a",
}
_CLIENTS = 6


async def case(deployment, is_disturbed):
    ends_s = time.monotonic() + 4.0 + _CRASHES * _INTERVAL_S
    clients = [
        asyncio.create_task(_submit_until(deployment, ends_s))
        for _ in range(_CLIENTS)
    ]
    await asyncio.sleep(4.0)
    kinds = dict.fromkeys(range(_CHANGING), "a")
    for number in range(_CRASHES):
        await asyncio.sleep(_INTERVAL_S - _DOWN_S)
        if not is_disturbed:
            continue
        index = number % _CHANGING
        kinds[index] = "b" if kinds[index] == "a" else "a"
        machine = f"w{index}"
        deployment.kill(machine)
        await asyncio.sleep(_DOWN_S)
        # The same id on the same machine and in the same rack.
        deployment.start_worker(machine, [kinds[index], "r1-1"])
        deployment.note(machine, "started", kind=kinds[index])
    await asyncio.gather(*clients)
    await asyncio.sleep(3.0)
    lives, broken = {}, []
    for event in deployment.worker_events():
        place = event["who"], event["life"]
        if event["what"] == "up":
            lives[place] = event["labels"]
        elif event["what"] == "start" and "a" not in lives[place]:
            broken.append(
                f"{event['task']} needs a worker of kind a and was started on"
                f" {event['who']}, which has {lives[place]}"
            )
    return broken


async def _submit_until(deployment, ends_s):
    while time.monotonic() < ends_s:
        await deployment.submit(
            deployments.new_job_id(), {"spec": "ms=1500", "steps": [_STEP]}
        )
        await asyncio.sleep(0.4)


if __name__ == "__main__":
    deployments.main(case, FOLDER, instances=4, workers=_WORKERS)
