"""The lease on one worker as a state machine (section 2.1)."""

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
    """What a start carries so that the worker can refuse it when late.

    Attributes:
        valid_until_ms: Expiry on the worker's monotonic clock.
    """

    epoch: int
    valid_until_ms: int


class WorkerLease:
    """Follows whether this instance may start work on a worker.

    Args:
        margin_ms: Time before the end of the lease at which starts end.
    """

    # Triggers and `state` are added by the state machine.
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
        """Whether the lease is held, be it for new work or not."""
        return self.state != UNHELD

    def granted(self, answer: wire.LeaseAnswer, t0_ms: int, t1_ms: int) -> None:
        """Takes over a grant or a renewal.

        The lease is counted from the time of sending, so this instance always
        believes that it ends before the worker does.

        Args:
            answer: What the worker granted.
            t0_ms: Local monotonic time at which the request was sent.
            t1_ms: Local monotonic time at which the answer arrived.
        """
        self._epoch = answer.epoch
        self._deadline_ms = t0_ms + answer.ttl_ms - self._margin_ms
        self._valid_until_ms = answer.now_ms + self._deadline_ms - t1_ms
        if self.state == UNHELD:
            self.acquire()

    def has_lapsed(self, now_ms: int) -> bool:
        """Returns whether a held lease has come to its end."""
        return self.held and now_ms >= self._deadline_ms

    def permit(self, now_ms: int) -> StartPermit:
        """Returns the permit for a start.

        Raises:
            LeaseLostError: No new work may be started.
        """
        permit = StartPermit(self._epoch, self._valid_until_ms)
        self.check(permit, now_ms)
        return permit

    def check(self, permit: StartPermit, now_ms: int) -> None:
        """Checks a permit; called again immediately before sending.

        Raises:
            LeaseLostError: The lease has lapsed or changed since.
        """
        if self.state != HELD:
            raise errors.LeaseLostError("the lease is not held")
        if permit.epoch != self._epoch:
            raise errors.LeaseLostError("the lease has a new epoch")
        if now_ms >= self._deadline_ms:
            raise errors.LeaseLostError("the lease has lapsed")

    def close(self) -> None:
        """Forgets this lease; it must not be used afterwards."""
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
