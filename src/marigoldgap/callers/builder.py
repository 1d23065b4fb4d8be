"""Builds the routes of the callers' API."""

from __future__ import annotations

from starlette import exceptions as starlette_exceptions
from starlette import routing

from marigoldgap.callers import health_api
from marigoldgap.callers import interfaces
from marigoldgap.callers import job_api
from marigoldgap.callers import problems
from marigoldgap.callers import request_api
from marigoldgap.settings import model as settings_model

# Passed to the starlette application so that unknown paths are problems too.
EXCEPTION_HANDLERS = {
    starlette_exceptions.HTTPException: problems.report_http_exception
}


def create_routes(
    settings: settings_model.Settings,
    verifier: interfaces.KeyVerifier,
    rules: interfaces.RulesSource,
    dispatcher: interfaces.RequestDispatcher,
    jobs: interfaces.JobsGateway,
    readiness: interfaces.Readiness,
) -> list[routing.Route]:
    """Returns the routes of section 3.5."""
    quick = request_api.RequestApi(settings, verifier, rules, dispatcher)
    job = job_api.JobApi(settings, verifier, rules, jobs)
    health = health_api.HealthApi(readiness)
    return [
        _route("/v1/queues/{queue}/requests", "POST", quick.submit),
        _route("/v1/jobs", "POST", job.submit),
        _route("/v1/jobs/cancel", "POST", job.cancel_many),
        _route("/v1/jobs/{job_id}", "GET", job.show),
        _route("/v1/jobs/{job_id}", "DELETE", job.cancel),
        _route("/healthz", "GET", health.health),
        _route("/readyz", "GET", health.ready),
    ]


def _route(
    path: str, method: str, endpoint: problems.Endpoint
) -> routing.Route:
    return routing.Route(path, problems.reported(endpoint), methods=[method])
