"""Handlers that show, preview and apply the rules."""

from __future__ import annotations

from starlette import requests as starlette_requests

from marigoldgap.config_store import model as config_model
from marigoldgap.config_store import version_changes
from marigoldgap.operators import messages
from marigoldgap.operators import registry
from marigoldgap.operators import requests
from marigoldgap.operators import services
from marigoldgap.rules import difference
from marigoldgap.rules import parser
from marigoldgap.rules import preview

_DEFAULT_HISTORY_LIMIT = 20
_MAX_HISTORY_LIMIT = 500


@registry.route("GET", "/rules")
async def show_rules(
    operator_services: services.OperatorServices, _: starlette_requests.Request
) -> messages.RulesAnswer:
    """Returns the rules that are in force at this instance."""
    configuration = operator_services.config.state.configuration
    return {
        "version": configuration.version,
        "text": configuration.rules_text,
        "author": configuration.rules_author,
    }


@registry.route("POST", "/rules")
async def apply_rules(
    operator_services: services.OperatorServices,
    request: starlette_requests.Request,
) -> messages.AppliedAnswer:
    """Publishes a new rules text."""
    values = await requests.read_object(request)
    result = await operator_services.config.publisher.apply_rules(
        requests.number_field(values, "base_version"),
        requests.text_field(values, "text"),
        requests.author_field(values),
    )
    zones = operator_services.config.in_force.version_in_force(result.version)
    return {
        "version": result.version,
        "changed": result.changed,
        "zones": zones,
    }


@registry.route("POST", "/rules/preview")
async def preview_rules(
    operator_services: services.OperatorServices,
    request: starlette_requests.Request,
) -> messages.PreviewAnswer:
    """Returns the effects that a rules text would have, without applying it."""
    text = requests.text_field(await requests.read_object(request), "text")
    state = operator_services.config.state
    after = parser.parse(text)
    result = preview.preview(
        state.rules,
        after,
        operator_services.status.cluster_load(),
        operator_services.targets,
    )
    changes = difference.compare(state.rules.text, text)
    return {
        "version": state.version,
        "changes": difference.format_changes(changes),
        "sentences": list(result.sentences),
        "teams": [effect._asdict() for effect in result.teams],
    }


@registry.route("GET", "/rules/history")
async def show_history(
    operator_services: services.OperatorServices,
    request: starlette_requests.Request,
) -> messages.HistoryAnswer:
    """Returns the newest configuration versions from the table service."""
    limit = requests.number_parameter(
        request, "limit", _DEFAULT_HISTORY_LIMIT, _MAX_HISTORY_LIMIT
    )
    head = await operator_services.config.reader.head()
    since = max(0, head.version - limit)
    versions = await operator_services.config.reader.history(since, limit)
    return {
        "versions": [_history_item(change) for change in reversed(versions)]
    }


@registry.route("GET", "/in-force")
async def show_in_force(
    operator_services: services.OperatorServices,
    request: starlette_requests.Request,
) -> messages.InForceAnswer:
    """Returns the zones with a version or a key withdrawal in force."""
    newest = operator_services.config.state.version
    version = requests.number_parameter(request, "version", newest, 10**12)
    key_id = request.query_params.get("key_id")
    tracker = operator_services.config.in_force
    if key_id is None:
        return {"zones": tracker.version_in_force(version)}
    known_version = version if "version" in request.query_params else None
    return {"zones": tracker.withdrawal_in_force(key_id, known_version)}


def _history_item(change: config_model.ConfigVersion) -> messages.HistoryItem:
    return {
        "version": change.version,
        "kind": change.kind,
        "author": change.author,
        "applied_at_ms": change.applied_at_ms,
        "changes": _change_lines(change),
    }


def _change_lines(change: config_model.ConfigVersion) -> list[str]:
    """Returns the changes of a version as lines, without key hashes."""
    if change.kind == config_model.KIND_RULES:
        return difference.format_changes(
            version_changes.line_changes(change.content)
        )
    if change.kind == config_model.KIND_KEY:
        record = config_model.KeyRecord(*change.content["record"])
        return [f"+ key {record.key_id} of team {record.team}"]
    return [f"- key {change.content.get('key_id', '')}"]
