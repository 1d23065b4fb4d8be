"""What an operator does: apply rules, grant and withdraw keys."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import NamedTuple

from bench import evidence
from bench import exchange
from bench import wiring
from marigoldgap import clock
from marigoldgap import errors

_RETRY_S = 0.5
_TIMEOUT_S = 10.0
_READ_TIMEOUT_S = 2.0
_CREATED = (200, 201)
_CONFLICT = 409


class OperationError(errors.MarigoldgapError):
    """An operator's request was not accepted in time."""

    code = "operation-failed"


class Key(NamedTuple):
    """A caller key that was granted."""

    team: str
    key: str
    key_id: str
    version: int


class Operator:
    """Sends operators' requests to entry instances, one after the other.

    Args:
        client: Sends the requests.
        wired: Addresses and the operators' key.
    """

    def __init__(self, client: exchange.Client, wired: wiring.Wiring) -> None:
        self._client = client
        self._wired = wired
        self._headers = {"Authorization": f"Bearer {wired.operator_key}"}
        self.accepted: list[evidence.VersionAccepted] = []

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
            NoReplyError: It did not answer.
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
        """Tries all entry instances until one accepts.

        Raises:
            OperationError: None accepted in time.
        """
        loop = asyncio.get_running_loop()
        give_up_s = loop.time() + timeout_s
        problem = "no entry instance answered"
        attempt = 0
        while loop.time() < give_up_s:
            entry = self._wired.entries[attempt % len(self._wired.entries)]
            attempt += 1
            try:
                reply = await self.send(method, path, value, entry)
            except exchange.NoReplyError as error:
                problem = str(error)
            else:
                if reply.status in _CREATED:
                    return reply.json()
                problem = f"{reply.status} {reply.body!r}"
            await asyncio.sleep(_RETRY_S)
        raise OperationError(f"{method} {path}: {problem}")

    async def read_rules(
        self, entry: wiring.Entry
    ) -> evidence.VersionSeen | None:
        """Returns the version that an entry instance has, if it answers.

        An instance that has just started and has no configuration yet shows
        version 0 and is not ready; that is no step back.
        """
        try:
            reply = await self.send(
                "GET", "/v1/operators/rules", None, entry, _READ_TIMEOUT_S
            )
        except exchange.NoReplyError:
            return None
        value = reply.json()
        if reply.status != _CREATED[0] or not isinstance(value, dict):
            return None
        if not value["version"]:
            return None
        return evidence.VersionSeen(
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
        """Applies rules once; returns the new version, or None.

        None says only that no acceptance was seen: after a lost answer the
        rules may be in force.
        """
        value = {"base_version": base_version, "text": text, "author": author}
        try:
            reply = await self.send("POST", "/v1/operators/rules", value, entry)
        except exchange.NoReplyError:
            return None
        if reply.status not in _CREATED:
            return None
        return self._note_accepted(reply.json(), text)

    async def apply_first_rules(self, text: str, timeout_s: float) -> int:
        """Applies the rules of a new deployment.

        Raises:
            OperationError: They were not accepted in time.
        """
        value = {"base_version": 0, "text": text, "author": "bench"}
        path = "/v1/operators/rules"
        answer = await self.send_until("POST", path, value, timeout_s)
        return self._note_accepted(answer, text)

    async def grant(self, team: str, timeout_s: float) -> Key:
        """Grants a key.

        Raises:
            OperationError: It was not granted in time.
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
    ) -> evidence.Withdrawal | None:
        """Withdraws a key at one entry instance; None if not accepted."""
        path = f"/v1/operators/keys/{key_id}/withdraw"
        try:
            reply = await self.send("POST", path, {"author": "bench"}, entry)
        except exchange.NoReplyError:
            return None
        if reply.status not in _CREATED:
            return None
        return evidence.Withdrawal(key_id, clock.monotonic_ms())

    def _note_accepted(self, answer: Any, text: str) -> int:
        """Remembers an accepted version."""
        version = int(answer["version"])
        self.accepted.append(
            evidence.VersionAccepted(version, text, clock.monotonic_ms())
        )
        return version
