"""Loads settings from JSON with comments and reports all errors at once."""

from __future__ import annotations

import pathlib
import re
from typing import Any

import json5
import pydantic

from marigoldgap import errors
from marigoldgap.settings import model


def load(path: pathlib.Path) -> model.Settings:
    """Loads and validates a settings file.

    Args:
        path: The file, in JSON with comments.

    Returns:
        The validated settings.

    Raises:
        errors.SettingsError: The file cannot be read or has errors; the
            message names the line and field of each.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            f"{path}: cannot be read: {error}"
        ) from error
    return parse(text, str(path))


def parse(text: str, name: str) -> model.Settings:
    """Validates settings given as text.

    Args:
        text: JSON with comments.
        name: Name of the source in error messages.

    Returns:
        The validated settings.

    Raises:
        errors.SettingsError: The text has errors.
    """
    try:
        values = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        raise errors.SettingsError(
            f"{name}: not valid JSON: {error}"
        ) from error
    try:
        return model.Settings.model_validate(values)
    except pydantic.ValidationError as error:
        lines = [_describe(problem, text, name) for problem in error.errors()]
        raise errors.SettingsError("\n".join(lines)) from error


def _describe(problem: Any, text: str, name: str) -> str:
    """Returns a one-line message for a validation error of pydantic."""
    location = [str(part) for part in problem["loc"]]
    field = ".".join(location) or "(whole file)"
    message = problem["msg"].removeprefix("Value error, ")
    return f"{name}:{_line_of(location, text)}: {field}: {message}"


def _line_of(location: list[str], text: str) -> int:
    """Returns the line number of the innermost field that the text contains."""
    position = 0
    for part in location:
        pattern = rf"[\"']?\b{re.escape(part)}\b[\"']?\s*:"
        match = re.compile(pattern).search(text, position)
        if match is None:
            break
        position = match.start()
    return text.count("\n", 0, position) + 1
