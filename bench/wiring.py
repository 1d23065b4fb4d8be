"""Assigns the addresses of a deployment and writes its configuration files."""

from __future__ import annotations

import hashlib
import json
import pathlib
import secrets
from typing import Any
from typing import NamedTuple

from bench import layouts
from bench import ports
from bench import routes
from marigoldgap.settings import model as settings_model

_SECRET_BYTES = 16
# A few processes simulate all workers.
_WORKERS_PER_PROCESS = 8


class Entry(NamedTuple):
    """An entry instance with the addresses that its own zone uses."""

    instance_id: str
    zone: layouts.Zone
    address: str
    peer_address: str
    settings_file: pathlib.Path


class Worker(NamedTuple):
    """A simulated worker.

    Attributes:
        address: Where it accepts work.
        control: Address of the control interface of its process.
    """

    worker_id: str
    zone: str
    rack: str
    address: str
    control: str


class Services(NamedTuple):
    """Addresses of the platform's services, the link and the balancers.

    Attributes:
        lists: Address of the instance list by zone.
        link_control: Control interface of the link.
        balancers: Address of the balancer by zone.
        balancer_controls: Control interface of the balancer by zone.
    """

    table: str
    objects: str
    lists: dict[str, str]
    link_control: str
    balancers: dict[str, str]
    balancer_controls: dict[str, str]


class Wiring:
    """Addresses and configuration files of a deployment.

    Args:
        layout: The deployment.
        directory: Directory for the files.
    """

    def __init__(self, layout: layouts.Layout, directory: pathlib.Path) -> None:
        self._layout = layout
        self._directory = directory
        self._ports = ports.Ports()
        self.routes = routes.Routes(layout, self._ports)
        self._secret = secrets.token_hex(_SECRET_BYTES)
        self.operator_key = secrets.token_hex(_SECRET_BYTES)
        names = [zone.name for zone in layout.zones]
        self.services = Services(
            table=self._ports.take(),
            objects=self._ports.take(),
            lists=self._allocate_for(names),
            link_control=self._ports.take(),
            balancers=self._allocate_for(names),
            balancer_controls=self._allocate_for(names),
        )
        self.entries = tuple(self._make_entries())
        self.workers = tuple(self._make_workers())
        self._listed = {each["id"]: each for each in self._make_list()}

    def list_record(self, name: str) -> dict[str, Any]:
        """Returns the initial record of an instance in the instance list."""
        return self._listed[name]

    def write_files(self) -> None:
        """Writes the configuration files of all processes.

        These are the settings of entry instances, the instance list, the
        workers of each worker process, and the routes of the link.
        """
        for entry in self.entries:
            self._write(entry.settings_file, self._settings(entry))
        self._write(self.file("instances"), list(self._listed.values()))
        for control, workers in self.worker_processes().items():
            fields = [self._worker_fields(worker) for worker in workers]
            self._write(self.worker_file(control), fields)
        self._write(self.file("link"), self.routes.plan())

    def worker_processes(self) -> dict[str, list[Worker]]:
        """Returns the workers of each worker process by its control address."""
        groups: dict[str, list[Worker]] = {}
        for worker in self.workers:
            groups.setdefault(worker.control, []).append(worker)
        return groups

    def worker_file(self, control: str) -> pathlib.Path:
        """Returns the path of the workers file of one worker process."""
        return self.file(f"workers-{control.rpartition(':')[2]}")

    def file(self, name: str) -> pathlib.Path:
        """Returns the path of a JSON file of this deployment."""
        return self._directory / f"{name}.json"

    def _allocate_for(self, names: list[str]) -> dict[str, str]:
        """Returns a new address for each name."""
        return {name: self._ports.take() for name in names}

    def _make_entries(self) -> list[Entry]:
        """Returns the entry instances with new addresses."""
        entries = []
        for zone in self._layout.zones:
            for index in range(zone.entries):
                name = f"{zone.name}-entry-{index + 1}"
                entries.append(
                    Entry(
                        name,
                        zone,
                        self._ports.take(),
                        self._ports.take(),
                        self._directory / f"{name}.json",
                    )
                )
        return entries

    def _make_workers(self) -> list[Worker]:
        """Returns the workers with new addresses, grouped into processes."""
        workers: list[Worker] = []
        control = ""
        for zone in self._layout.zones:
            for index in range(zone.workers):
                if len(workers) % _WORKERS_PER_PROCESS == 0:
                    control = self._ports.take()
                rack = index // layouts.WORKERS_PER_RACK + 1
                workers.append(
                    Worker(
                        f"{zone.name}-worker-{index + 1}",
                        zone.name,
                        f"{zone.name}-rack-{rack}",
                        self._ports.take(),
                        control,
                    )
                )
        return workers

    def _make_list(self) -> list[dict[str, Any]]:
        """Returns the initial instance list, with the routes between zones."""
        listed = [self._listed_entry(entry) for entry in self.entries]
        for worker in self.workers:
            listed.append(
                {
                    "id": worker.worker_id,
                    "kind": "worker",
                    "zone": worker.zone,
                    "region": self.routes.region(worker.zone),
                    "rack": worker.rack,
                    "address": worker.address,
                    "service": self._layout.service,
                }
            )
        return listed

    def _listed_entry(self, entry: Entry) -> dict[str, Any]:
        """Returns an entry instance's list record, with the routes to it."""
        reached = {
            zone.name: {
                "address": self.routes.add(
                    zone.name, entry.zone.name, entry.address, "forwards"
                ),
                "peer_address": self.routes.add(
                    zone.name, entry.zone.name, entry.peer_address, "peers"
                ),
            }
            for zone in self._layout.zones
            if zone.name != entry.zone.name
        }
        return {
            "id": entry.instance_id,
            "kind": "entry",
            "zone": entry.zone.name,
            "region": entry.zone.region,
            "address": entry.address,
            "peer_address": entry.peer_address,
            "addresses_from": reached,
        }

    def _settings(self, entry: Entry) -> dict[str, Any]:
        """Returns the validated settings of an entry instance."""
        zone = entry.zone.name
        services = self.services
        values = {
            "instance_id": entry.instance_id,
            "zone": zone,
            "region": entry.zone.region,
            "address": entry.address,
            "peer_address": entry.peer_address,
            "cluster_secret": self._secret,
            "operator_key_hash": hashlib.sha256(
                self.operator_key.encode()
            ).hexdigest(),
            "platform": {
                "table_address": self.routes.add(
                    zone, routes.PLATFORM, services.table, "table"
                ),
                "object_address": self.routes.add(
                    zone, routes.PLATFORM, services.objects, "objects"
                ),
                "list_address": self.routes.add(
                    zone, routes.PLATFORM, services.lists[zone], "list"
                ),
            },
        }
        settings_model.Settings.model_validate(values)
        return values

    def _worker_fields(self, worker: Worker) -> dict[str, Any]:
        """Returns the fields of a worker in its workers file."""
        return {
            **worker._asdict(),
            "service": self._layout.service,
            "capacity": self._layout.capacity._asdict(),
        }

    def _write(self, path: pathlib.Path, value: Any) -> None:
        """Writes a value to a file as JSON."""
        path.write_text(json.dumps(value, indent=1), encoding="utf-8")
