"""What the coordination needs from other packages."""

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
    """The part of `entries.hub.PeerHub` that is used here."""

    membership: membership_module.Membership

    def register(self, receiver: object) -> None:
        """Registers the marked methods of an object as handlers."""

    def is_linked(self, instance_id: str) -> bool:
        """Whether messages to the instance can be sent now."""

    def allows_digest(self) -> bool:
        """Whether the byte budget has room for a digest now."""

    def send(self, instance_id: str, message: Any) -> bool:
        """Sends a message that needs no answer."""

    def broadcast_zone(self, message: Any) -> None:
        """Sends a message to all other live instances of the zone."""

    async def call(
        self, instance_id: str, message: Any, timeout_ms: int = ...
    ) -> Any:
        """Sends a message and returns the answer."""


class TableClient(Protocol):
    """Reads of the table service."""

    async def get(self, key: str) -> table_service_model.Row | None:
        """Returns a row, or None if there is none."""

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> list[table_service_model.Row]:
        """Returns rows in the order of their keys."""


class GroupCommitter(Protocol):
    """Writes to the table service."""

    async def commit(self, transaction: table_service_model.Transaction) -> int:
        """Commits and returns the version of the written rows.

        Raises:
            errors.ConflictError: A check failed; nothing was written.
            errors.StoreUnavailableError: Nothing was written.
            errors.StoreOutcomeUnknownError: It may have been written.
        """


class ObjectClient(Protocol):
    """Large payloads in the object store."""

    async def get(self, key: str) -> bytes:
        """Returns an object."""

    async def put(self, key: str, data: bytes) -> None:
        """Writes an object."""


class InstanceList(Protocol):
    """The platform's list of instances."""

    def entries(
        self, zone: str | None = None
    ) -> tuple[table_service_model.InstanceEntry, ...]:
        """Returns the entry instances."""

    def workers(
        self, zone: str | None = None
    ) -> tuple[table_service_model.InstanceEntry, ...]:
        """Returns the workers."""

    def age_ms(self) -> int | None:
        """Returns the age of the list; None if it was never read."""


class ConfigListener(Protocol):
    """Learns of changes of the configuration."""

    def config_changed(
        self, versions: Sequence[config_model.ConfigVersion]
    ) -> None:
        """Versions were adopted."""

    def keys_denied(self, key_ids: Sequence[str]) -> None:
        """Keys were withdrawn that were not known as withdrawn before."""


class ConfigState(Protocol):
    """The configuration in force on this instance."""

    @property
    def version(self) -> int:
        """Number of the version; 0 before the first."""

    @property
    def rules(self) -> rules_model.Rules:
        """The rules."""

    @property
    def denied(self) -> frozenset[str]:
        """Ids of the withdrawn keys."""

    def subscribe(self, listener: ConfigListener) -> None:
        """Tells the listener about each change."""

    def versions_since(
        self, version: int
    ) -> tuple[config_model.ConfigVersion, ...]:
        """Returns what a peer with a version needs to reach this one."""

    def adopt(self, versions: Iterable[config_model.ConfigVersion]) -> bool:
        """Moves to higher versions; lower and known ones are ignored."""

    def deny(self, key_ids: Iterable[str]) -> tuple[str, ...]:
        """Adds withdrawn keys and returns those that were not known."""


class InForce(Protocol):
    """Collects which instances and zones have a version in force."""

    def report(self, instance_id: str, version: int) -> None:
        """Records the version that an instance has in force."""

    def report_zone(self, zone: str, version: int) -> None:
        """Records the lowest version of a zone."""

    def report_denied(self, name: str, key_id: str) -> None:
        """Records that an instance or a whole zone denies a key."""

    def zone_version(self) -> int:
        """Returns the lowest version of the own zone's instances."""


class Holdings(Protocol):
    """Accounts of all teams on this instance; `dispatch` implements it.

    One `scheduling.holding_account.HoldingAccount` per team. The
    implementation also drops all units before it asks for a lease while no
    lease is held, as `HoldingAccount.drop_units` requires.
    """

    @property
    def incarnation(self) -> str:
        """Token of this process."""

    def begin_term(self, term: model.Term) -> bool:
        """Obeys a term in all accounts."""

    def reports(self) -> Mapping[str, allowance_model.HoldingReport]:
        """Returns the state of all teams that hold or run anything."""

    def report(self, team: str) -> allowance_model.HoldingReport:
        """Returns the state of one team."""

    def accept_grant(self, grant: allowance_model.HoldingGrant) -> bool:
        """Adds granted units and wakes requests that wait for them."""

    def accept_notice(self, notice: allowance_model.AllowanceNotice) -> bool:
        """Lowers a holding to its ceiling."""

    def give_back(self, team: str, units: int) -> int:
        """Returns up to `units` unused units."""

    def unused(self, team: str) -> int:
        """Returns the units without a running task."""

    def settle(self, worker_ids: Sequence[str]) -> None:
        """Drops tasks that stayed counted on workers lost earlier."""


class Placer(Protocol):
    """The part of the dispatcher that runs job tasks."""

    async def place_job_task(
        self, task: model.TaskSpec, payload: bytes
    ) -> dispatch_model.PlaceOutcome:
        """Starts a job task on an owned worker."""

    def load(self) -> dispatch_model.EntryLoad:
        """Returns free resources, queue lengths and running tasks."""

    def reserve(
        self, reservation_id: str, tasks: Sequence[model.TaskSpec]
    ) -> tuple[str, ...]:
        """Keeps room on owned workers; returns the ids that found room."""

    def release(self, reservation_id: str) -> None:
        """Gives reserved room back; unknown reservations are ignored."""

    async def place_reserved(
        self, reservation_id: str, task: model.TaskSpec, payload: bytes
    ) -> dispatch_model.PlaceOutcome:
        """Starts a job task in its reserved room."""


class OwnedFleet(Protocol):
    """The part of the fleet that knows which leases are valid now."""

    def owned(self) -> Sequence[workers_model.OwnedWorker]:
        """Returns the workers whose lease is held and has not lapsed."""


class TaskStopper(Protocol):
    """The part of the fleet that acts on running tasks."""

    async def stop_task(
        self, worker_id: str, task_id: str, action: str = "stop"
    ) -> str:
        """Stops or checkpoints a task and returns its state."""
