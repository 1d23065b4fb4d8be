"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

import os
import pathlib

from marigoldgap.cell import store
from marigoldgap.node import settings
from marigoldgap.platform import decoding

_PATH_VARIABLE = "MARIGOLDGAP_BOOT"
# The deploy file sets the port of the metrics endpoint; the default is the
# second port of the project's own range.
_METRICS_PORT_VARIABLE = "MARIGOLDGAP_METRICS_PORT"
_DEFAULT_PATH = "/etc/marigoldgap/node.json"
# Ended jobs are stored longer than the promised time by this factor, to allow
# for clock differences.
_RETENTION_FACTOR = 1.5
# The row that the operator writes and the table that the workers write.
CONFIGURATION_KEY = store.RowKey("op", "", "config")
# Rows of the operator that evacuate the zone named after the prefix, and the
# exclusive end of their keys, which is above that of the configuration.
EVACUATION_PREFIX = "evacuate/"
EVACUATIONS_END = "evacuate0"
WORKERS_TABLE = "servers"


def path() -> pathlib.Path:
    """Returns the path of the settings file."""
    return pathlib.Path(os.environ.get(_PATH_VARIABLE, _DEFAULT_PATH))


def load(file: pathlib.Path) -> settings.NodeSettings:
    """Reads the settings file.

    Raises:
        FormatError: A field is missing or has the wrong type.
        OSError: The file cannot be read.
    """
    fields = decoding.decode_object(file.read_bytes())
    listen = fields.get("listen") or {}
    bounds = fields.get("bounds") or {}
    limits = fields.get("limits") or {}
    store_fields = fields.get("platform") or {}
    port_range = fields.get("portRange") or [0]
    metrics_port = (
        os.environ.get(_METRICS_PORT_VARIABLE) or int(port_range[0]) + 1
    )
    ip = decoding.text(fields, "ip")
    is_strict = bounds.get("strictRevoke") is True
    return settings.NodeSettings(
        name=decoding.text(fields, "nodeName"),
        zone=decoding.text(fields, "zone", ""),
        callers_address=decoding.text(listen, "front"),
        readiness_address=decoding.text(listen, "ready"),
        # The port range is the project's own; its first port is for calls
        # between instances.
        peers_address=f"{ip}:{int(port_range[0])}",
        metrics_address=f"{ip}:{metrics_port}",
        # The share applies to each of the cores.
        cores=decoding.number(limits, "cpuShare", 1)
        * decoding.number(limits, "cores", 1),
        link_mbps=decoding.number(limits, "linkMbps", 0),
        store_address=decoding.text(store_fields, "address"),
        advice_address=decoding.text(fields, "advice", ""),
        shutdown_s=decoding.number(bounds, "graceS", 6),
        withdrawal_s=(
            decoding.number(bounds, "revokeMs", 5_000) / 1000
            if is_strict
            else 0.0
        ),
        job_retention_s=_RETENTION_FACTOR
        * decoding.number(bounds, "status_s", 120),
        configuration_apply_s=decoding.number(bounds, "configApplyMs", 2_500)
        / 1000,
        memory_mb=decoding.number(limits, "memoryMb", 0),
        max_fds=int(decoding.number(limits, "maxFds", 0)),
    )
