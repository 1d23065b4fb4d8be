"""Handlers for the rules."""

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

_HISTORY_DEFAULT = 20
_HISTORY_MOST = 500


@registry.route("GET", "/rules")
async def show_rules(
    parts: services.OperatorServices, _: starlette_requests.Request
) -> messages.RulesAnswer:
    """Returns the rules that are in force at this instance."""
    image = parts.config.state.configuration
    return {
        "version": image.version,
        "text": image.rules_text,
        "author": image.rules_author,
    }


@registry.route("POST", "/rules")
async def apply_rules(
    parts: services.OperatorServices, request: starlette_requests.Request
) -> messages.AppliedAnswer:
    """Publishes a new rules text."""
    values = await requests.read_object(request)
    result = await parts.config.publisher.apply_rules(
        requests.number_field(values, "base_version"),
        requests.text_field(values, "text"),
        requests.author_field(values),
    )
    zones = parts.config.in_force.version_in_force(result.version)
    return {
        "version": result.version,
        "changed": result.changed,
        "zones": zones,
    }


@registry.route("POST", "/rules/preview")
async def preview_rules(
    parts: services.OperatorServices, request: starlette_requests.Request
) -> messages.PreviewAnswer:
    """Returns what a rules text would do; nothing is changed."""
    text = requests.text_field(await requests.read_object(request), "text")
    state = parts.config.state
    after = parser.parse(text)
    result = preview.preview(
        state.rules, after, parts.status.situation(), parts.targets
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
    parts: services.OperatorServices, request: starlette_requests.Request
) -> messages.HistoryAnswer:
    """Returns the newest versions from the table service."""
    limit = requests.number_parameter(
        request, "limit", _HISTORY_DEFAULT, _HISTORY_MOST
    )
    head = await parts.config.reader.head()
    since = max(0, head.version - limit)
    versions = await parts.config.reader.history(since, limit)
    return {"versions": [_item(each) for each in reversed(versions)]}


@registry.route("GET", "/in-force")
async def show_in_force(
    parts: services.OperatorServices, request: starlette_requests.Request
) -> messages.InForceAnswer:
    """Returns where a version, or the withdrawal of a key, is in force."""
    newest = parts.config.state.version
    version = requests.number_parameter(request, "version", newest, 10**12)
    key_id = request.query_params.get("key_id")
    tracker = parts.config.in_force
    if key_id is None:
        return {"zones": tracker.version_in_force(version)}
    known = version if "version" in request.query_params else None
    return {"zones": tracker.withdrawal_in_force(key_id, known)}


def _item(change: config_model.ConfigVersion) -> messages.HistoryItem:
    return {
        "version": change.version,
        "kind": change.kind,
        "author": change.author,
        "applied_at_ms": change.applied_at_ms,
        "changes": _changes(change),
    }


def _changes(change: config_model.ConfigVersion) -> list[str]:
    """Describes a version; hashes of keys are left out."""
    if change.kind == config_model.KIND_RULES:
        return difference.format_changes(
            version_changes.line_changes(change.content)
        )
    if change.kind == config_model.KIND_KEY:
        record = config_model.KeyRecord(*change.content["record"])
        return [f"+ key {record.key_id} of team {record.team}"]
    return [f"- key {change.content.get('key_id', '')}"]
