"""Test environment: a hypothesis profile that makes runs reproducible."""

from __future__ import annotations

import hypothesis

hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None, max_examples=100
)
hypothesis.settings.load_profile("fixed")
