"""Runs the tool with `python -m bench`."""

from __future__ import annotations
