"""Handlers that grant, withdraw and list the keys of callers."""

from __future__ import annotations

import re

from starlette import requests as starlette_requests

from marigoldgap import errors
from marigoldgap.operators import messages
from marigoldgap.operators import registry
from marigoldgap.operators import requests
from marigoldgap.operators import services

_KEY_ID = re.compile(r"[0-9a-f]{16}")


@registry.route("POST", "/keys")
async def grant_key(
    operator_services: services.OperatorServices,
    request: starlette_requests.Request,
) -> messages.GrantedAnswer:
    """Grants a new key to a team."""
    values = await requests.read_object(request)
    result = await operator_services.config.publisher.grant_key(
        requests.text_field(values, "team"), requests.author_field(values)
    )
    return {
        "key": result.key,
        "key_id": result.key_id,
        "version": result.version,
    }


@registry.route("POST", "/keys/{key_id}/withdraw")
async def withdraw_key(
    operator_services: services.OperatorServices,
    request: starlette_requests.Request,
) -> messages.WithdrawnAnswer:
    """Withdraws a key permanently, even while the store is down."""
    key_id = request.path_params["key_id"]
    if not _KEY_ID.fullmatch(key_id):
        raise errors.InvalidRequestError(
            "a key id has 16 hexadecimal digits; it is the part of the key "
            "before the dot"
        )
    values = await requests.read_object(request)
    author = requests.author_field(values)
    result = await operator_services.config.withdrawals.withdraw(key_id, author)
    zones = operator_services.config.in_force.withdrawal_in_force(
        key_id, result.version
    )
    return {"key_id": key_id, "version": result.version, "zones": zones}


@registry.route("GET", "/keys")
async def list_keys(
    operator_services: services.OperatorServices, _: starlette_requests.Request
) -> messages.KeysAnswer:
    """Returns the granted keys without their secrets."""
    state = operator_services.config.state
    keys: list[messages.KeyItem] = [
        {
            "key_id": record.key_id,
            "team": record.team,
            "granted_by": record.granted_by,
            "granted_at_ms": record.granted_at_ms,
            "denied": state.is_denied(record.key_id),
        }
        for record in sorted(state.keys.values(), key=lambda item: item.team)
    ]
    return {"version": state.version, "keys": keys}
