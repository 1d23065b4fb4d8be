"""Client of the control interfaces of stand-ins."""

from __future__ import annotations

from typing import Any

from bench import exchange
from bench import wiring


class Controls:
    """Control interfaces of all stand-ins of a deployment.

    Args:
        client: Sends the requests.
        wired: Addresses of the stand-ins.
    """

    def __init__(self, client: exchange.Client, wired: wiring.Wiring) -> None:
        self._client = client
        self._wired = wired

    async def worker(
        self, worker: wiring.Worker, action: str, value: Any = None
    ) -> None:
        """Kills or restarts a worker, or sets its switches."""
        path = f"/control/workers/{worker.worker_id}/{action}"
        await self._post(worker.control, path, value)

    async def table(self, **switches: Any) -> None:
        """Sets switches of the table service."""
        await self._post(self._wired.services.table, "/control", switches)

    async def objects(self, **switches: Any) -> None:
        """Sets switches of the object store."""
        await self._post(self._wired.services.objects, "/control", switches)

    async def list_instance(self, name: str, **fields: Any) -> None:
        """Changes an instance in the list, which publishes this later."""
        path = f"/control/instances/{name}"
        await self._post(self._any_list(), path, fields)

    async def unlist_instance(self, name: str) -> None:
        """Removes an instance from the list, which publishes this later."""
        path = f"/control/instances/{name}"
        await self._client.send("DELETE", self._any_list(), path)

    async def cut(self, paths: list[str]) -> None:
        """Drops all packets on paths."""
        address = self._wired.services.link_control
        await self._post(address, "/control", {"cut": paths})

    async def heal(self, paths: list[str]) -> None:
        """Ends the cut of paths."""
        address = self._wired.services.link_control
        await self._post(address, "/control", {"heal": paths})

    async def link_bytes(self) -> dict[str, int]:
        """Returns the bytes sent in each direction between regions."""
        address = self._wired.services.link_control
        shown = await self._get(address, "/control")
        directions = self._wired.routes.region_directions()
        return {name: int(shown["bytes"][name]) for name in directions}

    async def link_purposes(self) -> dict[str, dict[str, int]]:
        """Returns the bytes between regions by direction and purpose."""
        address = self._wired.services.link_control
        shown = await self._get(address, "/control")
        directions = self._wired.routes.region_directions()
        return {name: dict(shown["by_purpose"][name]) for name in directions}

    async def table_counters(self) -> dict[str, int]:
        """Returns the operation counters of the table service."""
        shown = await self._get(self._wired.services.table, "/control")
        return dict(shown["counters"])

    async def worker_records(self, control: str, since: int) -> list[Any]:
        """Returns the records of one worker process from an index on."""
        shown = await self._get(control, f"/control/records?since={since}")
        return list(shown["records"])

    async def interruptions(self) -> list[Any]:
        """Returns the interrupted requests that the balancers recorded."""
        found: list[Any] = []
        for control in self._wired.services.balancer_controls.values():
            shown = await self._get(control, "/control/records")
            found.extend(shown["records"])
        return found

    async def ready_entries(self) -> set[str]:
        """Returns the entry instances that any balancer routes to."""
        ready: set[str] = set()
        for control in self._wired.services.balancer_controls.values():
            shown = await self._get(control, "/control/records")
            ready.update(shown["ready"])
        return ready

    def _any_list(self) -> str:
        """Returns the address of the instance list in the first zone."""
        return next(iter(self._wired.services.lists.values()))

    async def _post(self, address: str, path: str, value: Any) -> None:
        """Sends a control request.

        Raises:
            NoReplyError: There was no answer, or it is not a success.
        """
        reply = await self._client.send("POST", address, path, value or {})
        reply.check()

    async def _get(self, address: str, path: str) -> Any:
        """Reads the state of a stand-in.

        Raises:
            NoReplyError: There was no answer, or it is not a success.
        """
        reply = await self._client.send("GET", address, path, timeout_s=30)
        reply.check()
        return reply.json()
