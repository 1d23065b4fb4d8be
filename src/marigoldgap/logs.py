"""Loggers that prefix each message with the name of a component."""

from __future__ import annotations

import json
import logging as standard_logging
import sys
from typing import Any

from absl import flags
from absl import logging

from marigoldgap import clock


class PartLogger:
    """Logs messages of one component.

    Args:
        part: Name of the component, e.g. `workers`; printed in brackets.
    """

    def __init__(self, part: str) -> None:
        self._prefix = f"[{part}] "

    def debug(self, message: str, *values: Any) -> None:
        """Logs a message for debugging."""
        logging.debug(self._prefix + message, *values)

    def info(self, message: str, *values: Any) -> None:
        """Logs a normal event."""
        logging.info(self._prefix + message, *values)

    def warning(self, message: str, *values: Any) -> None:
        """Logs an event that may need attention."""
        logging.warning(self._prefix + message, *values)

    def error(self, message: str, *values: Any) -> None:
        """Logs a failure that needs attention."""
        logging.error(self._prefix + message, *values)

    def exception(self, message: str, *values: Any) -> None:
        """Logs a failure with the stack trace of the current exception."""
        logging.exception(self._prefix + message, *values)


class _JsonLinesFormatter(standard_logging.Formatter):
    """Formats each record as one JSON object on a line."""

    def __init__(self, instance_id: str) -> None:
        super().__init__()
        self._instance_id = instance_id

    def format(self, record: standard_logging.LogRecord) -> str:
        """Returns the record as a JSON line."""
        entry = {
            "time_ms": clock.wall_ms(),
            "level": record.levelname.lower(),
            "instance": self._instance_id,
            "message": record.getMessage(),
        }
        if record.exc_info:
            entry["trace"] = self.formatException(record.exc_info)
        return json.dumps(entry)


def configure(instance_id: str, level: str, json_lines: bool) -> None:
    """Sends logs to standard error.

    Args:
        instance_id: Name of this instance, a field of JSON lines.
        level: `debug`, `info`, `warning` or `error`.
        json_lines: Whether to write one JSON object per line.
    """
    # Typer parses the command line; without this, absl would wait for its
    # own flags to be parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(level)
    handler = logging.get_absl_handler()
    handler.python_handler.stream = sys.stderr
    # The library `transitions` logs each state machine callback at INFO.
    standard_logging.getLogger("transitions").setLevel(standard_logging.WARNING)
    for method in ("debug", "info", "warning", "error", "exception"):
        logging.ABSLLogger.register_frame_to_skip(__file__, method)
    if json_lines:
        handler.setFormatter(_JsonLinesFormatter(instance_id))
