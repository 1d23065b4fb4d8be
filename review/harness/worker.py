"""Stand-in for a worker, by the section "Running tasks" of PROTOCOL.

A process of its own: `worker.py SETTINGS`, a JSON text. The payload of a job
says what its tasks do: `ms=200` (duration; `ms=200-900` spreads it over the
tasks), `save` (they checkpoint their progress), `lasts` (they run until they are
stopped). Each event is one line of the file `log`, with the monotonic time.
"""

import asyncio
import json
import os
import sys
import time

import http_peer

_MAX_LEASE_MS = 6_000
_MAX_WAIT_MS = 2_000
_ENDS_PER_ANSWER = 500
_HEARTBEAT_S = 1.5
_CHECKPOINT_S = 0.5
_STARTUP_S = 0.3
_STOP_S = 0.1
_CONNECTIONS = 64
_TICK_S = 0.02


class Worker:
    """One life of a worker."""

    def __init__(self, settings):
        self._settings = settings
        self._log = os.open(
            settings["log"], os.O_WRONLY | os.O_APPEND | os.O_CREAT
        )
        self._began_s = time.monotonic()
        self._born_ms = int(time.time() * 1000)
        self._fence = 0
        self._lease_until_ms = 0
        self._is_lapsed = True
        self._runs = {}
        self._ends = []
        self._end_count = 0
        # Highest run that was stopped or has ended, by task.
        self._closed = {}
        # Requests with a higher fence get no answer until this time: the path
        # to the machine that sends them is cut.
        self._cut_above = float("inf")
        self._cut_until_s = 0.0
        self._changed = asyncio.Event()
        self._server = http_peer.HttpServer(self._handle, _CONNECTIONS)

    async def run(self):
        await self._server.start(self._settings["address"])
        self._write("up", labels=self._settings["labels"])
        beats = asyncio.create_task(self._send_heartbeats())
        while True:
            await asyncio.sleep(_TICK_S)
            if beats.done():
                beats.result()
            self._advance()

    async def _send_heartbeats(self):
        settings = self._settings
        entry = {
            "service": settings["service"],
            "address": settings["address"],
            "zone": settings["zone"],
            "version": "1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": settings["capacity"],
            "labels": settings["labels"],
            "born": self._born_ms,
        }
        while True:
            await http_peer.call(
                settings["registry"],
                "PUT",
                "/entry/" + settings["id"],
                entry,
                timeout_s=1.0,
            )
            await asyncio.sleep(_HEARTBEAT_S)

    @property
    def _clock_ms(self):
        return int((time.monotonic() - self._began_s) * 1000)

    def _advance(self):
        """Ends the runs that are complete, and all after the lease."""
        now = time.monotonic()
        lease_end_s = self._began_s + self._lease_until_ms / 1000
        if now > lease_end_s and not self._is_lapsed:
            self._is_lapsed = True
            self._write("lease_lapsed")
        for task, each in list(self._runs.items()):
            if each["stop_s"] <= now:
                self._end(task, "stopped")
            elif each["due_s"] <= min(now, lease_end_s):
                self._end(task, "done")
            elif now > lease_end_s:
                self._end(task, "lapsed")

    def _end(self, task, how):
        each = self._runs.pop(task)
        run = each["run"]
        self._closed[task] = max(run, self._closed.get(task, 0))
        self._end_count += 1
        saved = "" if how == "done" else self._saved(task, each)
        self._ends.append([self._end_count, task, run, how, saved])
        self._write(how, task=task, run=run, number=self._end_count)
        self._changed.set()
        self._changed = asyncio.Event()

    def _saved(self, task, each):
        if "save" not in each["spec"].split():
            return ""
        count = int((time.monotonic() - each["since_s"]) / _CHECKPOINT_S)
        return f"{count:05x}{task[:11]}" if count else each["saved"]

    async def _handle(self, method, path, headers, body):
        if headers.get("x-expect-instance") not in (None, self._settings["id"]):
            return 421, None
        fields = json.loads(body)
        if path == "/standin/cut":
            self._cut_above = fields["above"]
            self._cut_until_s = time.monotonic() + fields["for_s"]
            self._write("cut", **fields)
            return 200, None
        fence = fields.get("fence", 0)
        if fence > self._cut_above and time.monotonic() < self._cut_until_s:
            await asyncio.sleep(30)
            return None
        if fence < self._fence:
            return self._answer(409, reason="fence")
        self._fence = fence
        self._advance()
        if path == "/v1/run-start":
            return self._start(fields)
        if path == "/v1/run-stop":
            return self._stop(fields)
        if path == "/v1/hold":
            return await self._hold(fields)
        return 404, None

    def _extend(self, until_ms):
        until_ms = min(until_ms, self._clock_ms + _MAX_LEASE_MS)
        self._lease_until_ms = max(self._lease_until_ms, until_ms)
        self._is_lapsed = self._lease_until_ms < self._clock_ms

    def _start(self, fields):
        task, run, spec = fields["task"], fields["run"], fields["spec"]
        if fields["untilMs"] <= self._clock_ms:
            return self._answer(409, reason="late")
        if task in self._runs and self._runs[task]["run"] == run:
            self._extend(fields["untilMs"])
            return self._answer(200)
        self._extend(fields["untilMs"])
        if run <= self._closed.get(task, 0) or task in self._runs:
            return self._answer(409, reason="old")
        now = time.monotonic()
        words = dict(
            word.split("=") for word in spec.split() if "=" in word
        )
        lasts = "lasts" in spec.split()
        due_s = float("inf") if lasts else now + _duration_s(task, words["ms"])
        self._runs[task] = {
            "run": run,
            "spec": spec,
            "saved": fields.get("saved", ""),
            "since_s": now,
            "due_s": due_s,
            "stop_s": float("inf"),
        }
        self._write(
            "start", task=task, run=run, fence=self._fence, spec=spec
        )
        return self._answer(200)

    def _stop(self, fields):
        task, run = fields["task"], fields["run"]
        self._closed[task] = max(run, self._closed.get(task, 0))
        if task in self._runs and self._runs[task]["run"] == run:
            stop_s = time.monotonic() + _STOP_S
            self._runs[task]["stop_s"] = min(
                stop_s, self._runs[task]["stop_s"]
            )
        return self._answer(200)

    async def _hold(self, fields):
        seen = fields.get("lastSeen", 0)
        for number, task, run, how, _ in self._ends:
            if number <= seen:
                self._write("noted", task=task, run=run, how=how)
        self._ends = [each for each in self._ends if each[0] > seen]
        if "untilMs" in fields:
            self._extend(fields["untilMs"])
        wait_s = min(fields.get("waitMs", 0), _MAX_WAIT_MS) / 1000
        if wait_s and not self._ends:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
        running = [
            [
                task,
                each["run"],
                self._saved(task, each),
                self._percent(each),
                0,
            ]
            for task, each in self._runs.items()
        ]
        return self._answer(
            200,
            running=running,
            ended=self._ends[:_ENDS_PER_ANSWER],
            born=self._born_ms,
        )

    def _percent(self, each):
        age_s = time.monotonic() - each["since_s"]
        if each["due_s"] == float("inf"):
            return 100 if age_s >= _STARTUP_S else 0
        return min(99, int(100 * age_s / (each["due_s"] - each["since_s"])))

    def _answer(self, status, **fields):
        return status, {"clockMs": self._clock_ms, **fields}

    def _write(self, what, **fields):
        line = {
            "t": time.monotonic(),
            "who": self._settings["id"],
            "life": self._born_ms,
            "what": what,
            **fields,
        }
        os.write(self._log, (json.dumps(line) + "\n").encode())


def _duration_s(task, text):
    """Returns the duration of a task, spread evenly by its position."""
    low, _, high = text.partition("-")
    if not high:
        return int(low) / 1000
    share = int(task.rpartition(".")[2]) * 0.618034 % 1
    return (int(low) + share * (int(high) - int(low))) / 1000


if __name__ == "__main__":
    asyncio.run(Worker(json.loads(sys.argv[1])).run())
