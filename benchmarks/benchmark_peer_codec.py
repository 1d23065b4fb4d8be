"""Benchmarks of the encoding, decoding and size of peer messages.

The size of heartbeats is limited: section 1.6 allows 9 KB/s of control traffic
per node, which at two heartbeats per second to 60 peers is 75 bytes for each.
"""

from __future__ import annotations

import pytest

from marigoldgap.entries import codec
from marigoldgap.entries import job_messages
from marigoldgap.entries import messages
from marigoldgap.scheduling import model

_BUDGET_BYTES_PER_S = 9_000
_PEERS = 60
_HEARTBEATS_PER_S = 2
_HEARTBEAT_LIMIT = _BUDGET_BYTES_PER_S // (_PEERS * _HEARTBEATS_PER_S)

_TERM = model.Term(12, "centro-a-entry-1")
_IDLE = messages.Heartbeat(False, _TERM, 345, 27, False, (), (), ())
_BUSY = _IDLE._replace(
    free=(
        messages.ServiceFree(
            "claims-engine", model.Resources(37, 311, 71_000, 250_000, 0)
        ),
    ),
    waiting=(messages.Count("status", 12),),
    running=tuple(messages.Count(f"team-{n}", n + 1) for n in range(6)),
)
_PLACE = job_messages.PlaceTasks(
    _TERM,
    tuple(
        model.TaskSpec(
            task_id=f"centro-a.0123456789abcdef0123~{n}~0123456789abcdef0123",
            team="claims",
            queue="bundles",
            kind="batch",
            resources=model.Resources(1, 1, 1_000, 2_048, 0),
            service="claims-engine",
            expected_run_ms=60_000,
            job_id="centro-a.0123456789abcdef0123",
        )
        for n in range(256)
    ),
    (job_messages.Payload("centro-a.0123456789abcdef0123", b"x" * 512, ""),),
)
_MESSAGES = {"idle": _IDLE, "busy": _BUSY, "place-256": _PLACE}


@pytest.mark.parametrize("name", _MESSAGES)
def test_encode(benchmark, name):
    envelope = codec.Envelope(_MESSAGES[name], clock=1 << 58)
    data = benchmark(codec.encode, envelope)
    benchmark.extra_info["bytes"] = len(data)


@pytest.mark.parametrize("name", _MESSAGES)
def test_decode(benchmark, name):
    data = codec.encode(codec.Envelope(_MESSAGES[name], clock=1 << 58))
    assert benchmark(codec.decode, data).message == _MESSAGES[name]


def test_idle_heartbeat_fits_the_budget():
    """Guards against new fields that make every heartbeat larger."""
    data = codec.encode(codec.Envelope(_IDLE, clock=1 << 58))
    assert len(data) <= _HEARTBEAT_LIMIT, len(data)
