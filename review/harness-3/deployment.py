"""A small deployment on loopback addresses, for the scripts of the cases.

Entry instances are processes started with the commands of the deploy file;
workers are processes of the stand-in. The store stand-in and the clients run in
the process of the script.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import httpwire
import link
import storestandin

HARNESS = pathlib.Path(__file__).resolve().parent
ROOT = HARNESS.parents[1]
HOST = "nony24.example"
KEY = "key-a"
SERVICE = "agenda-mediacion"
# The bounds of cordero-agenda.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 2500,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2500,
    "rollbackSlackMs": 250,
    "maxStretchMs": 6000,
    "strictRevoke": True,
    "revokeMs": 5000,
    "quotaWindowS": 5,
    "quotaOver": 0.1,
    "quotaSlack": 20,
    "recoverS": 12,
    "holdMaxMs": 6000,
    "stopMs": 200,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "farX": 1.5,
    "checkpointS": 1,
    "restoreMs": 600,
    "noticeMs": 5500,
    "leaseMs": 3000,
    "thawMs": 300,
    "paceMs": 100,
    "harmMs": 4000,
}
_STOP_MS = 200
_HEARTBEAT_S = 1.5
# An entry vanishes after three heartbeat intervals of silence.
_SILENCE_S = 3 * _HEARTBEAT_S


class CannotRunError(Exception):
    """The case could not be played."""


def queue(name="salas", prefix="/salas/", attempts=4, priority=1, **more):
    """Returns a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "service": SERVICE,
        "priority": priority,
        "attempts": attempts,
        "stretch": 4.0,
        "targetDurationMs": 3000,
        **more,
    }


def free_port(hosts):
    """Returns a port that is free on all of the addresses."""
    for _ in range(200):
        with contextlib.ExitStack() as stack:
            first = stack.enter_context(socket.socket())
            first.bind((hosts[0], 0))
            port = first.getsockname()[1]
            try:
                for host in hosts[1:]:
                    other = stack.enter_context(socket.socket())
                    other.bind((host, port))
            except OSError:
                continue
            return port
    raise CannotRunError("no free port")


class Deployment:
    """Store, workers and entry instances.

    Args:
        folder: Folder of the case; `record.txt` is written there.
        instances: Number of entry instances.
        workers: Number of workers.
        routes: Routes of the configuration.
        tenants: Tenants of the configuration.
        capacity: Capacity of each worker.
        has_links: Whether each worker is behind a proxy of its own.
        kinds: First label of the workers, in their order; `a` by default.
        has_advice: Whether there is an advice service, which allows each worker.
    """

    def __init__(
        self,
        folder,
        instances=3,
        workers=8,
        routes=None,
        tenants=None,
        capacity=None,
        has_links=False,
        kinds=(),
        has_advice=False,
    ):
        self.folder = pathlib.Path(folder)
        self.record = (self.folder / "record.txt").open("w", buffering=1)
        self.began_s = time.monotonic()
        self._scratch = tempfile.TemporaryDirectory()
        self.scratch = pathlib.Path(self._scratch.name)
        self.store = storestandin.Store()
        self.routes = routes or [queue()]
        self.tenants = tenants or [
            {
                "name": "team",
                "apiKeys": [KEY],
                "weight": 50,
                "cap": {"cpu": 0, "memMb": 0, "gpu": 0},
            }
        ]
        self.capacity = capacity or {"cpu": 16000, "memMb": 65536, "gpu": 0}
        self.version = 0
        self._heard_s = {}
        self.workers = {f"w{number}": None for number in range(workers)}
        self.instances = {f"e{number}": None for number in range(instances)}
        self._processes = []
        hosts = [f"127.0.1.{number + 1}" for number in range(instances)]
        self._instance_hosts = dict(zip(self.instances, hosts))
        self._worker_hosts = {
            name: f"127.0.2.{number + 1}"
            for number, name in enumerate(self.workers)
        }
        self._ports = {
            name: free_port(hosts)
            for name in ("front", "ready", "control", "peer", "metrics")
        }
        worker_hosts = list(self._worker_hosts.values())
        self._worker_port = free_port(worker_hosts)
        # Port at which a worker listens behind its proxy.
        self._inner_port = self._worker_port
        self.links = {}
        # First label of each worker.
        self.kinds = dict.fromkeys(self.workers, "a")
        self.kinds.update(zip(self.workers, kinds))
        if has_links:
            self._inner_port = free_port(worker_hosts)
            self.links = {
                name: link.Link((host, self._inner_port))
                for name, host in self._worker_hosts.items()
            }
        self.store_address = f"127.0.0.1:{free_port(['127.0.0.1'])}"
        self.control_address = f"127.0.0.1:{free_port(['127.0.0.1'])}"
        self._control = httpwire.Server(self._register)
        self.advice_address = ""
        if has_advice:
            self.advice_address = f"127.0.0.1:{free_port(['127.0.0.1'])}"
        self._advice = httpwire.Server(self._advise)
        # One call at a time for each calling machine.
        self._advising = {}
        self._tasks = []
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._role = deploy["roles"]["scheduler"]

    def note(self, what, **fields):
        """Writes a line of the record."""
        line = {"t": round(time.monotonic() - self.began_s, 3), "what": what}
        self.record.write(json.dumps({**line, **fields}) + "\n")

    async def start(self):
        """Starts everything and waits until the instances serve callers."""
        host, _, port = self.store_address.rpartition(":")
        await self.store.start(host, int(port))
        host, _, port = self.control_address.rpartition(":")
        await self._control.start(host, int(port))
        if self.advice_address:
            host, _, port = self.advice_address.rpartition(":")
            await self._advice.start(host, int(port))
        self.configure()
        self._tasks.append(asyncio.create_task(self._expire_entries()))
        for name, each in self.links.items():
            await each.start(self._worker_hosts[name], self._worker_port)
        for name in self.workers:
            self.start_worker(name)
        for name in self.instances:
            self.start_instance(name)
        until_s = time.monotonic() + 25
        while not await self._is_up():
            if time.monotonic() > until_s:
                raise CannotRunError("the deployment did not come up")
            await asyncio.sleep(0.2)
        await asyncio.sleep(2.0)
        self.note("up", instances=len(self.instances), workers=len(self.workers))

    async def _is_up(self):
        if len(self._heard_s) < len(self.workers):
            return False
        for name in self.instances:
            address = self.address(name, "ready")
            try:
                status, _ = await httpwire.call(address, "GET", "/v1/ready")
            except httpwire.HttpError:
                return False
            if status != 200:
                return False
        return True

    def configure(self):
        """Writes the next version of the configuration."""
        self.version += 3
        content = {
            "version": self.version,
            "routes": self.routes,
            "services": [{"name": SERVICE, "enforcesCapacity": False}],
            "tenants": self.tenants,
            "limits": {},
        }
        self.store.put("op", "", "config", json.dumps(content).encode())
        self.note("configuration", version=self.version)

    async def _register(self, method, path, headers, body):
        worker_id = path.rpartition("/")[2]
        self._heard_s[worker_id] = time.monotonic()
        # The entry changes when more than `seq` and the clock changes.
        self.store.put("servers", "", worker_id, body)
        return 200, {}

    async def _advise(self, method, path, headers, body):
        fields = json.loads(body)
        step, workers = fields["step"], fields["workers"]
        advice = self.routes[0]["advice"]
        # All calls come from one host here: the first letter of a step
        # stands for the machine that asks.
        lock = self._advising.setdefault(step[0], asyncio.Lock())
        async with lock:
            wait_ms = advice["decideMs"] + advice["eachMs"] * len(workers)
            await asyncio.sleep(wait_ms / 1000)
        good = [[name, f"t-{name}"] for name in workers]
        return 200, {"good": good, "validMs": advice["validMs"]}

    async def _expire_entries(self):
        while True:
            await asyncio.sleep(0.1)
            for worker_id, heard_s in list(self._heard_s.items()):
                if time.monotonic() - heard_s > _SILENCE_S:
                    self.store.drop("servers", "", worker_id)
                    del self._heard_s[worker_id]

    def start_worker(self, name):
        """Starts a worker process, a new life under its id."""
        number = list(self.workers).index(name)
        settings = {
            "id": name,
            "host": self._worker_hosts[name],
            "port": self._inner_port,
            "publicPort": self._worker_port,
            "log": str(self.scratch / "runs.log"),
            "control": self.control_address,
            "capacity": self.capacity,
            "labels": [self.kinds[name], f"r{number // 8}-1"],
            "service": SERVICE,
            "zone": "quito-norte",
            "stopMs": _STOP_MS,
            "heartbeatS": _HEARTBEAT_S,
        }
        path = self.scratch / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.workers[name] = self._spawn(
            [sys.executable, str(HARNESS / "workerstandin.py"), str(path)],
            {"PYTHONPATH": str(HARNESS)},
            name,
        )
        self.note("worker_started", worker=name)

    def kill_worker(self, name):
        """Crashes a worker."""
        self.workers[name].send_signal(signal.SIGKILL)
        self.workers[name].wait()
        self.note("worker_killed", worker=name)
        with (self.scratch / "runs.log").open("a") as log:
            line = {"t": round(time.monotonic(), 3), "worker": name}
            log.write(json.dumps({**line, "what": "crashed"}) + "\n")

    def start_instance(self, name):
        """Starts an entry instance with the command of the deploy file."""
        ports = self._ports
        ip = self._instance_hosts[name]
        settings = {
            "nodeName": f"edge-quito-norte-{name}",
            "role": "scheduler",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": ip,
            "zone": "quito-norte",
            "region": "sierra",
            "zones": {"quito-norte": "sierra"},
            "listen": {
                key: f"{ip}:{ports[key]}"
                for key in ("front", "ready", "control")
            },
            "portRange": [ports["peer"], ports["peer"]],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "heartbeatMs": 1500,
            "bounds": BOUNDS,
            "orders": "call",
            "advice": self.advice_address,
            "platform": {
                "address": self.store_address,
                "form": "table",
                "writesPerS": 600,
                "readsPerS": 2000,
                "rowBytes": 65536,
                "across": True,
                "historyS": 20,
            },
        }
        path = self.scratch / f"{name}.json"
        path.write_text(json.dumps(settings))
        environment = {**self._role.get("env", {})}
        environment["MARIGOLDGAP_METRICS_PORT"] = str(ports["metrics"])
        environment["MARIGOLDGAP_BOOT"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        self.instances[name] = self._spawn(
            self._role["run"].split(), environment, name
        )
        self.note("instance_started", instance=name)

    def kill_instance(self, name):
        self.instances[name].send_signal(signal.SIGKILL)
        self.instances[name].wait()
        self.note("instance_killed", instance=name)

    def address(self, name, port="front"):
        return f"{self._instance_hosts[name]}:{self._ports[port]}"

    @property
    def leader(self):
        """The instance that the election row names."""
        content = self.store.value("cell", "cell", "election")
        if not content:
            return None
        named = json.loads(content).get("instance", "")
        return next((each for each in self.instances if named.endswith(each)), None)

    def _spawn(self, command, environment, name):
        kept = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        log = (self.scratch / f"{name}.out").open("ab")
        process = subprocess.Popen(
            command,
            cwd=ROOT,
            env={**kept, **environment},
            stdout=log,
            stderr=log,
        )
        self._processes.append(process)
        return process

    async def request(self, method, path, body=None, key=KEY, instance=None):
        """Sends a client's request; notes it and its answer.

        Returns:
            The status, 0 if there was no answer, and the body.
        """
        name = instance or next(iter(self.instances))
        headers = [
            ("Host", HOST),
            ("Authorization", f"Token {key}"),
            ("X-Deadline-Ms", "3000"),
        ]
        try:
            status, answer = await httpwire.call(
                self.address(name), method, path, body, headers
            )
        except httpwire.HttpError as error:
            status, answer = 0, {"error": str(error)}
        self.note(
            "request",
            instance=name,
            method=method,
            path=path,
            status=status,
            answer=answer,
        )
        return status, answer

    def runs(self):
        """Returns the lines that the workers wrote, oldest first."""
        path = self.scratch / "runs.log"
        if not path.exists():
            return []
        lines = [json.loads(line) for line in path.read_text().splitlines()]
        return sorted(lines, key=lambda line: line["t"])

    def current_runs(self, job_id=""):
        """Returns the tasks that run now as (task, run, worker, since)."""
        running = {}
        for line in self.runs():
            if line["what"] in ("crashed", "up"):
                for name in list(running):
                    if name[0] == line["worker"]:
                        del running[name]
            elif line["what"] == "started":
                running[line["worker"], line["task"], line["run"]] = line["t"]
            elif line["what"] != "stop":
                running.pop((line["worker"], line["task"], line["run"]), None)
        return [
            (task, run, worker, since)
            for (worker, task, run), since in running.items()
            if task.startswith(job_id)
        ]

    def close(self):
        """Ends all processes, and adds what the workers ran to the record."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
        for process in self._processes:
            process.wait()
        for task in self._tasks:
            task.cancel()
        for each in self.links.values():
            each.close()
        for line in self.runs():
            line["t"] = round(line["t"] - self.began_s, 3)
            self.record.write(json.dumps({"run": line}) + "\n")
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in self.scratch.iterdir():
                (pathlib.Path(keep) / path.name).write_bytes(path.read_bytes())
        self.record.close()
        self._scratch.cleanup()


def main(play, folder, **deployment):
    """Plays a case and exits with 0, 1 or 2.

    Args:
        play: Coroutine function of the deployment and whether the disruption is
            made; returns what broke the rule as a text, empty if it held.
        folder: Folder of the case.
        deployment: Arguments of `Deployment`.
    """

    async def run():
        try:
            world = Deployment(folder, **deployment)
        except Exception as error:
            print(f"the case could not run: {error!r}")
            return 2
        # Ends the processes also if the script is told to stop.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(115):
                await world.start()
                broken = await play(world, os.environ.get("TROUBLE") != "0")
            world.note("verdict", broken=broken)
            print(broken or "the rule held")
            return 1 if broken else 0
        except (Exception, asyncio.CancelledError) as error:
            # An error of the script itself says nothing about the rule.
            world.note("cannot_run", cause=repr(error))
            print(f"the case could not run: {error!r}")
            return 2
        finally:
            world.close()

    sys.exit(asyncio.run(run()))
