"""Starts processes and stops them by their ids, with bounded waits."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys
from typing import NamedTuple

from marigoldgap import clock
from marigoldgap import errors

_START_TIMEOUT_S = 20.0
_KILL_TIMEOUT_S = 5.0


class StartError(errors.MarigoldgapError):
    """A process did not report that it is ready."""

    code = "start-failed"


class Exit(NamedTuple):
    """How a process ended.

    Attributes:
        status: Exit status; negative for a signal.
        forced: Whether it had to be killed after the timeout.
        asked_ms: Monotonic time of the request to stop.
        ended_ms: Monotonic time of its end.
    """

    status: int
    forced: bool
    asked_ms: int
    ended_ms: int


class Process:
    """A process that the load tool starts.

    Args:
        name: Name of the process and of its log file.
        arguments: Arguments of the Python interpreter.
        directory: Directory for the log file.
    """

    def __init__(
        self, name: str, arguments: list[str], directory: pathlib.Path
    ) -> None:
        self._arguments = arguments
        self._log_path = directory / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None
        self.name = name

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """Process id; 0 before the start."""
        return self._process.pid if self._process else 0

    @property
    def status(self) -> int:
        """Exit status; 0 while the process runs."""
        return (self._process.returncode if self._process else 0) or 0

    async def start(self, ready_line: bytes = b"") -> None:
        """Starts the process.

        Args:
            ready_line: First line on standard output to wait for; empty to
                return at once.

        Raises:
            StartError: Its first line is another one or came too late.
        """
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE if ready_line else log,
                stderr=log,
                # Ctrl-C in a terminal must only reach the load tool, which
                # then stops all processes in order.
                start_new_session=True,
            )
        if ready_line:
            await self._wait_ready(self._process, ready_line)

    async def stop(self, timeout_s: float) -> Exit:
        """Sends SIGTERM and, after the timeout, kills the process."""
        asked_ms = clock.monotonic_ms()
        if self._process is None:
            return Exit(0, False, asked_ms, asked_ms)
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        forced = False
        try:
            async with asyncio.timeout(timeout_s):
                await self._process.wait()
        except TimeoutError:
            forced = True
            await self.kill()
        return Exit(self.status, forced, asked_ms, clock.monotonic_ms())

    async def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.send(signal.SIGKILL)
        if self._process is None:
            return
        async with asyncio.timeout(_KILL_TIMEOUT_S):
            await self._process.wait()

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it still runs."""
        if self._process is None or self._process.returncode is not None:
            return
        try:
            os.kill(self._process.pid, number)
        except ProcessLookupError:
            pass

    async def _wait_ready(
        self, process: asyncio.subprocess.Process, ready_line: bytes
    ) -> None:
        """Waits for the line that the process prints once it listens."""
        assert process.stdout is not None
        try:
            async with asyncio.timeout(_START_TIMEOUT_S):
                line = await process.stdout.readline()
        except TimeoutError:
            line = b""
        if line != ready_line:
            raise StartError(
                f"{self.name} did not report that it is ready (timeout"
                f" {_START_TIMEOUT_S:g} s); see {self._log_path}"
            )
