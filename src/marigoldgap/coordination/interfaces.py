"""Protocols of the objects that the coordination gets from other packages."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import Protocol

from marigoldgap.config_store import model as config_model
from marigoldgap.dispatch import model as dispatch_model
from marigoldgap.entries import membership as membership_module
from marigoldgap.rules import model as rules_model
from marigoldgap.scheduling import allowance_model
from marigoldgap.scheduling import model
from marigoldgap.table_service import model as table_service_model
from marigoldgap.workers import model as workers_model


class Peers(Protocol):
    """Messaging between instances; implemented by `entries.hub.PeerHub`."""

    membership: membership_module.Membership

    def register(self, receiver: object) -> None:
        """Registers the methods marked with `registry.handles` as handlers."""

    def is_linked(self, instance_id: str) -> bool:
        """Whether a link to the instance is open."""

    def allows_digest(self) -> bool:
        """Whether the byte budget of the link allows a digest now."""

    def send(self, instance_id: str, message: Any) -> bool:
        """Sends a one-way message; returns whether it was sent."""

    def broadcast_zone(self, message: Any) -> None:
        """Sends a message to all other live instances of the zone."""

    async def call(
        self, instance_id: str, message: Any, timeout_ms: int = ...
    ) -> Any:
        """Sends a request and returns the answer."""


class TableClient(Protocol):
    """Read access to the table service."""

    async def get(self, key: str) -> table_service_model.Row | None:
        """Returns a row, or None if there is none."""

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> list[table_service_model.Row]:
        """Returns rows in the order of their keys."""


class GroupCommitter(Protocol):
    """Write access to the table service."""

    async def commit(self, transaction: table_service_model.Transaction) -> int:
        """Commits a transaction and returns the version of the written rows.

        Raises:
            errors.ConflictError: A check failed; nothing was written.
            errors.StoreUnavailableError: Nothing was written.
            errors.StoreOutcomeUnknownError: The rows may have been written.
        """


class ObjectClient(Protocol):
    """Object store that holds large payloads."""

    async def get(self, key: str) -> bytes:
        """Returns an object."""

    async def put(self, key: str, data: bytes) -> None:
        """Writes an object."""


class InstanceList(Protocol):
    """List of instances that the platform publishes."""

    def entries(
        self, zone: str | None = None
    ) -> tuple[table_service_model.InstanceEntry, ...]:
        """Returns the entry instances."""

    def workers(
        self, zone: str | None = None
    ) -> tuple[table_service_model.InstanceEntry, ...]:
        """Returns the workers."""

    def age_ms(self) -> int | None:
        """Returns the age of the list, or None if it was never read."""


class ConfigListener(Protocol):
    """Receives changes of the configuration."""

    def config_changed(
        self, versions: Sequence[config_model.ConfigVersion]
    ) -> None:
        """Called after versions were adopted."""

    def keys_denied(self, key_ids: Sequence[str]) -> None:
        """Called with keys that are newly known to be withdrawn."""


class ConfigState(Protocol):
    """Configuration in force on this instance."""

    @property
    def version(self) -> int:
        """Version number; 0 before the first version."""

    @property
    def rules(self) -> rules_model.Rules:
        """Rules of the version in force."""

    @property
    def denied(self) -> frozenset[str]:
        """Ids of the withdrawn keys."""

    def subscribe(self, listener: ConfigListener) -> None:
        """Notifies the listener of each later change."""

    def versions_since(
        self, version: int
    ) -> tuple[config_model.ConfigVersion, ...]:
        """Returns the versions that a peer with `version` lacks."""

    def adopt(self, versions: Iterable[config_model.ConfigVersion]) -> bool:
        """Adopts higher versions; lower and known ones are ignored."""

    def deny(self, key_ids: Iterable[str]) -> tuple[str, ...]:
        """Adds withdrawn keys and returns the new ones."""


class InForce(Protocol):
    """Tracks the versions in force on instances and in zones."""

    def report_version(self, instance_id: str, version: int) -> None:
        """Records the version in force on an instance."""

    def report_zone(self, zone: str, version: int) -> None:
        """Records the lowest version in force in a zone."""

    def report_denied(self, name: str, key_id: str) -> None:
        """Records that an instance or a whole zone denies a withdrawn key."""

    def zone_version(self) -> int:
        """Returns the lowest version in force in this zone."""


class Holdings(Protocol):
    """Holding accounts of all teams on this instance.

    Implemented in `dispatch` with one
    `scheduling.holding_account.HoldingAccount` per team. An implementation
    that holds no lease must drop all units before it requests one, as
    `HoldingAccount.drop_units` requires.
    """

    @property
    def incarnation(self) -> str:
        """Unique token of this process."""

    def begin_term(self, term: model.Term) -> bool:
        """Switches all accounts to a term; returns whether all accepted it."""

    def reports(self) -> Mapping[str, allowance_model.HoldingReport]:
        """Returns the accounts of all teams that hold units or run tasks."""

    def report(self, team: str) -> allowance_model.HoldingReport:
        """Returns the account of one team."""

    def accept_grant(self, grant: allowance_model.HoldingGrant) -> bool:
        """Adds granted units and wakes the requests that wait for them."""

    def accept_notice(self, notice: allowance_model.AllowanceNotice) -> bool:
        """Lowers a holding to the ceiling in the notice."""

    def give_back(self, team: str, units: int) -> int:
        """Returns up to `units` unused units to the coordinator.

        Returns:
            The number of units returned.
        """

    def unused(self, team: str) -> int:
        """Returns the number of units that no running task uses."""

    def drop_orphaned(self, worker_ids: Sequence[str]) -> None:
        """Stops counting tasks on workers whose lease was lost earlier."""


class Placer(Protocol):
    """The part of the dispatcher that starts job tasks."""

    async def place_job_task(
        self, task: model.TaskSpec, payload: bytes
    ) -> dispatch_model.PlaceOutcome:
        """Starts a job task on a worker that this instance owns."""

    def load(self) -> dispatch_model.EntryLoad:
        """Returns free resources, queue lengths and running tasks."""

    def reserve(
        self, reservation_id: str, tasks: Sequence[model.TaskSpec]
    ) -> tuple[str, ...]:
        """Reserves capacity for tasks; returns the ids of those that fit."""

    def release(self, reservation_id: str) -> None:
        """Releases a reservation; unknown ones are ignored."""

    async def place_reserved(
        self, reservation_id: str, task: model.TaskSpec, payload: bytes
    ) -> dispatch_model.PlaceOutcome:
        """Starts a job task in its reserved capacity."""


class OwnedFleet(Protocol):
    """The part of the fleet that knows the valid leases."""

    def owned(self) -> Sequence[workers_model.OwnedWorker]:
        """Returns the workers whose lease is held and has not expired."""


class TaskStopper(Protocol):
    """The part of the fleet that stops running tasks."""

    async def stop_task(
        self, worker_id: str, task_id: str, action: str = "stop"
    ) -> str:
        """Stops or checkpoints a task and returns its state."""
