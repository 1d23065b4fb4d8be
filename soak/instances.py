"""Entry instances as child processes, controlled by signals."""

from __future__ import annotations

from collections.abc import Mapping
import json
import os
import pathlib
import resource
import signal
import subprocess
import sys
import time

# Time from SIGTERM until a process must have ended.
SHUTDOWN_S = 4
# Time for which the interpreter may start before the program ignores SIGHUP.
_INTERPRETER_START_S = 2.0


class Incarnation:
    """One process of an instance, from its start to its end.

    Attributes:
        stop_requested_s: Monotonic time of the first SIGTERM in seconds; None
            before it.
        is_disturbed: Whether the process was killed, or was suspended at any
            time from the first SIGTERM on.
    """

    def __init__(self, process: subprocess.Popen[bytes]) -> None:
        self.stop_requested_s: float | None = None
        self.is_disturbed = False
        self._process = process
        self._started_s = time.monotonic()

    @property
    def is_interpreter_starting(self) -> bool:
        """Whether the first statement of the program has not yet run.

        The system ends such a process at SIGHUP.
        """
        age_s = time.monotonic() - self._started_s
        return age_s < _INTERPRETER_START_S and not _survives(
            self._process.pid, signal.SIGHUP
        )

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None


def _survives(process_id: int, signal_number: signal.Signals) -> bool:
    """Returns whether a process ignores or handles a signal."""
    status = pathlib.Path(f"/proc/{process_id}/status")
    masks = [
        int(line.split()[1], 16)
        for line in status.read_text().splitlines()
        if line.startswith(("SigIgn:", "SigCgt:"))
    ]
    return any(mask >> (signal_number - 1) & 1 for mask in masks)


class Instance:
    """One entry instance in a process of its own.

    Args:
        name: Name of the instance.
        folder: Folder for its settings and its log.
        addresses: Addresses for callers, for readiness checks and for
            peers; the port of the last one and the next port are the
            range of peer ports.
        store_address: Address at which it reaches the store.
        sends_early_reloads: Whether SIGHUP is also sent while the interpreter
            starts, which ends the process.
        limits: Further fields of `limits` in its settings file; `maxFds`
            is also set as the limit of the process.
    """

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        addresses: tuple[str, str, str],
        store_address: str,
        sends_early_reloads: bool = True,
        limits: Mapping[str, int] | None = None,
    ) -> None:
        self.name = name
        self._limits = limits or {}
        self._sends_early_reloads = sends_early_reloads
        self.callers_address = addresses[0]
        self.log_path = folder / f"{name}.log"
        self._settings_path = folder / f"{name}.json"
        self._process: subprocess.Popen[bytes] | None = None
        self.incarnation: Incarnation | None = None
        self.is_paused = False
        # Whether SIGKILL or SIGTERM was sent since the last start.
        self.is_ending = False
        peer_host, _, port = addresses[2].rpartition(":")
        peer_port = int(port)
        self.readiness_address, self.peers_address = addresses[1:]
        self.metrics_address = f"{peer_host}:{peer_port + 1}"
        self._settings_path.write_text(
            json.dumps(
                {
                    "nodeName": name,
                    "ip": "127.0.0.1",
                    "zone": "a",
                    "listen": {"front": addresses[0], "ready": addresses[1]},
                    "portRange": [peer_port, peer_port + 1],
                    "limits": {"cpuShare": 1, "cores": 1, **self._limits},
                    "bounds": {
                        "graceS": SHUTDOWN_S,
                        "revokeMs": 5000,
                        "strictRevoke": True,
                    },
                    "platform": {"address": store_address},
                }
            )
        )

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def peak_memory_kb(self) -> int:
        """Largest resident memory of the running process, in KiB."""
        assert self._process is not None
        status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        line = next(
            each for each in status.splitlines() if each.startswith("VmHWM:")
        )
        return int(line.split()[1])

    @property
    def open_descriptors(self) -> int:
        """Number of open file descriptors of the running process."""
        assert self._process is not None
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    def start(self) -> None:
        """Starts the process; its output is appended to its log."""
        environment = {
            **os.environ,
            "MARIGOLDGAP_BOOT": str(self._settings_path),
            "PYTHONPATH": os.pathsep.join(sys.path),
        }
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "marigoldgap.node"],
                stdout=log,
                stderr=log,
                env=environment,
            )
        if max_descriptors := self._limits.get("maxFds"):
            resource.prlimit(
                self._process.pid,
                resource.RLIMIT_NOFILE,
                (max_descriptors, max_descriptors),
            )
        self.incarnation = Incarnation(self._process)
        self.is_paused = False
        self.is_ending = False

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal to the process if it runs, and notes its effect."""
        if self._process is None or not self.is_running:
            return
        if (
            signal_number is signal.SIGHUP
            and not self._sends_early_reloads
            and self.incarnation is not None
            and self.incarnation.is_interpreter_starting
        ):
            return
        self._process.send_signal(signal_number)
        if signal_number in (signal.SIGKILL, signal.SIGTERM):
            self.is_ending = True
        if signal_number is signal.SIGSTOP:
            self.is_paused = True
        elif signal_number is signal.SIGCONT:
            self.is_paused = False
        self._note_signal(signal_number)

    def wait(self, timeout_s: float) -> int | None:
        """Waits for the process to end.

        Args:
            timeout_s: How long to wait, in seconds.

        Returns:
            The exit code, 0 if it was never started, or None if it still
            runs.
        """
        if self._process is None:
            return 0
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def _note_signal(self, signal_number: signal.Signals) -> None:
        incarnation = self.incarnation
        if incarnation is None:
            return
        if (
            signal_number is signal.SIGTERM
            and incarnation.stop_requested_s is None
        ):
            incarnation.stop_requested_s = time.monotonic()
        is_stopping = incarnation.stop_requested_s is not None
        if signal_number is signal.SIGKILL or (is_stopping and self.is_paused):
            incarnation.is_disturbed = True
