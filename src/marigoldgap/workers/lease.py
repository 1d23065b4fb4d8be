"""State machine of the lease on one worker.

Section 2.1 of the design page describes it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import NamedTuple

import transitions

from marigoldgap import errors

if TYPE_CHECKING:
    from marigoldgap.workers import wire

UNHELD = "unheld"
HELD = "held"
HANDING_OVER = "handing_over"


class StartPermit(NamedTuple):
    """Fencing data of a start, with which the worker refuses a late one.

    Attributes:
        epoch: Epoch of the lease, the fencing token.
        valid_until_ms: Expiry on the worker's monotonic clock.
    """

    epoch: int
    valid_until_ms: int


class WorkerLease:
    """Tracks whether this instance may start work on a worker.

    Args:
        margin_ms: Time before the end of the lease from which no work may be
            started.
    """

    # The state machine sets `state` and the triggers.
    state: str
    acquire: Callable[[], bool]
    give_up: Callable[[], bool]
    lose: Callable[[], bool]

    def __init__(self, margin_ms: int) -> None:
        self._margin_ms = margin_ms
        self._epoch = 0
        self._deadline_ms = 0
        self._valid_until_ms = 0
        _machine.add_model(self)

    @property
    def epoch(self) -> int:
        """The highest epoch that the worker granted to this instance."""
        return self._epoch

    @property
    def held(self) -> bool:
        """Whether the lease is held, also if it is being handed over."""
        return self.state != UNHELD

    def granted(self, answer: wire.LeaseAnswer, t0_ms: int, t1_ms: int) -> None:
        """Applies a grant or a renewal.

        The duration counts from the time of sending, so the lease always ends
        earlier for this instance than for the worker.

        Args:
            answer: The granted lease.
            t0_ms: Local monotonic time at which the request was sent.
            t1_ms: Local monotonic time at which the answer arrived.
        """
        self._epoch = answer.epoch
        self._deadline_ms = t0_ms + answer.ttl_ms - self._margin_ms
        self._valid_until_ms = answer.now_ms + self._deadline_ms - t1_ms
        if self.state == UNHELD:
            self.acquire()

    def has_lapsed(self, now_ms: int) -> bool:
        """Returns whether the lease is held but has expired."""
        return self.held and now_ms >= self._deadline_ms

    def permit(self, now_ms: int) -> StartPermit:
        """Returns the permit for a start.

        Raises:
            LeaseLostError: The lease does not permit new work.
        """
        permit = StartPermit(self._epoch, self._valid_until_ms)
        self.check(permit, now_ms)
        return permit

    def check(self, permit: StartPermit, now_ms: int) -> None:
        """Checks a permit; called again immediately before sending.

        Raises:
            LeaseLostError: The lease has lapsed or changed since the permit
                was issued.
        """
        if self.state != HELD:
            raise errors.LeaseLostError("the lease is not held")
        if permit.epoch != self._epoch:
            raise errors.LeaseLostError("the lease has a new epoch")
        if now_ms >= self._deadline_ms:
            raise errors.LeaseLostError("the lease has lapsed")

    def close(self) -> None:
        """Removes the lease from the state machine; it is unusable then."""
        _machine.remove_model(self)


_machine = transitions.Machine(
    model=None,
    states=[UNHELD, HELD, HANDING_OVER],
    initial=UNHELD,
    auto_transitions=False,
    transitions=[
        {"trigger": "acquire", "source": UNHELD, "dest": HELD},
        {"trigger": "give_up", "source": HELD, "dest": HANDING_OVER},
        {"trigger": "lose", "source": "*", "dest": UNHELD},
    ],
)
