"""Leader election: chooses the instance that schedules a cell.

The election row is written only when leadership changes or is released; its
epoch is the fencing token that workers check. The leader proves that it is
alive by a heartbeat in a separate row. Another instance takes over when the
heartbeat has not changed for a timeout on that instance's monotonic clock.
Only time in which the instance could read the store counts.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap import measures
from marigoldgap.cell import authority
from marigoldgap.cell import candidacy as candidacies
from marigoldgap.cell import containment
from marigoldgap.cell import former_leader
from marigoldgap.cell import leader_row
from marigoldgap.cell import records
from marigoldgap.cell import store

_log = decision_log.DecisionLogger("election")

# Interval of the leader's heartbeat.
HEARTBEAT_S = 0.3
# Minimum time between a poll and an early poll after it.
_MIN_EARLY_POLL_S = 0.2
# A leader whose heartbeat has not changed for this long has failed: four
# heartbeat intervals.
_HEARTBEAT_TIMEOUT_S = 1.25
# A poll that is later than planned by more than this restarts the heartbeat
# timeout, since the store may have been unavailable.
_MAX_POLL_LATENESS_S = 0.85
# Pause after a failed read.
_RETRY_S = 0.2


class ElectionWin(NamedTuple):
    """An election that this instance has won.

    Attributes:
        election_row: The election row as this instance wrote it.
        epoch: Number of the election.
        claimed_s: Monotonic time, in seconds, at which the claim was sent.
        former: Times at which the leaders before this one have ended.
    """

    election_row: store.Row
    epoch: int
    claimed_s: float
    former: former_leader.FormerLimits


class _Silence(NamedTuple):
    """Overdue heartbeat of a leader.

    Attributes:
        check: Holds while there is no later heartbeat.
        since_s: Monotonic time, in seconds, at which it was first seen, so that
            it was sent before.
    """

    check: store.RowCheck
    since_s: float


class Election:
    """Watches the election and takes part in it.

    Args:
        rows: The store.
        instance: Name of this instance.
        address: `ip:port` of this instance for calls from its peers.
        candidacy: How well this instance is placed.
        serve: Schedules after a won election, until the leadership ends.
    """

    def __init__(
        self,
        rows: store.Store,
        instance: str,
        address: str,
        candidacy: candidacies.Candidacy,
        serve: Callable[[ElectionWin], Awaitable[None]],
    ) -> None:
        self.leader: leader_row.Leader | None = None
        self._rows = rows
        self._instance = instance
        self._address = address
        self._serve = serve
        self._candidacy = candidacy
        self._is_candidate = True
        # Version of the election row and content of the heartbeat row at the
        # latest poll, and the time of the first poll that found them.
        self._observed: tuple[int, bytes | None] | None = None
        self._observed_since_s = 0.0
        self._last_poll_s = float("-inf")
        self._latest_read_s = 0.0
        # An election won by `take_over` that `run` has not served yet.
        self._pending_win: ElectionWin | None = None
        self._wake = asyncio.Event()
        self._is_serving = False
        self._is_claiming = False
        # Monotonic time, in seconds, at which it last vouched for a leader.
        self._vouched_s = float("-inf")

    @property
    def claim_delay_s(self) -> float:
        """Seconds before a claim, so that better placed instances go first."""
        return self._candidacy.claim_delay_s

    @property
    def is_preferred(self) -> bool:
        """Whether this instance is a preferred candidate."""
        return self._candidacy.is_preferred

    def poll_soon(self) -> None:
        """Requests an early poll, since the leader may have changed."""
        if clock.now_s() - self._last_poll_s >= _MIN_EARLY_POLL_S:
            self._wake.set()

    def withdraw(self) -> None:
        """Takes part in no further elections."""
        self._is_candidate = False

    async def run(self) -> None:
        """Watches the election until cancelled; schedules after each win."""
        while True:
            try:
                won = None if self._pending_win else await self._poll()
            except store.StoreError as error:
                _log.warning("read_failed", cause=str(error))
                await asyncio.sleep(_RETRY_S)
                continue
            except Exception as error:
                # An instance that follows no election serves nobody.
                containment.record("election", error)
                await asyncio.sleep(_RETRY_S)
                continue
            # An election may have been won by `take_over` during the poll.
            won, self._pending_win = won or self._pending_win, None
            if won is None:
                await self._pause()
                continue
            if not self._is_candidate:
                await self._release_unserved(won)
                continue
            self._is_serving = True
            try:
                await self._serve(won)
            except Exception as error:
                await self._on_failed(won, error)
            self._is_serving = False
            self._observed = None

    async def _on_failed(self, won: ElectionWin, error: Exception) -> None:
        """Lets other instances go first after a leadership that failed."""
        if not isinstance(error, errors.MarigoldgapError):
            containment.record("leadership", error, f"epoch {won.epoch}")
        _log.error("leadership_failed", epoch=won.epoch, cause=str(error))
        # An error without a part came up before or after the parts ran.
        part = getattr(error, "part", "leadership")
        self._candidacy.record_failure(part, won.epoch)
        await self._release_unserved(won)

    async def _release_unserved(self, won: ElectionWin) -> None:
        """Releases leadership that this instance cannot exercise.

        Its scheduling failed, or the instance was asked to stop meanwhile.
        """
        try:
            await self.release(won, was_obeyed=False)
        except store.StoreError as error:
            # Another instance takes over when the heartbeat is overdue.
            _log.warning("release_failed", epoch=won.epoch, cause=str(error))

    async def take_over(
        self,
        epoch: int,
        cause: str,
        longest_read_s: float = float("inf"),
        has_stopped: bool = False,
        has_ended: bool = False,
    ) -> bool:
        """Takes leadership over from an instance that cannot hold it.

        Args:
            epoch: Epoch of the leadership that ends.
            cause: Why it ends, for the log.
            longest_read_s: Longest time, in seconds, that a read of the store
                may take; if it takes longer, this instance declines, unless
                the leadership was already released.
            has_stopped: Whether the leader of that epoch and those before it
                have stopped sending starts until this call fails.
            has_ended: Whether the process of that leader has certainly ended.

        Returns:
            Whether this instance is the leader now.

        Raises:
            StoreError: The claim failed.
        """
        if not self._is_candidate or self._is_serving or self._pending_win:
            return False
        try:
            row, heartbeat = await self._read()
        except store.StoreError as error:
            _log.info(
                "take_over_declined", former_epoch=epoch, cause=str(error)
            )
            return False
        if row is None or self.leader is None or self.leader.epoch != epoch:
            return False
        if not self._is_candidate:
            # The instance was asked to stop during the read.
            return False
        read_s = self._latest_read_s
        if read_s > longest_read_s and not self.leader.is_released:
            _log.info(
                "take_over_declined",
                former_epoch=epoch,
                read_s=round(read_s, 3),
                cause="the store is also slow for this instance",
            )
            return False
        _log.info("taking_over", former_epoch=epoch, cause=cause)
        if has_ended and self._has_outlasted_former(heartbeat):
            has_stopped = True
        won = await self._claim(row, has_stopped=has_stopped)
        if won is None:
            return False
        self._pending_win = won
        self._wake.set()
        return True

    def vouch(self, epoch: int) -> bool:
        """Returns whether this instance knows no leader after that of an epoch.

        If this instance is elected later, it assumes that the leader of that
        epoch went on until this moment.
        """
        if self._is_claiming or self._is_serving or self._pending_win:
            return False
        if self.leader is not None and self.leader.epoch > epoch:
            return False
        self._vouched_s = clock.now_s()
        return True

    async def _pause(self) -> None:
        try:
            async with asyncio.timeout(self._candidacy.poll_interval_s):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()

    async def release(self, won: ElectionWin, was_obeyed: bool) -> None:
        """Releases leadership, so that another instance takes over at once.

        Args:
            won: The election that this instance has won.
            was_obeyed: Whether all workers have accepted the fencing token of
                this instance.
        """
        leader = leader_row.Leader(
            won.epoch, self._instance, self._address, True, was_obeyed
        )
        check = store.RowCheck(
            won.election_row.row_key, won.election_row.version
        )
        await self._rows.transact(
            store.Transaction(
                (check,), ((records.ELECTION, leader_row.encode(leader)),)
            )
        )

    async def _read(self) -> tuple[store.Row | None, store.Row | None]:
        """Reads the election row and the heartbeat row."""
        started_s = clock.now_s()
        first, end = records.ELECTION_RANGE
        page = await self._rows.read(records.CELL, records.CELL, first, end)
        took_s = clock.now_s() - started_s
        self._candidacy.record_read(took_s)
        self._latest_read_s = took_s
        found = {row.row_key: row for row in page.rows}
        row = found.get(records.ELECTION)
        if row is not None:
            self._observe_leader(leader_row.decode(row))
        return row, found.get(records.HEARTBEAT)

    async def _poll(self) -> ElectionWin | None:
        row, heartbeat = await self._read()
        is_vacant = row is None or (
            self.leader is not None
            and (
                self.leader.is_released
                # This instance was the leader before it was restarted, or its
                # leadership failed and was not released.
                or self.leader.instance == self._instance
            )
        )
        is_overdue = self._is_heartbeat_overdue(row, heartbeat, clock.now_s())
        if not self._is_candidate or not (is_vacant or is_overdue):
            return None
        silence = None
        if not is_vacant:
            silence = _Silence(
                store.RowCheck(
                    records.HEARTBEAT, heartbeat.version if heartbeat else 0
                ),
                self._observed_since_s,
            )
        await asyncio.sleep(self.claim_delay_s)
        if not self._is_candidate:
            return None
        # An earlier process of this instance has ended.
        has_stopped = (
            self.leader is not None
            and self.leader.instance == self._instance
            and self._has_outlasted_former(heartbeat)
        )
        return await self._claim(row, silence, has_stopped)

    def _is_heartbeat_overdue(
        self, row: store.Row | None, heartbeat: store.Row | None, now: float
    ) -> bool:
        observed = (
            row.version if row is not None else 0,
            heartbeat.value if heartbeat is not None else None,
        )
        # A slow store delays both this read and the leader's heartbeat write.
        read_delay_s = self._latest_read_s
        max_interval_s = (
            self._candidacy.poll_interval_s
            + _MAX_POLL_LATENESS_S
            + read_delay_s
        )
        has_gap = now - self._last_poll_s > max_interval_s
        self._last_poll_s = now
        if observed != self._observed or has_gap:
            self._observed = observed
            self._observed_since_s = now
            return False
        return (
            now - self._observed_since_s
            >= _HEARTBEAT_TIMEOUT_S + 2 * read_delay_s
        )

    async def _claim(
        self,
        row: store.Row | None,
        silence: _Silence | None = None,
        has_stopped: bool = False,
    ) -> ElectionWin | None:
        """Claims leadership.

        Args:
            row: The election row as it was read.
            silence: Overdue heartbeat of the former leader; None if it is
                replaced for another reason.
            has_stopped: Whether all former leaders have stopped sending starts.
        """
        self._is_claiming = True
        try:
            return await self._send_claim(row, silence, has_stopped)
        finally:
            self._is_claiming = False

    async def _send_claim(
        self,
        row: store.Row | None,
        silence: _Silence | None,
        has_stopped: bool,
    ) -> ElectionWin | None:
        former = self.leader
        claimed_s = clock.now_s()
        epoch = former.epoch + 1 if former is not None else 1
        claim = leader_row.Leader(epoch, self._instance, self._address, False)
        version = row.version if row is not None else 0
        checks = [store.RowCheck(records.ELECTION, version)]
        if silence is not None:
            checks.append(silence.check)
        content = leader_row.encode(claim)
        try:
            new_version = await self._rows.transact(
                store.Transaction(tuple(checks), ((records.ELECTION, content),))
            )
        except store.CheckFailedError as error:
            _log.info("election_lost", epoch=epoch)
            for current in error.rows:
                if current.row_key == records.ELECTION:
                    self._observe_leader(leader_row.decode(current))
            return None
        except store.StoreUnknownError:
            new_version = await self._find_claim(content)
            if not new_version:
                return None
        _log.info("elected", epoch=epoch, row_version=version)
        self.leader = claim
        measures.ELECTIONS.inc()
        election_row = store.Row(records.ELECTION, content, new_version)
        return ElectionWin(
            election_row,
            epoch,
            claimed_s,
            self._former_limits(former, silence, has_stopped),
        )

    def _former_limits(
        self,
        former: leader_row.Leader | None,
        silence: _Silence | None,
        has_stopped: bool,
    ) -> former_leader.FormerLimits:
        """Returns when the leaders before a claim that was applied have ended."""
        now = clock.now_s()
        if former is None or former.was_obeyed:
            return former_leader.released(now)
        if has_stopped:
            return former_leader.stopped(now)
        if silence is None:
            return former_leader.unconfirmed(now)
        return former_leader.unconfirmed(max(silence.since_s, self._vouched_s))

    def _has_outlasted_former(self, heartbeat: store.Row | None) -> bool:
        """Returns whether the leaders before the present one cannot send starts.

        The election row does not prove it: its claim may have been applied
        late, while the leader before it was still working. Enough heartbeats of
        its epoch do: their leader led until the limits of all before it had
        passed.
        """
        leader = self.leader
        if leader is None or heartbeat is None:
            return False
        try:
            fields = records.decode(heartbeat.value)
            led_s = HEARTBEAT_S * (int(fields["beat"]) - 1)
        except (errors.MarigoldgapError, KeyError, TypeError, ValueError):
            return False
        return (
            fields.get("epoch") == leader.epoch
            and led_s > authority.FORMER_LEASES_S
        )

    async def _find_claim(self, content: bytes) -> int:
        """Returns the row version of the claim if it was stored, else 0."""
        page = await self._rows.read(
            records.CELL, records.CELL, records.ELECTION.key
        )
        for row in page.rows:
            if row.row_key == records.ELECTION and row.value == content:
                return row.version
        return 0

    def _observe_leader(self, leader: leader_row.Leader) -> None:
        if leader != self.leader:
            _log.info(
                "leader_changed",
                epoch=leader.epoch,
                leader=leader.instance,
                is_released=leader.is_released,
            )
        self.leader = leader
