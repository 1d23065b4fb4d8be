"""Client of the operators API for the commands."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple
import urllib.parse

from marigoldgap import errors
from marigoldgap import http_client
from marigoldgap.operators import api_client
from marigoldgap.operators import messages


class InstanceAnswer(NamedTuple):
    """Response of one instance, or the error of the call.

    Attributes:
        address: Address of the instance.
        answer: JSON value of the response; None after an error.
        error: Code and detail of the error; empty after a response.
    """

    address: str
    answer: Any
    error: str


class OperatorsClient:
    """Calls the operators API.

    Args:
        api: Sends the requests with the operators' key.
    """

    def __init__(self, api: api_client.ApiClient) -> None:
        self._api = api

    async def rules(self) -> messages.RulesAnswer:
        """Returns the rules in force."""
        answer: messages.RulesAnswer = await self._get("/rules")
        return answer

    async def apply_rules(
        self, base_version: int, text: str, author: str
    ) -> messages.AppliedAnswer:
        """Publishes a rules text; the call is idempotent."""
        body = {"base_version": base_version, "text": text, "author": author}
        answer: messages.AppliedAnswer = await self._post("/rules", body)
        return answer

    async def preview_rules(self, text: str) -> messages.PreviewAnswer:
        """Returns the effects that a rules text would have."""
        answer: messages.PreviewAnswer = await self._post(
            "/rules/preview", {"text": text}
        )
        return answer

    async def history(self, limit: int) -> messages.HistoryAnswer:
        """Returns at most `limit` configuration versions, newest first."""
        answer: messages.HistoryAnswer = await self._get(
            f"/rules/history?limit={limit}"
        )
        return answer

    async def grant_key(self, team: str, author: str) -> messages.GrantedAnswer:
        """Grants a key; the call is not retried after a lost response."""
        answer: messages.GrantedAnswer = await self._api.call(
            "POST",
            messages.PATH_PREFIX + "/keys",
            {"team": team, "author": author},
            repeatable=False,
        )
        return answer

    async def withdraw_key(
        self, key_id: str, author: str
    ) -> messages.WithdrawnAnswer:
        """Withdraws a key; the call is idempotent."""
        path = f"/keys/{http_client.quote(key_id)}/withdraw"
        answer: messages.WithdrawnAnswer = await self._post(
            path, {"author": author}
        )
        return answer

    async def keys(self) -> messages.KeysAnswer:
        """Returns the granted keys without their secrets."""
        answer: messages.KeysAnswer = await self._get("/keys")
        return answer

    async def version_in_force(self, version: int) -> messages.Zones:
        """Returns, for each zone, whether a version is in force."""
        answer: messages.InForceAnswer = await self._get(
            f"/in-force?version={version}"
        )
        return answer["zones"]

    async def withdrawal_in_force(
        self, key_id: str, version: int | None
    ) -> messages.Zones:
        """Returns, for each zone, whether a withdrawn key is rejected."""
        query = {"key_id": key_id}
        if version is not None:
            query["version"] = str(version)
        answer: messages.InForceAnswer = await self._get(
            f"/in-force?{urllib.parse.urlencode(query)}"
        )
        return answer["zones"]

    async def explain(self, kind: str, name: str) -> messages.ExplainAnswer:
        """Explains a team, a queue or a job."""
        answer: messages.ExplainAnswer = await self._get(
            f"/explain/{http_client.quote(kind)}/{http_client.quote(name)}"
        )
        return answer

    async def instance_statuses(self) -> Sequence[InstanceAnswer]:
        """Returns the status of each configured instance."""
        return await self._get_from_all("/status")

    async def instance_timelines(
        self, subject: str, since: int
    ) -> Sequence[InstanceAnswer]:
        """Returns the events of each configured instance."""
        query = urllib.parse.urlencode({"id": subject, "since": since})
        return await self._get_from_all(f"/timeline?{query}")

    async def close(self) -> None:
        """Closes all connections."""
        await self._api.close()

    async def _get_from_all(self, path: str) -> Sequence[InstanceAnswer]:
        return await asyncio.gather(
            *(self._get_from(address, path) for address in self._api.addresses)
        )

    async def _get_from(self, address: str, path: str) -> InstanceAnswer:
        try:
            answer = await self._api.call_at(
                address, "GET", messages.PATH_PREFIX + path
            )
        except errors.MarigoldgapError as error:
            return InstanceAnswer(
                address, None, f"{error.code}: {error.detail}"
            )
        return InstanceAnswer(address, answer, "")

    async def _get(self, path: str) -> Any:
        return await self._api.call("GET", messages.PATH_PREFIX + path)

    async def _post(self, path: str, body: dict[str, Any]) -> Any:
        return await self._api.call("POST", messages.PATH_PREFIX + path, body)
