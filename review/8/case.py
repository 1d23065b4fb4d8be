"""An entry of another writer under a key that is no Latin-1 text."""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "6"))
import bed as beds

STEP = {"count": 2, "cpu": 1000, "memMb": 64, "estimateMs": 500}


async def scenario(bed: beds.Bed) -> list[str]:
    await bed.begin(instances=4, workers=5)
    first = beds.new_id()
    await bed.submit(bed.instances[0], first, [STEP])
    await asyncio.sleep(3)
    assert (await bed.state(bed.instances[1], first))[1] == "completed"

    # A program of another team listens; it is no worker of this system.
    async def other_program(method, target, headers, body):
        bed.record.add(f"the other program gets {method} {target}")
        return 404, {}

    other = beds.Http(other_program, beds.free_port())
    await other.start()
    if beds.TROUBLE:
        entry = {
            "service": "another-service", "address": f"{beds.ADDRESS}:{other.port}",
            "zone": "centro-a", "version": "v1", "slots": 8, "state": "ready",
            "coldRemainingMs": 0, "seq": 1, "labels": ["a", "r9-1"],
            "capacity": {"cpu": 16000, "memMb": 65536, "gpu": 0},
            "born": int(time.time() * 1000),
        }  # fmt: skip
        bed.store.put("servers", "expediente-№7", json.dumps(entry).encode())
        bed.record.add("another writer puts the entry servers/expediente-№7")
    await asyncio.sleep(2)
    accepted = []
    for number in range(10):
        job_id = beds.new_id()
        status, _ = await bed.submit(bed.instances[number % 4], job_id, [STEP])
        if status == 200:
            accepted.append(job_id)
        await asyncio.sleep(0.5)
    assert accepted
    # finish_s after the end of the traffic, and 3 s more.
    await asyncio.sleep(beds.BOUNDS["finish_s"])
    broken = []
    started = bed.record.now()
    while bed.record.now() - started < 3:
        await asyncio.sleep(0.5)
    for job_id in accepted:
        status, state = await bed.state(bed.instances[0], job_id)
        if not bed.starts(job_id):
            broken.append(
                f"LOST: accepted job {job_id} has had no run for 17 s, with"
                f" capacity for it; it is shown as {state or status}"
            )
    other.close()
    return broken


sys.exit(beds.main(scenario, pathlib.Path(__file__).parent))
