"""Stand-in for a worker: a process that runs tasks as the pages say.

Started as `python3 workerstandin.py SETTINGS`, a JSON file. Words of the spec
decide how a task runs: `ms=N` is its duration, `lasts` never ends, `fails` ends
as failed. Each begin and end of a run is a line of its log.
"""

import asyncio
import json
import pathlib
import sys
import time

import httpwire

_MAX_LEASE_MS = 6_000
_LISTED_ENDS = 500


class Worker:
    """One life of a worker.

    Args:
        settings: `id`, `host`, `port`, `publicPort` (registered), `log`, `control` (where it registers),
            `capacity`, `labels`, `service`, `zone`, `stopMs`, `heartbeatS`.
    """

    def __init__(self, settings):
        self._settings = settings
        self._id = settings["id"]
        self._born_ms = int(time.time() * 1000)
        self._born_s = time.monotonic()
        self._running = {}
        self._ended = []
        self._last_end = 0
        self._refused = {}
        self._fence = 0
        self._lease_until_ms = 0
        self._seq = 0
        self._changed = asyncio.Event()
        self._log = pathlib.Path(settings["log"]).open("a", buffering=1)
        self._server = httpwire.Server(self._handle)

    async def run(self):
        await self._server.start(
            self._settings["host"], self._settings["port"]
        )
        self._record("up")
        await asyncio.gather(self._register(), self._watch())

    def _record(self, what, task="", run=0, **more):
        line = {
            "t": round(time.monotonic(), 3),
            "worker": self._id,
            "what": what,
            "task": task,
            "run": run,
            **more,
        }
        self._log.write(json.dumps(line) + "\n")

    async def _register(self):
        while True:
            self._seq += 1
            entry = {
                "service": self._settings["service"],
                "address": (
                    f"{self._settings['host']}:{self._settings['publicPort']}"
                ),
                "zone": self._settings["zone"],
                "version": "1",
                "slots": 8,
                "state": "ready",
                "capacity": self._settings["capacity"],
                "labels": self._settings["labels"],
                "born": self._born_ms,
                "seq": self._seq,
                "clockMs": self._clock_ms(),
            }
            try:
                await httpwire.call(
                    self._settings["control"],
                    "POST",
                    f"/register/{self._id}",
                    entry,
                )
            except httpwire.HttpError:
                pass
            await asyncio.sleep(self._settings["heartbeatS"])

    def _clock_ms(self):
        return int((time.monotonic() - self._born_s) * 1000)

    async def _watch(self):
        """Ends runs that are complete, and all when the lease has expired."""
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            expired = self._clock_ms() > self._lease_until_ms
            for name, run in list(self._running.items()):
                if run["stop_at"] is not None and now >= run["stop_at"]:
                    self._end(name, "stopped")
                elif expired:
                    self._end(name, "lapsed")
                elif run["due"] is not None and now >= run["due"]:
                    self._end(name, "failed" if run["fails"] else "done")

    def _end(self, name, how):
        run = self._running.pop(name)
        self._refused[name] = max(run["run"], self._refused.get(name, 0))
        self._last_end += 1
        self._ended.append([self._last_end, name, run["run"], how, ""])
        self._record(how, name, run["run"])
        self._changed.set()
        self._changed = asyncio.Event()

    def _answer(self, status, body):
        return status, {**body, "clockMs": self._clock_ms()}

    async def _handle(self, method, path, headers, body):
        if path == "/health":
            return 200, {}
        if headers.get("x-expect-instance", self._id) != self._id:
            return 421, {}
        fields = json.loads(body)
        if fields.get("fence", 0) < self._fence:
            return self._answer(409, {"reason": "fence"})
        self._fence = fields.get("fence", 0)
        until_ms = min(
            fields.get("untilMs", 0), self._clock_ms() + _MAX_LEASE_MS
        )
        self._lease_until_ms = max(self._lease_until_ms, until_ms)
        if path == "/v1/run-start":
            return self._start(fields)
        if path == "/v1/run-stop":
            return self._stop(fields)
        if path == "/v1/hold":
            return await self._hold(fields)
        return 404, {}

    def _start(self, fields):
        name, number = fields["task"], fields["run"]
        if name in self._running and self._running[name]["run"] == number:
            return self._answer(200, {})
        if number <= self._refused.get(name, 0) or name in self._running:
            return self._answer(409, {"reason": "old"})
        if self._clock_ms() > self._lease_until_ms:
            return self._answer(409, {"reason": "late"})
        words = fields["spec"].split()
        duration_ms = next(
            (int(word[3:]) for word in words if word.startswith("ms=")), 1_000
        )
        now = time.monotonic()
        self._running[name] = {
            "run": number,
            "since": now,
            "due": None if "lasts" in words else now + duration_ms / 1000,
            "fails": "fails" in words,
            "stop_at": None,
        }
        self._record(
            "started",
            name,
            number,
            fence=self._fence,
            kind=self._settings["labels"][0],
        )
        return self._answer(200, {})

    def _stop(self, fields):
        name, number = fields["task"], fields["run"]
        run = self._running.get(name)
        self._refused[name] = max(number, self._refused.get(name, 0))
        if run is not None and run["run"] == number:
            if run["stop_at"] is None:
                run["stop_at"] = (
                    time.monotonic() + self._settings["stopMs"] / 1000
                )
            self._record("stop", name, number)
        return self._answer(200, {})

    async def _hold(self, fields):
        last_seen = fields.get("lastSeen", 0)
        for number, name, run, how, _ in self._ended:
            if number <= last_seen:
                self._record("noted", name, run, how=how)
        self._ended = [each for each in self._ended if each[0] > last_seen]
        if not self._ended and fields.get("waitMs"):
            try:
                await asyncio.wait_for(
                    self._changed.wait(), fields["waitMs"] / 1000
                )
            except TimeoutError:
                pass
        running = [
            [name, run["run"], "", self._percent(run), 1000]
            for name, run in self._running.items()
        ]
        return self._answer(
            200,
            {
                "running": running,
                "ended": self._ended[:_LISTED_ENDS],
                "born": self._born_ms,
            },
        )

    def _percent(self, run):
        elapsed_s = time.monotonic() - run["since"]
        if run["due"] is None:
            return 100 if elapsed_s > 0.5 else 50
        return min(99, int(100 * elapsed_s / (run["due"] - run["since"])))


if __name__ == "__main__":
    asyncio.run(
        Worker(json.loads(pathlib.Path(sys.argv[1]).read_text())).run()
    )
