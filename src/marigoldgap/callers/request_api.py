"""HTTP endpoint for requests: `POST /v1/queues/{queue}/requests`."""

from __future__ import annotations

from starlette import requests
from starlette import responses

from marigoldgap import clock
from marigoldgap import errors
from marigoldgap import http_client
from marigoldgap import identifiers
from marigoldgap.callers import bodies
from marigoldgap.callers import interfaces
from marigoldgap.dispatch import forwarded_header
from marigoldgap.rules import model as rules_model
from marigoldgap.scheduling import model
from marigoldgap.settings import model as settings_model
from marigoldgap.workers import model as workers_model

_MAX_DEADLINE_MS = 86_400_000
_MAX_IDEMPOTENCY_KEY_LENGTH = 255
_DEFAULT_RESOURCES = model.Resources()
_BOOLEAN_BY_TEXT = {"true": True, "false": False}
# Headers that the server of this instance sets itself, and the one by which
# entry instances distinguish a rejection from a worker's response.
_RESERVED_HEADERS = frozenset({"date", "server", "marigoldgap-ran"})


class RequestApi:
    """Accepts requests from callers and from other entry instances.

    Args:
        settings: Settings of this instance.
        verifier: Checks the keys of callers.
        rules: The rules in force.
        dispatcher: Runs the requests.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        verifier: interfaces.KeyVerifier,
        rules: interfaces.RulesSource,
        dispatcher: interfaces.RequestDispatcher,
    ) -> None:
        self._settings = settings
        self._verifier = verifier
        self._rules = rules
        self._dispatcher = dispatcher

    async def submit(self, request: requests.Request) -> responses.Response:
        """Runs one request and returns the worker's complete response."""
        queue = self._find_queue(request.path_params["queue"])
        forwarded = request.headers.get(forwarded_header.HEADER)
        team = ""
        if forwarded is None:
            # Verified before the body is read: an unauthenticated client must
            # not make this instance buffer a body.
            team = self._verify_key(request, queue)
        payload = await bodies.read(
            request, self._settings.queue.largest_body_bytes
        )
        if forwarded is not None:
            team = forwarded_header.verify(
                self._settings.cluster_secret, forwarded, queue.name, payload
            )
        task = self._create_task(request, queue, team)
        answer = await self._dispatcher.submit(
            task,
            payload,
            forwarded is not None,
            _parse_idempotency_key(request),
        )
        return _to_http_response(answer)

    def _find_queue(self, name: str) -> rules_model.QueueRule:
        queue = self._rules.rules.queues.get(name)
        if queue is None:
            raise errors.NotFoundError(f"there is no queue {name}")
        return queue

    def _verify_key(
        self, request: requests.Request, queue: rules_model.QueueRule
    ) -> str:
        authorization = request.headers.get("authorization")
        return self._verifier.verify(authorization, queue.name)

    def _create_task(
        self,
        request: requests.Request,
        queue: rules_model.QueueRule,
        team: str,
    ) -> model.TaskSpec:
        return model.TaskSpec(
            task_id=identifiers.new_task_id(self._settings.instance_id),
            team=team,
            queue=queue.name,
            kind=queue.kind,
            resources=_DEFAULT_RESOURCES,
            service=queue.service,
            idempotent=_parse_idempotent(request),
            deadline_ms=clock.monotonic_ms()
            + self._start_timeout_ms(request, queue),
            priority=queue.priority,
        )

    def _start_timeout_ms(
        self, request: requests.Request, queue: rules_model.QueueRule
    ) -> int:
        """Returns how long the request may wait for its start, in ms."""
        text = request.headers.get("marigoldgap-deadline-ms")
        if text is not None:
            return _parse_deadline_ms(text)
        if queue.deadline_s is not None:
            return queue.deadline_s * clock.MILLISECONDS_PER_SECOND
        return self._settings.queue.default_deadline_ms


def _parse_deadline_ms(text: str) -> int:
    if text.isdecimal() and 0 < int(text) <= _MAX_DEADLINE_MS:
        return int(text)
    raise errors.InvalidRequestError(
        "Marigoldgap-Deadline-Ms: expected 1 to 86400000 milliseconds"
    )


def _parse_idempotent(request: requests.Request) -> bool:
    text = request.headers.get("marigoldgap-idempotent", "true")
    if text not in _BOOLEAN_BY_TEXT:
        raise errors.InvalidRequestError(
            "Marigoldgap-Idempotent: expected true or false"
        )
    return _BOOLEAN_BY_TEXT[text]


def _parse_idempotency_key(request: requests.Request) -> str:
    key = request.headers.get("idempotency-key", "")
    if len(key) > _MAX_IDEMPOTENCY_KEY_LENGTH:
        raise errors.InvalidRequestError(
            "Idempotency-Key: expected at most 255 characters"
        )
    return key


def _to_http_response(answer: workers_model.WorkerAnswer) -> responses.Response:
    response = responses.Response(answer.body, answer.status)
    response.raw_headers.extend(
        (name.encode(), line.encode())
        for name, text in answer.headers.items()
        if name not in _RESERVED_HEADERS
        for line in text.split(http_client.COOKIE_SEPARATOR)
    )
    return response
