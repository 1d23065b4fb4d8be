"""Decodes the answers of the platform's shared metadata store."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable
import math
from typing import Any
from typing import TypeVar

from marigoldgap import decision_log
from marigoldgap.cell import store
from marigoldgap.web import messages

_log = decision_log.DecisionLogger("store")

_Content = TypeVar("_Content")


def decode(
    answer: messages.Response, decode_content: Callable[[Any], _Content]
) -> _Content:
    """Decodes the body of an answer.

    Raises:
        UnusableAnswerError: The body is malformed.
    """
    try:
        return decode_content(answer.json())
    except (
        messages.InvalidAnswerError,
        AttributeError,
        LookupError,
        OverflowError,
        TypeError,
        ValueError,
    ) as error:
        raise store.UnusableAnswerError(
            f"the store sent an unusable answer: {error!r}"
        ) from error


def decode_rows(content: Any) -> tuple[store.Row, ...]:
    """Decodes rows; one that names no row is left out."""
    rows = []
    for fields in content.get("rows", ()):
        try:
            rows.append(_decode_row(fields))
        except (
            AttributeError,
            LookupError,
            OverflowError,
            TypeError,
            ValueError,
        ) as error:
            _log.error("row_malformed", cause=repr(error))
    return tuple(rows)


def _decode_row(content: Any) -> store.Row:
    row_key = store.RowKey(
        content["table"], content.get("part", ""), content["key"]
    )
    if not all(isinstance(name, str) for name in row_key):
        raise TypeError(f"a name in {row_key!r} is not a text")
    return store.Row(
        row_key, _decode_value(content), int(content.get("ver", 0))
    )


def _decode_value(content: Any) -> bytes | None:
    if content.get("removed") or "value" not in content:
        return None
    try:
        return base64.b64decode(content["value"])
    except (binascii.Error, TypeError, ValueError):
        # Other programs write to these tables too. An empty value, which every
        # decoder rejects, stands for one that is not valid Base64.
        return b""


def decode_page(content: Any) -> tuple[store.Page, float | None]:
    """Returns the page and the store's time in milliseconds, if stated."""
    store_ms = content.get("nowMs")
    is_time = isinstance(store_ms, int | float) and math.isfinite(store_ms)
    return (
        store.Page(
            decode_rows(content),
            bool(content.get("hasMore")),
            int(content["ver"]),
        ),
        store_ms if is_time else None,
    )
