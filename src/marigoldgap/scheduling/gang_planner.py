"""All-or-nothing gang reservations over the entry instances of a zone.

A digest gives the free capacity of an entry instance as a sum over its workers,
so an instance may reserve less than planned. The planner then plans the missing
tasks on the other instances, and releases the whole gang if they lack capacity
too. Only one gang per service reserves at a time; otherwise two gangs that each
hold a part of what the other needs would deadlock.
"""

from __future__ import annotations

from collections.abc import Mapping

from marigoldgap import errors
from marigoldgap.scheduling import gang_model
from marigoldgap.scheduling import gang_reservation
from marigoldgap.scheduling import model
from marigoldgap.scheduling import resources


class GangPlanner:
    """Plans one gang at a time for each service.

    Args:
        reservation_ms: Lifetime in milliseconds of a reservation at the
            instances, and of a hold.
    """

    def __init__(self, reservation_ms: int) -> None:
        self._reservation_ms = reservation_ms
        self._by_service: dict[str, gang_reservation.GangReservation] = {}
        self._by_job: dict[str, gang_reservation.GangReservation] = {}
        self._holds: dict[str, tuple[str, int]] = {}

    def state(self, job_id: str) -> gang_model.GangState | None:
        """Returns the state of a gang, or None if it is not known."""
        reservation = self._by_job.get(job_id)
        return reservation.state if reservation else None

    def holders(self, job_id: str) -> frozenset[str]:
        """Returns the instances that must receive the commit or the release."""
        reservation = self._by_job.get(job_id)
        return reservation.holders if reservation else frozenset()

    def begin(
        self,
        gang: gang_model.Gang,
        free: Mapping[str, model.Resources],
        now_ms: int,
    ) -> gang_model.GangPlan | None:
        """Plans a gang.

        Args:
            gang: The gang.
            free: Free resources of the service at each entry instance.
            now_ms: The current time in milliseconds.

        Returns:
            What to reserve, or None if another gang of the service reserves or
            holds capacity, or if the whole gang does not fit.

        Raises:
            ConflictError: If the gang is already planned.
        """
        if gang.job_id in self._by_job:
            raise errors.ConflictError(f"gang {gang.job_id} is planned already")
        if gang.service in self._by_service:
            return None
        held = self._holds.get(gang.service)
        if held is not None and held[0] != gang.job_id and now_ms < held[1]:
            return None
        reservation = gang_reservation.GangReservation(
            gang, now_ms + self._reservation_ms
        )
        plan = reservation.plan(free)
        if plan is None:
            return None
        self._holds.pop(gang.service, None)
        self._by_service[gang.service] = reservation
        self._by_job[gang.job_id] = reservation
        return plan

    def hold(self, gang: gang_model.Gang, now_ms: int) -> bool:
        """Holds freed capacity for a gang that does not fit yet.

        Without a hold, small tasks would take each free slot and a large gang
        would starve.

        Returns:
            False if another gang holds, if a gang reserves, or if this gang's
            last hold ended less than a reservation lifetime ago.
        """
        if gang.service in self._by_service:
            return False
        held = self._holds.get(gang.service)
        if held is not None:
            job_id, hold_end_ms = held
            if now_ms < hold_end_ms:
                return job_id == gang.job_id
            if (
                job_id == gang.job_id
                and now_ms < hold_end_ms + self._reservation_ms
            ):
                return False
        hold_end_ms = now_ms + self._reservation_ms
        self._holds[gang.service] = (gang.job_id, hold_end_ms)
        return True

    def record_reserved(
        self,
        job_id: str,
        instance_id: str,
        count: int,
        free: Mapping[str, model.Resources],
        now_ms: int,
    ) -> gang_model.GangPlan | None:
        """Records how many tasks an instance reserved.

        Returns:
            A further plan for the tasks that the instance could not reserve, or
            None. If the state is READY, the caller must commit at all holders;
            if it is RELEASED or EXPIRED, it must release at all holders.
        """
        reservation = self._by_job.get(job_id)
        if reservation is None or instance_id not in reservation.requested:
            return None
        if reservation.state is not gang_model.GangState.RESERVING:
            return None
        reservation.record(instance_id, count)
        if now_ms >= reservation.expires_ms:
            self._end(reservation, gang_model.GangState.EXPIRED)
            return None
        if reservation.missing > 0:
            plan = reservation.plan(free)
            if plan is None:
                self._end(reservation, gang_model.GangState.RELEASED)
            return plan
        if not reservation.requested:
            reservation.state = gang_model.GangState.READY
        return None

    def commit(self, job_id: str, now_ms: int) -> bool:
        """Commits a ready gang; returns False if it must be released instead.

        The commit must reach all holders before their reservations expire, so
        it is refused when a tenth of the reservation lifetime or less is left.
        """
        reservation = self._by_job.get(job_id)
        if (
            reservation is None
            or reservation.state is not gang_model.GangState.READY
        ):
            return False
        if now_ms >= reservation.expires_ms - self._reservation_ms // 10:
            self._end(reservation, gang_model.GangState.EXPIRED)
            return False
        self._end(reservation, gang_model.GangState.COMMITTED)
        return True

    def release(self, job_id: str) -> None:
        """Releases an active gang, for example after loss of an instance."""
        reservation = self._by_job.get(job_id)
        if reservation is not None and self._is_active(reservation):
            self._end(reservation, gang_model.GangState.RELEASED)

    def expire(self, now_ms: int) -> list[str]:
        """Ends expired reservations and returns the ids of their jobs."""
        expired = [
            reservation
            for reservation in self._by_service.values()
            if now_ms >= reservation.expires_ms
        ]
        for reservation in expired:
            self._end(reservation, gang_model.GangState.EXPIRED)
        return [reservation.gang.job_id for reservation in expired]

    def forget(self, job_id: str) -> None:
        """Drops a gang that was committed or released at all holders."""
        reservation = self._by_job.get(job_id)
        if reservation is not None and not self._is_active(reservation):
            del self._by_job[job_id]

    def may_backfill(self, task: model.TaskSpec, now_ms: int) -> bool:
        """Returns whether a task may use capacity that a gang waits for.

        This requires that the task, by its declared run time, ends before the
        reservation or hold of the gang expires.
        """
        expires_ms = self._reserved_until_ms(task.service)
        if expires_ms is None or now_ms >= expires_ms:
            return True
        if task.expected_run_ms is None:
            return False
        return now_ms + task.expected_run_ms < expires_ms

    def _reserved_until_ms(self, service: str) -> int | None:
        reservation = self._by_service.get(service)
        if reservation is not None:
            return reservation.expires_ms
        held = self._holds.get(service)
        return held[1] if held else None

    def _is_active(self, reservation: gang_reservation.GangReservation) -> bool:
        return self._by_service.get(reservation.gang.service) is reservation

    def _end(
        self,
        reservation: gang_reservation.GangReservation,
        state: gang_model.GangState,
    ) -> None:
        reservation.state = state
        del self._by_service[reservation.gang.service]


def is_impossible(
    gang: gang_model.Gang, workers: Mapping[str, model.Resources]
) -> bool:
    """Returns whether the gang would not fit even if the zone were empty.

    Args:
        gang: The gang.
        workers: Total capacity of each worker of the service in the zone.
    """
    fitting_count = sum(
        resources.copies_in(gang.resources, capacity)
        for capacity in workers.values()
    )
    return fitting_count < gang.tasks
