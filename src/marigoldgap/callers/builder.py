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

# For the starlette application: unknown paths and methods are reported as
# problem details, too.
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
    """Returns the routes for requests, jobs and health checks.

    Args:
        settings: Settings of this instance.
        verifier: Checks the keys of callers.
        rules: The rules in force.
        dispatcher: Runs requests.
        jobs: Stores and runs jobs.
        readiness: Tells whether this instance can accept work.
    """
    request_endpoints = request_api.RequestApi(
        settings, verifier, rules, dispatcher
    )
    job_endpoints = job_api.JobApi(settings, verifier, rules, jobs)
    health_endpoints = health_api.HealthApi(readiness)
    return [
        _route("/v1/queues/{queue}/requests", "POST", request_endpoints.submit),
        _route("/v1/jobs", "POST", job_endpoints.submit),
        _route("/v1/jobs/cancel", "POST", job_endpoints.cancel_many),
        _route("/v1/jobs/{job_id}", "GET", job_endpoints.show),
        _route("/v1/jobs/{job_id}", "DELETE", job_endpoints.cancel),
        _route("/healthz", "GET", health_endpoints.health),
        _route("/readyz", "GET", health_endpoints.ready),
    ]


def _route(
    path: str, method: str, endpoint: problems.Endpoint
) -> routing.Route:
    return routing.Route(
        path, problems.with_problem_responses(endpoint), methods=[method]
    )
