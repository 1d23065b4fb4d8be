"""marigoldgap, a cluster scheduler for mixed workloads."""

from __future__ import annotations

__version__ = "0.1.0"
