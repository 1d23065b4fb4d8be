"""Exception hierarchy; each error has a stable code and an HTTP status."""

from __future__ import annotations

import enum
from typing import ClassVar


class Ran(enum.Enum):
    """Whether the work of a rejected or failed request was executed.

    NO is a guarantee: no backend server has started the work or ever will.
    """

    NO = "no"
    UNKNOWN = "unknown"


class MarigoldgapError(Exception):
    """Base class of the errors that this package raises.

    Attributes:
        code: Stable, machine-readable name of the error.
        status: HTTP status of a response that reports the error.
        ran: Whether the requested work may have been executed.
    """

    code: ClassVar[str] = "internal-error"
    status: ClassVar[int] = 500
    ran: ClassVar[Ran] = Ran.UNKNOWN

    @property
    def detail(self) -> str:
        """Human-readable message, with the next step to take if there is one.

        An error without a message returns its code.
        """
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
    """Another writer changed the same data first."""

    code = "version-conflict"
    status = 409
    ran = Ran.NO


class AuthenticationError(MarigoldgapError):
    """The key is missing, unknown or withdrawn."""

    code = "key-invalid"
    status = 401
    ran = Ran.NO


class AuthorizationError(MarigoldgapError):
    """The key is valid but does not permit the operation."""

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
    """No possible worker is large enough for the job."""

    code = "job-impossible"
    status = 422
    ran = Ran.NO


class OverloadedError(MarigoldgapError):
    """The request was rejected because of load; its work did not run."""

    code = "overloaded"
    status = 503
    ran = Ran.NO


class QueueFullError(OverloadedError):
    """The queue has reached its capacity."""

    code = "queue-full"


class DeadlineExceededError(MarigoldgapError):
    """The deadline passed before the work was started."""

    code = "deadline-exceeded"
    status = 504
    ran = Ran.NO


class LimitReachedError(OverloadedError):
    """The team has reached its limit of running work."""

    code = "limit-reached"
    status = 429


class StoppingError(OverloadedError):
    """This instance is shutting down and accepts no new work."""

    code = "stopping"


class NotReadyError(OverloadedError):
    """This instance has no configuration yet."""

    code = "not-ready"


class ConfigurationUnconfirmedError(OverloadedError):
    """Another configuration may be in force; the request was not decided."""

    code = "configuration-unconfirmed"


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
    """A claim exceeds the free capacity of the worker."""

    code = "capacity-exceeded"
    ran = Ran.NO


class NoCandidateError(MarigoldgapError):
    """No instance can own the key; nothing was sent."""

    code = "no-candidate"
    status = 503
    ran = Ran.NO


class StoreUnavailableError(MarigoldgapError):
    """The table service or the object store did not answer.

    The operation has not taken effect and will not.
    """

    code = "store-unavailable"
    status = 503
    ran = Ran.NO


class StoreOutcomeUnknownError(MarigoldgapError):
    """A write was sent, and reading back its outcome timed out."""

    code = "store-outcome-unknown"
    status = 503


class RowConflictError(ConflictError):
    """A checked row of the table service has a different version.

    Attributes:
        keys: Keys of the rows whose version differs from the checked one.
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
        remaining_ms: Milliseconds after which the lease may be free.
    """

    code = "lease-held"
    status = 409
    ran = Ran.NO

    def __init__(self, holder: str, remaining_ms: int) -> None:
        super().__init__(f"the lease is held by {holder}")
        self.remaining_ms = remaining_ms


class WorkerRefusedError(MarigoldgapError):
    """The worker refused to start the task; the task did not run.

    Attributes:
        reason: Code that the worker returned, e.g. `stale-epoch` or `busy`.
    """

    code = "worker-refused"
    status = 503
    ran = Ran.NO

    def __init__(self, reason: str) -> None:
        super().__init__(f"the worker refused the start: {reason}")
        self.reason = reason


class LeaseLostError(MarigoldgapError):
    """The lease on the worker is no longer held; nothing was sent."""

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
