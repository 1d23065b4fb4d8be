"""Client of the operators' interface: applies rules and manages keys."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import NamedTuple

from bench import exchange
from bench import observations
from bench import wiring
from marigoldgap import clock
from marigoldgap import errors

_RETRY_INTERVAL_S = 0.5
_TIMEOUT_S = 10.0
_READ_TIMEOUT_S = 2.0
_SUCCESS_STATUSES = (200, 201)
_CONFLICT = 409


class OperationError(errors.MarigoldgapError):
    """An operator's request was not accepted in time."""

    code = "operation-failed"


class Key(NamedTuple):
    """A granted caller key and the configuration version with it."""

    team: str
    key: str
    key_id: str
    version: int


class Operator:
    """Sends operators' requests to entry instances.

    Args:
        client: Sends the requests.
        wired: Addresses and the operators' key.
    """

    def __init__(self, client: exchange.Client, wired: wiring.Wiring) -> None:
        self._client = client
        self._wired = wired
        self._headers = {"Authorization": f"Bearer {wired.operator_key}"}
        self.accepted: list[observations.VersionAccepted] = []

    async def send(
        self,
        method: str,
        path: str,
        value: Any = None,
        entry: wiring.Entry | None = None,
        timeout_s: float = _TIMEOUT_S,
    ) -> exchange.Reply:
        """Sends one request to one entry instance.

        Raises:
            NoReplyError: There was no complete response within the timeout.
        """
        chosen = entry or self._wired.entries[0]
        return await self._client.send(
            method,
            chosen.address,
            path,
            value,
            self._headers,
            timeout_s,
        )

    async def send_until(
        self, method: str, path: str, value: Any, timeout_s: float
    ) -> Any:
        """Tries the entry instances in turn until one accepts the request.

        Raises:
            OperationError: No entry instance accepted it in time.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        problem = "no entry instance answered"
        attempt = 0
        while loop.time() < deadline_s:
            entry = self._wired.entries[attempt % len(self._wired.entries)]
            attempt += 1
            try:
                reply = await self.send(method, path, value, entry)
            except exchange.NoReplyError as error:
                problem = str(error)
            else:
                if reply.status in _SUCCESS_STATUSES:
                    return reply.json()
                problem = f"{reply.status} {reply.body!r}"
            await asyncio.sleep(_RETRY_INTERVAL_S)
        raise OperationError(
            f"{method} {path} was not accepted within {timeout_s:g} s:"
            f" {problem}"
        )

    async def read_rules(
        self, entry: wiring.Entry
    ) -> observations.VersionSeen | None:
        """Returns the configuration version of an entry instance.

        An instance that has just started reports version 0 until it has a
        configuration, and is not ready; this is not a reverted version and
        gives None, as does a missing answer.
        """
        try:
            reply = await self.send(
                "GET", "/v1/operators/rules", None, entry, _READ_TIMEOUT_S
            )
        except exchange.NoReplyError:
            return None
        value = reply.json()
        if reply.status != _SUCCESS_STATUSES[0] or not isinstance(value, dict):
            return None
        if not value["version"]:
            return None
        return observations.VersionSeen(
            entry.instance_id,
            int(value["version"]),
            str(value["text"]),
            clock.monotonic_ms(),
        )

    async def apply_rules(
        self,
        base_version: int,
        text: str,
        author: str,
        entry: wiring.Entry,
    ) -> int | None:
        """Applies rules, without a retry; returns the new version, or None.

        None means that no acceptance was received: after a lost answer, the
        rules may still be in force.
        """
        value = {"base_version": base_version, "text": text, "author": author}
        try:
            reply = await self.send("POST", "/v1/operators/rules", value, entry)
        except exchange.NoReplyError:
            return None
        if reply.status not in _SUCCESS_STATUSES:
            return None
        return self._record_accepted(reply.json(), text)

    async def apply_first_rules(self, text: str, timeout_s: float) -> int:
        """Applies the rules of a new deployment.

        Raises:
            OperationError: No entry instance accepted them in time.
        """
        value = {"base_version": 0, "text": text, "author": "bench"}
        path = "/v1/operators/rules"
        answer = await self.send_until("POST", path, value, timeout_s)
        return self._record_accepted(answer, text)

    async def grant(self, team: str, timeout_s: float) -> Key:
        """Grants a key to a team.

        Raises:
            OperationError: No entry instance granted it in time.
        """
        value = {"team": team, "author": "bench"}
        path = "/v1/operators/keys"
        answer = await self.send_until("POST", path, value, timeout_s)
        return Key(
            team,
            str(answer["key"]),
            str(answer["key_id"]),
            int(answer["version"]),
        )

    async def withdraw(
        self, key_id: str, entry: wiring.Entry
    ) -> observations.Withdrawal | None:
        """Withdraws a key at one entry instance; returns None if refused.

        None also stands for a missing answer.
        """
        path = f"/v1/operators/keys/{key_id}/withdraw"
        try:
            reply = await self.send("POST", path, {"author": "bench"}, entry)
        except exchange.NoReplyError:
            return None
        if reply.status not in _SUCCESS_STATUSES:
            return None
        return observations.Withdrawal(key_id, clock.monotonic_ms())

    def _record_accepted(self, answer: Any, text: str) -> int:
        """Records an accepted configuration and returns its version."""
        version = int(answer["version"])
        self.accepted.append(
            observations.VersionAccepted(version, text, clock.monotonic_ms())
        )
        return version
