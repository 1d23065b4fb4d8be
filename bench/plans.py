"""Registry of the kinds of work that callers send."""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import NamedTuple
from typing import TypeVar

from bench import layouts

REQUESTS = "requests"
JOBS = "jobs"


class RequestPlan(NamedTuple):
    """A request to send.

    Attributes:
        use: Kind of work.
        team: Team whose key is used; empty for an open queue.
        repeats_s: Delays after which it is sent again to another zone.
    """

    use: str
    team: str
    queue: str
    run_ms: int
    answer_bytes: int = 0
    idempotent: bool = True
    has_idempotency_key: bool = False
    repeats_s: tuple[float, ...] = ()


class JobPlan(NamedTuple):
    """A job to submit.

    Attributes:
        use: Kind of work.
        run_ms: Actual run time; with None, tasks run until the job is
            cancelled.
        expected_run_ms: Run time that the caller declares.
        cancel_after_s: Time until the caller cancels it; None for never.
    """

    use: str
    team: str
    queue: str
    tasks: int
    run_ms: int | None
    expected_run_ms: int
    gang: bool = False
    idempotent: bool = True
    urgent: bool = False
    fail: bool = False
    millicores: int = 1_000
    memory_mib: int = 2_048
    group: str = ""
    cancel_after_s: float | None = None


class Source(NamedTuple):
    """Random generator and layout from which plans are drawn."""

    random: random.Random
    layout: layouts.Layout

    def team(self) -> str:
        """Returns a random team with a key, weighted by its share."""
        teams = self.layout.keyed_teams
        weights = [team.share for team in teams]
        return self.random.choices(teams, weights)[0].name

    def random_ms(self, median_ms: float, spread: float) -> int:
        """Returns a log-normal random time in ms, at least 1.

        Args:
            median_ms: Median of the distribution.
            spread: Standard deviation of the logarithm.
        """
        return max(1, round(median_ms * self.random.lognormvariate(0, spread)))


Plan = RequestPlan | JobPlan
Maker = Callable[[Source], Plan]
_Made = TypeVar("_Made", RequestPlan, JobPlan)


class _Kind(NamedTuple):
    make: Maker
    weight: float


_streams: dict[str, list[_Kind]] = {REQUESTS: [], JOBS: []}


def work(
    stream: str, weight: float
) -> Callable[[Callable[[Source], _Made]], Callable[[Source], _Made]]:
    """Registers a kind of work.

    Args:
        stream: REQUESTS or JOBS; each stream has its own arrival rate.
        weight: Relative frequency of the kind within its stream.
    """

    def add(make: Callable[[Source], _Made]) -> Callable[[Source], _Made]:
        _streams[stream].append(_Kind(make, weight))
        return make

    return add


def draw(stream: str, source: Source) -> Plan:
    """Returns a random plan of a stream."""
    kinds = _streams[stream]
    weights = [kind.weight for kind in kinds]
    return source.random.choices(kinds, weights)[0].make(source)
