"""HTTP client of the advice service, which names workers for a step."""

from __future__ import annotations

from marigoldgap import json_object
from marigoldgap.cell import ports
from marigoldgap.platform import decoding
from marigoldgap.web import client
from marigoldgap.web import messages


class AdviceClient:
    """Asks the advice service which workers may run a step.

    Args:
        pool: HTTP connection pool.
        address: `ip:port` of the service.
    """

    def __init__(self, pool: client.HttpPool, address: str) -> None:
        self._pool = pool
        self._address = address

    async def ask(
        self, step: str, workers: list[str], timeout_s: float
    ) -> ports.Tickets:
        """Asks which of the workers may run a step.

        Args:
            step: `job.occurrence.step`.
            workers: Identifiers of at most `ports.MAX_ADVISED_WORKERS` workers.
            timeout_s: Timeout of the call in seconds.

        Returns:
            The approved workers with their tickets, and how long these are
            valid.

        Raises:
            AdviceBusyError: The service rejects the call because of load.
            ExchangeError: There is no response, or its status is not 200.
            FormatError: The response body cannot be decoded.
        """
        body = json_object.encode({"step": step, "workers": workers})
        answer = await self._pool.exchange(
            "POST", self._address, "/v1/advise", body, timeout_s
        )
        if answer.status == 429:
            raise ports.AdviceBusyError(
                "the advice service is busy: it answered 429"
            )
        if answer.status != 200:
            raise messages.InvalidAnswerError(
                f"the advice service answered {answer.status}"
            )
        fields = decoding.decode_object(answer.body)
        try:
            by_worker = {str(row[0]): str(row[1]) for row in fields["good"]}
        except (KeyError, IndexError, TypeError) as error:
            raise decoding.FormatError(
                "answer of the advice service: field 'good' is missing or"
                f" malformed: {error!r}"
            ) from error
        return ports.Tickets(by_worker, decoding.number(fields, "validMs"))
