"""Client of the object store."""

from __future__ import annotations

import urllib.parse

from marigoldgap import errors
from marigoldgap.table_service import service

PROBE_PATH = "/v1/objects/probe"

_NOT_FOUND = 404
_FIRST_REDIRECT = 300


class ObjectClient:
    """Stores, reads and deletes objects of any size by key.

    Args:
        store: The object store.
    """

    def __init__(self, store: service.PlatformService) -> None:
        self._store = store

    async def put(self, key: str, data: bytes) -> None:
        """Stores an object; replaces an existing one.

        Raises:
            errors.StoreUnavailableError: Nothing was written.
            errors.StoreOutcomeUnknownError: It may have been written;
                putting the same bytes again is safe.
        """
        answer = await self._store.write(
            "PUT", _path(key), data, content_type="application/octet-stream"
        )
        _expect_success(answer.status)

    async def get(self, key: str) -> bytes:
        """Returns an object.

        Raises:
            errors.NotFoundError: There is no such object.
            errors.StoreUnavailableError: The object store did not answer.
        """
        answer = await self._store.read(_path(key))
        if answer.status == _NOT_FOUND:
            raise errors.NotFoundError(f"there is no object {key}")
        _expect_success(answer.status)
        return answer.body

    async def delete(self, key: str) -> None:
        """Deletes an object; a missing object is no error.

        Raises:
            errors.StoreUnavailableError: Nothing was deleted.
            errors.StoreOutcomeUnknownError: It may have been deleted.
        """
        answer = await self._store.write("DELETE", _path(key), b"")
        if answer.status != _NOT_FOUND:
            _expect_success(answer.status)


def _path(key: str) -> str:
    return "/v1/objects/" + urllib.parse.quote(key, safe="/")


def _expect_success(status: int) -> None:
    if status >= _FIRST_REDIRECT:
        raise errors.ProtocolError(f"the object store answered {status}")
