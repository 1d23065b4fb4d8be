"""Exception hierarchy; every error has a stable code and an HTTP status."""

from __future__ import annotations

import enum
from typing import ClassVar


class Ran(enum.Enum):
    """Whether the work of a refused or failed request ran.

    NO is a promise: no backend server started the work and none will.
    """

    NO = "no"
    UNKNOWN = "unknown"


class MarigoldgapError(Exception):
    """Base class of all errors that this package raises on purpose.

    Attributes:
        code: Stable, machine-readable name of the error.
        status: HTTP status with which the error is reported.
        ran: Whether the refused work may have run.
    """

    code: ClassVar[str] = "internal-error"
    status: ClassVar[int] = 500
    ran: ClassVar[Ran] = Ran.UNKNOWN

    @property
    def detail(self) -> str:
        """The message for a person, with the next step where there is one."""
        return str(self) or self.code


class SettingsError(MarigoldgapError):
    """The settings file has errors; the message lists all of them."""

    code = "settings-invalid"
    ran = Ran.NO


class RulesError(MarigoldgapError):
    """The rules text has errors; the message lists all of them."""

    code = "rules-invalid"
    status = 422
    ran = Ran.NO


class ConflictError(MarigoldgapError):
    """Another writer changed the same thing first."""

    code = "version-conflict"
    status = 409
    ran = Ran.NO


class AuthenticationError(MarigoldgapError):
    """The key is missing, unknown or withdrawn."""

    code = "key-invalid"
    status = 401
    ran = Ran.NO


class AuthorizationError(MarigoldgapError):
    """The key is valid but does not allow this."""

    code = "not-allowed"
    status = 403
    ran = Ran.NO


class NotFoundError(MarigoldgapError):
    """The named queue, job or row does not exist."""

    code = "not-found"
    status = 404
    ran = Ran.NO


class InvalidRequestError(MarigoldgapError):
    """The request is malformed."""

    code = "request-invalid"
    status = 400
    ran = Ran.NO


class ImpossibleJobError(MarigoldgapError):
    """No worker that could exist has room for the job."""

    code = "job-impossible"
    status = 422
    ran = Ran.NO


class OverloadedError(MarigoldgapError):
    """The work was shed because of load and did not run."""

    code = "overloaded"
    status = 503
    ran = Ran.NO


class QueueFullError(OverloadedError):
    """The bounded queue is full."""

    code = "queue-full"


class DeadlineExceededError(MarigoldgapError):
    """The deadline passed before the work was started."""

    code = "deadline-exceeded"
    status = 504
    ran = Ran.NO


class LimitReachedError(OverloadedError):
    """The team already runs as much as its upper limit allows."""

    code = "limit-reached"
    status = 429


class StoppingError(OverloadedError):
    """This instance is stopping and takes no new work."""

    code = "stopping"


class NotReadyError(OverloadedError):
    """This instance has no configuration yet."""

    code = "not-ready"


class KeysUnconfirmedError(OverloadedError):
    """The keys were confirmed longer ago than `max_key_age_s` allows."""

    code = "keys-unconfirmed"


class DuplicateRequestError(MarigoldgapError):
    """The idempotency key was used before; the first attempt may have run."""

    code = "duplicate-request"
    status = 409


class OutcomeUnknownError(MarigoldgapError):
    """The backend server may have run the work, but its answer was lost."""

    code = "outcome-unknown"
    status = 502


class CapacityError(MarigoldgapError):
    """A claim does not fit on the worker."""

    code = "capacity-exceeded"
    ran = Ran.NO


class NoCandidateError(MarigoldgapError):
    """No instance can own the key; nothing was sent."""

    code = "no-candidate"
    status = 503
    ran = Ran.NO


class StoreUnavailableError(MarigoldgapError):
    """The table service or the object store did not answer.

    The operation did not take effect, or its effect has been ruled out.
    """

    code = "store-unavailable"
    status = 503
    ran = Ran.NO


class StoreOutcomeUnknownError(MarigoldgapError):
    """A write was sent and its outcome could not be read back in time."""

    code = "store-outcome-unknown"
    status = 503


class RowConflictError(ConflictError):
    """A checked row of the table service has another version.

    Attributes:
        keys: The rows that did not have the checked version.
    """

    def __init__(self, keys: tuple[str, ...]) -> None:
        super().__init__("rows changed meanwhile: " + ", ".join(keys))
        self.keys = keys


class ConnectFailedError(MarigoldgapError):
    """No connection could be opened, so nothing was sent."""

    code = "connect-failed"
    status = 503
    ran = Ran.NO


class LeaseHeldError(MarigoldgapError):
    """Another instance holds the lease on the worker.

    Attributes:
        remaining_ms: Time after which the lease may be free.
    """

    code = "lease-held"
    status = 409
    ran = Ran.NO

    def __init__(self, holder: str, remaining_ms: int) -> None:
        super().__init__(f"the lease is held by {holder}")
        self.remaining_ms = remaining_ms


class WorkerRefusedError(MarigoldgapError):
    """The worker refused the start; the task did not run.

    Attributes:
        reason: The worker's code, e.g. `stale-epoch` or `busy`.
    """

    code = "worker-refused"
    status = 503
    ran = Ran.NO

    def __init__(self, reason: str) -> None:
        super().__init__(f"the worker refused the start: {reason}")
        self.reason = reason


class LeaseLostError(MarigoldgapError):
    """The lease on the worker is not held any more; nothing was sent."""

    code = "lease-lost"
    status = 503
    ran = Ran.NO


class PeerUnavailableError(MarigoldgapError):
    """The other entry instance did not answer."""

    code = "peer-unavailable"
    status = 503


class PeerNotLinkedError(PeerUnavailableError):
    """There is no link to the other entry instance; nothing was sent."""

    code = "peer-not-linked"
    ran = Ran.NO


class StaleTermError(MarigoldgapError):
    """The sender's term is lower than the highest one seen."""

    code = "stale-term"
    status = 409
    ran = Ran.NO


class ProtocolError(MarigoldgapError):
    """A peer sent bytes that do not form a valid message."""

    code = "protocol-error"
    status = 502
