"""A small deployment on loopback: store, workers, entry instances, clients.

The store and the clients run in the process of the case. Each worker and each
entry instance is a process. Every machine has a loopback address of its own,
and all machines use the same ports, as on the platform.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import http_peer
import store as store_standin

HARNESS = pathlib.Path(__file__).resolve().parent
ROOT = HARNESS.parent.parent
HOST, PREFIX, KEY, SERVICE = "jobs.example", "/claims/", "key-1", "claims"
# The bounds of the site quetzal-claims.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 4000, "ackMs": 5000,
    "catchUpS": 4, "drainMs": 2500, "graceS": 6, "lossSlackMs": 200,
    "configApplyMs": 2500, "rollbackSlackMs": 250, "maxStretchMs": 6000,
    "strictRevoke": True, "revokeMs": 5000, "quotaWindowS": 5,
    "quotaOver": 0.1, "quotaSlack": 20, "recoverS": 12, "holdMaxMs": 6000,
    "stopMs": 900, "gangTimeoutMs": 3000, "cancel_ms": 3000,
    "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
    "farX": 3, "checkpointS": 0.5, "restoreMs": 600, "noticeMs": 5500,
    "moveS": 1.5, "upkeepS": 2, "requireFence": False, "leaseMs": 3000,
    "thawMs": 300, "paceMs": 100, "harmMs": 4000,
}  # fmt: skip
CAPACITY = {"cpu": 16_000, "memMb": 65_536, "gpu": 0}
_START_TIMEOUT_S = 25.0


class CannotRunError(Exception):
    """The deployment did not start."""


class Deployment:
    """Starts, disturbs and ends the processes of a case."""

    def __init__(self, folder, instances=4, workers=4, queue=None):
        self.began_s = time.monotonic()
        self.events = []
        self.workers = {}
        self.instances = {}
        self._folder = pathlib.Path(folder)
        self._temporary = tempfile.TemporaryDirectory()
        self._scratch = pathlib.Path(self._temporary.name)
        self._worker_log = self._scratch / "workers.log"
        self._worker_log.touch()
        self._net = random.SystemRandom().randrange(16, 240)
        self._ports = _free_ports(self._net)
        self._store_addresses = [
            self._address("store", number, 0) for number in range(instances)
        ]
        self.store = store_standin.Store(self.note)
        self._registry = http_peer.HttpServer(self._register)
        self._instance_count = instances
        self._worker_count = workers
        self._queue = queue or {}
        self._supervised = set()
        self._processes = []

    def _address(self, kind, number, port):
        subnet = {"store": 1, "edge": 2, "worker": 3}[kind]
        return f"127.{self._net}.{subnet}.{number + 1}:{self._ports[port]}"

    def note(self, who, what, **fields):
        """Adds an event to the record."""
        self.events.append(
            {"t": time.monotonic(), "who": who, "what": what, **fields}
        )

    async def _register(self, method, path, headers, body):
        if not self.store.is_down:
            self.store.heartbeat(path.rpartition("/")[2], body)
        return 200, None

    async def start(self):
        await self.store.start(self._store_addresses)
        registry = self._address("store", 200, 1)
        self._registry_address = registry
        await self._registry.start(registry)
        self.store.put("op", "", "config", _configuration(self._queue))
        for number in range(self._worker_count):
            self.start_worker(f"w{number}", ["a", f"r1-{number // 8 + 1}"])
        for number in range(self._instance_count):
            self.start_instance(f"e{number}")
        async with asyncio.timeout(_START_TIMEOUT_S):
            for name in self.instances:
                while not await self._is_ready(name):
                    await asyncio.sleep(0.1)
            while self.leader() is None:
                await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)

    async def _is_ready(self, name):
        number = int(name[1:])
        answer = await http_peer.call(
            self._address("edge", number, 1), "GET", "/v1/ready", timeout_s=0.5
        )
        return answer is not None and answer[0] == 200

    def start_worker(self, worker_id, labels):
        """Starts a life of a worker on the machine with its number."""
        number = int(worker_id.partition("-")[0][1:])
        settings = {
            "id": worker_id,
            "address": self._address("worker", number, 0),
            "registry": self._registry_address,
            "service": SERVICE,
            "zone": "centro-a",
            "labels": labels,
            "capacity": CAPACITY,
            "log": str(self._worker_log),
        }
        self.workers[worker_id] = self._spawn(
            [sys.executable, str(HARNESS / "worker.py"), json.dumps(settings)],
            os.environ,
            f"{worker_id}.log",
        )

    def start_instance(self, name):
        """Starts an entry instance with the command of the deploy file."""
        number = int(name[1:])
        with (ROOT / "deploy/system.toml").open("rb") as file:
            role = tomllib.load(file)["roles"]["scheduler"]
        settings = self._scratch / f"{name}.json"
        settings.write_text(json.dumps(self._settings(name, number)))
        environment = {
            **{
                variable: os.environ[variable]
                for variable in ("PATH", "HOME", "LANG")
                if variable in os.environ
            },
            **role.get("env", {}),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "MARIGOLDGAP_BOOT": str(settings),
        }
        self.instances[name] = self._spawn(
            role["run"].split(), environment, f"{name}.log"
        )

    def _settings(self, name, number):
        ip = self._address("edge", number, 0).partition(":")[0]
        return {
            "nodeName": name,
            "role": "scheduler",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": ip,
            "zone": "centro-a",
            "region": "centro",
            "zones": {"centro-a": "centro"},
            "listen": {
                "front": self._address("edge", number, 0),
                "ready": self._address("edge", number, 1),
            },
            "portRange": [self._ports[2], self._ports[3]],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4200,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "heartbeatMs": 1500,
            "bounds": BOUNDS,
            "orders": "call",
            "platform": {
                "address": self._store_addresses[number],
                "form": "table",
                "writesPerS": 800,
                "readsPerS": 2000,
                "txMs": 4.0,
                "rowBytes": 65536,
                "across": True,
                "historyS": 20,
            },
        }

    def _spawn(self, command, environment, log_name):
        with (self._scratch / log_name).open("ab") as log:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )
        self._processes.append(process)
        return process

    def leader(self):
        """Returns the name of the instance that the election row names."""
        content = self.store.value("cell", "cell", "election")
        if content is None:
            return None
        row = json.loads(content)
        return None if row["is_released"] else row["instance"]

    def kill(self, name):
        """Kills an instance or a worker (SIGKILL)."""
        process = self.instances.get(name) or self.workers[name]
        process.send_signal(signal.SIGKILL)
        process.wait()
        self.note(name, "killed")

    async def terminate(self, name):
        """Stops an instance as the platform does: SIGTERM, later SIGKILL."""
        process = self.instances[name]
        self.note(name, "sigterm")
        process.send_signal(signal.SIGTERM)
        until_s = time.monotonic() + BOUNDS["graceS"]
        while process.poll() is None and time.monotonic() < until_s:
            await asyncio.sleep(0.05)
        if process.poll() is None:
            self.kill(name)
        self.note(name, "stopped")

    def cut_from_store(self, name, is_cut):
        """Cuts the link between an instance and the store, or restores it."""
        address = self._store_addresses[int(name[1:])]
        (self.store.silent.add if is_cut else self.store.silent.discard)(
            address
        )
        self.note(name, "cut_from_store" if is_cut else "link_restored")

    async def cut_from_next_leader(self, worker_id, for_s):
        """Cuts a worker off from the instance that is elected next."""
        row = json.loads(self.store.value("cell", "cell", "election"))
        number = int(worker_id.partition("-")[0][1:])
        await http_peer.call(
            self._address("worker", number, 0),
            "POST",
            "/standin/cut",
            {"above": row["epoch"], "for_s": for_s},
        )

    async def call(self, name, method, job, body=None, timeout_s=3.0):
        """Sends a client's request to an instance and records the answer."""
        self.note("client", "sent", method=method, job=job, to=name)
        answer = await http_peer.call(
            self._address("edge", int(name[1:]), 0),
            method,
            PREFIX + job,
            body,
            (
                ("Host", HOST),
                ("Authorization", f"Token {KEY}"),
                ("X-Deadline-Ms", "3000"),
            ),
            timeout_s,
        )
        self.note(
            "client",
            "answered",
            method=method,
            job=job,
            status=answer and answer[0],
            body=answer and answer[1],
        )
        return answer

    async def submit(self, job, body, names=None):
        """Hands a job in; repeats it where the pages say that clients do."""
        names = list(names or self.instances)
        for attempt in range(5):
            name = names[(int(job, 16) + attempt) % len(names)]
            answer = await self.call(name, "POST", job, body)
            if answer is not None and answer[0] == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, job):
        """Returns the state that a client sees; None without an answer."""
        for name, process in self.instances.items():
            if process.poll() is not None:
                continue
            answer = await self.call(name, "GET", job)
            if answer is not None and answer[0] == 200:
                return answer[1]["state"]
            if answer is not None and answer[0] == 410:
                return "gone"
        return None

    def worker_events(self):
        """Returns the events of all workers so far."""
        with self._worker_log.open() as file:
            return [
                json.loads(line) for line in file if line.endswith("\n")
            ]

    def close(self):
        """Ends all processes that this case started; writes the record."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
                process.wait()
        self.store.close()
        self._registry.close()
        events = sorted(
            [*self.events, *self.worker_events()], key=lambda each: each["t"]
        )
        with (self._folder / "record.txt").open("w") as record:
            for each in events:
                line = dict(each)
                at_s = line.pop("t") - self.began_s
                who, what = line.pop("who"), line.pop("what")
                fields = " ".join(f"{k}={v}" for k, v in line.items())
                record.write(f"{at_s:9.3f} {who:8} {what:14} {fields}\n")
        if keep := os.environ.get("KEEP_LOGS"):
            target = pathlib.Path(keep)
            target.mkdir(parents=True, exist_ok=True)
            for path in self._scratch.iterdir():
                (target / path.name).write_bytes(path.read_bytes())
        self._temporary.cleanup()


def new_job_id():
    return f"{random.getrandbits(64):016x}"


def _configuration(queue):
    fields = {
        "version": 1,
        "routes": [
            {
                "name": "claims-queue",
                "host": HOST,
                "prefix": PREFIX,
                "service": SERVICE,
                "priority": 1,
                "attempts": 3,
                "stretch": 2.2,
                "targetDurationMs": 1200,
                **queue,
            }
        ],
        "services": [{"name": SERVICE, "enforcesCapacity": False}],
        "tenants": [
            {
                "name": "team",
                "apiKeys": [KEY],
                "weight": 50,
                "cap": {"cpu": 0, "memMb": 0, "gpu": 0},
            }
        ],
        "limits": {},
    }
    return json.dumps(fields).encode()


def _free_ports(net):
    """Returns four ports that are free, the last two in a row."""
    while True:
        first = random.SystemRandom().randrange(10_000, 30_000)
        ports = [first, first + 1, first + 2, first + 3]
        if all(_is_free(f"127.{net}.2.1", port) for port in ports):
            return ports


def _is_free(host, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def main(case, folder, **options):
    """Runs a case; exits with 1 if its rule was broken, else 0, or 2.

    Args:
        case: Takes the deployment and whether to disturb it; returns a list of
            what broke the rule.
        folder: Folder of the case.
        **options: Options of the deployment.
    """
    sys.exit(asyncio.run(_run(case, folder, options)))


async def _run(case, folder, options):
    is_disturbed = os.environ.get("TROUBLE", "1") != "0"
    # The processes are ended also if the case is interrupted.
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    deployment = Deployment(folder, **options)
    try:
        async with asyncio.timeout(110):
            await deployment.start()
            broken = await case(deployment, is_disturbed)
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        return 2
    finally:
        deployment.close()
    for each in broken:
        print(each)
    print(f"{len(broken)} violations")
    return 1 if broken else 0
