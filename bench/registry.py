"""Registry of the load tool's commands, filled by a decorator."""

from __future__ import annotations

from marigoldgap.console import registry

_tool = registry.CommandRegistry()
command = _tool.command
build = _tool.build
