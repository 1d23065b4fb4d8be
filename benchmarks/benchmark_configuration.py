"""Benchmarks of a large configuration: decoding, handing on, finding a queue.

An event loop that stands still delays heartbeats and answers, so that a
configuration may take 50 ms at most, on the share of a core that the smallest
instance has.
"""

from __future__ import annotations

import pytest

from marigoldgap.cell import configuration_relay
from marigoldgap.platform import documents
from tests.fixtures import cell_world
from tests.fixtures import configuration_link

_SMALLEST_CORES = 0.516
_LIMIT_S = 0.050 * _SMALLEST_CORES


@pytest.mark.parametrize(
    "queues", [1_400, pytest.param(14_000, marks=pytest.mark.known_red)]
)
def test_decode(benchmark, queues):
    content = configuration_link.large_configuration(2, queues)
    benchmark.extra_info["bytes"] = len(content)
    benchmark(documents.decode_configuration, content)
    assert benchmark.stats["median"] <= _LIMIT_S


@pytest.mark.parametrize("queues", [1_400, 14_000])
def test_pack(benchmark, queues):
    content = configuration_link.large_configuration(2, queues)

    def pack():
        return configuration_relay.Packer().pack(2, content)

    benchmark.extra_info["bytes"] = len(benchmark(pack))
    assert benchmark.stats["median"] <= _LIMIT_S


@pytest.mark.parametrize("queues", [1_400, 14_000])
def test_find_queue(benchmark, queues):
    content = configuration_link.large_configuration(2, queues)
    configuration = documents.decode_configuration(content)
    path = cell_world.PREFIX + "00000000000000a1"
    assert benchmark(configuration.queue_for, cell_world.HOST, path)
