"""Forwards requests over HTTP to entry instances with free capacity."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
import json

from marigoldgap import errors
from marigoldgap import http_client
from marigoldgap.dispatch import forwarded_header
from marigoldgap.dispatch import interfaces
from marigoldgap.scheduling import model
from marigoldgap.settings import model as settings_model
from marigoldgap.workers import model as workers_model

HEADER_RAN = "marigoldgap-ran"
HEADER_TASK_ID = "marigoldgap-task-id"

# Round-trip times from section 1.5 of the design page: 1 ms one way between
# zones and 20 ms between regions; less inside a zone.
_SAME_ZONE_ROUND_TRIP_MS = 1.0
_SAME_REGION_ROUND_TRIP_MS = 2.0
_CROSS_REGION_ROUND_TRIP_MS = 40.0
# The link between regions carries about 15 Mbit/s for all traffic.
_CROSS_REGION_BYTES_PER_MS = 15_000_000 / 8 / 1_000
_CONNECTIONS = 64


class ForwardRefusedError(errors.OverloadedError):
    """The other instance refused the request; it did not run there."""

    code = "forward-refused"


class HttpForwarder:
    """Forwards to the nearest instance that has free capacity.

    Args:
        settings: The settings.
        peers: Directory of the other instances with their load.
        now_ms: Monotonic clock in milliseconds, the same as for the deadlines
            of tasks.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        peers: interfaces.PeerDirectory,
        now_ms: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._now_ms = now_ms
        self._client = http_client.HttpClient(_CONNECTIONS)
        self._in_flight: Counter[str] = Counter()

    def choose(
        self,
        task: model.TaskSpec,
        payload_bytes: int,
        expected_wait_ms: float,
    ) -> str | None:
        """Returns the instance to forward to, or None to run the task here.

        Args:
            task: The request.
            payload_bytes: Size of its body.
            expected_wait_ms: Expected wait in the queue of this instance. An
                instance in another region is chosen only if the round trip
                with the transfer of the body takes less.
        """
        offers = [
            (
                self._cost_ms(peer, payload_bytes),
                -self._free_places(peer, task),
                peer,
            )
            for peer in self._peers.peers()
            if not peer.draining and self._free_places(peer, task) > 0
        ]
        if not offers:
            return None
        cost_ms, _, peer = min(offers, key=lambda offer: offer[:2])
        if (
            cost_ms >= _CROSS_REGION_ROUND_TRIP_MS
            and cost_ms >= expected_wait_ms
        ):
            return None
        return peer.instance_id

    async def forward(
        self, instance_id: str, task: model.TaskSpec, payload: bytes
    ) -> workers_model.WorkerAnswer:
        """Sends the request to the other instance and returns its answer.

        Raises:
            OutcomeUnknownError: The work may have run there.
            ForwardRefusedError: The work did not run there.
            ConnectFailedError: Nothing was sent.
        """
        self._in_flight[instance_id] += 1
        try:
            answer = await self._client.exchange(
                "POST",
                self._address(instance_id),
                f"/v1/queues/{http_client.quote(task.queue)}/requests",
                self._headers(task, payload),
                payload,
            )
        finally:
            self._in_flight[instance_id] -= 1
        return _worker_answer(answer)

    async def close(self) -> None:
        """Closes idle connections."""
        await self._client.close()

    def _address(self, instance_id: str) -> str:
        for peer in self._peers.peers():
            if peer.instance_id == instance_id:
                return peer.address
        raise ForwardRefusedError(
            f"instance {instance_id} is not among the live peers any more"
        )

    def _headers(self, task: model.TaskSpec, payload: bytes) -> dict[str, str]:
        headers = {
            "Content-Type": "application/octet-stream",
            "Marigoldgap-Idempotent": "true" if task.idempotent else "false",
            forwarded_header.HEADER: forwarded_header.sign(
                self._settings.cluster_secret, task.team, task.queue, payload
            ),
        }
        if task.deadline_ms is not None:
            remaining_ms = max(1, task.deadline_ms - self._now_ms())
            headers["Marigoldgap-Deadline-Ms"] = str(remaining_ms)
        return headers

    def _cost_ms(self, peer: interfaces.PeerLoad, payload_bytes: int) -> float:
        if peer.zone == self._settings.zone:
            return _SAME_ZONE_ROUND_TRIP_MS
        if peer.region == self._settings.region:
            return _SAME_REGION_ROUND_TRIP_MS
        return (
            _CROSS_REGION_ROUND_TRIP_MS
            + payload_bytes / _CROSS_REGION_BYTES_PER_MS
        )

    def _free_places(
        self, peer: interfaces.PeerLoad, task: model.TaskSpec
    ) -> int:
        """Returns how many tasks of this size fit on the peer's workers.

        Requests in flight are subtracted, as the load that the peer reported
        last does not include them.
        """
        free = peer.load.free.get(task.service)
        if free is None:
            return 0
        fitting = [
            amount // needed
            for amount, needed in zip(free, task.resources, strict=True)
            if needed > 0
        ]
        return min(fitting, default=0) - self._in_flight[peer.instance_id]


def _worker_answer(
    answer: http_client.HttpAnswer,
) -> workers_model.WorkerAnswer:
    """Returns the worker's answer that the other instance passed on.

    Raises:
        ForwardRefusedError: The other instance refused; the work did not run.
        OutcomeUnknownError: The answer does not come from a worker, and the
            work may have run.
    """
    ran = answer.headers.get(HEADER_RAN)
    if ran == errors.Ran.NO.value:
        raise ForwardRefusedError(_problem_detail(answer))
    if ran is not None or HEADER_TASK_ID not in answer.headers:
        raise errors.OutcomeUnknownError(_problem_detail(answer))
    return workers_model.WorkerAnswer(
        answer.status, answer.headers, answer.body
    )


def _problem_detail(answer: http_client.HttpAnswer) -> str:
    try:
        problem = json.loads(answer.body)
        return str(problem["detail"])
    except (ValueError, KeyError, TypeError):
        return f"the other instance answered with status {answer.status}"


class NoForwarder:
    """Runs every request on this instance."""

    def choose(
        self,
        task: model.TaskSpec,
        payload_bytes: int,
        expected_wait_ms: float,
    ) -> str | None:
        """Returns None."""
        del task, payload_bytes, expected_wait_ms
        return None

    async def forward(
        self, instance_id: str, task: model.TaskSpec, payload: bytes
    ) -> workers_model.WorkerAnswer:
        """Refuses, as no other instance is known.

        Raises:
            ForwardRefusedError: Always.
        """
        del task, payload
        raise ForwardRefusedError(
            f"cannot forward to instance {instance_id}: forwarding is disabled"
        )
