"""Proxy in front of one worker, which can go dark."""

import asyncio
import time


class Link:
    """Forwards connections to a worker until it goes dark.

    What is dark stays dark: its connections stay open and carry nothing more in
    either way, as after a loss of power. Connections that are opened later are
    forwarded once `light` was called.

    Args:
        target: Host and port of the worker.
    """

    def __init__(self, target):
        self._target = target
        self._server = None
        self._is_dark = False
        self._generation = 0
        self._tasks = set()
        # Monotonic time at which a request was last forwarded to the worker.
        self.forwarded_s = 0.0

    async def start(self, host, port):
        self._server = await asyncio.start_server(self._serve, host, port)

    def darken(self):
        """Silences the connections, and those that are opened until `light`."""
        self._is_dark = True
        self._generation += 1

    def light(self):
        """Forwards the connections that are opened from now on."""
        self._is_dark = False
        self._generation += 1

    def close(self):
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        generation = self._generation
        try:
            if self._is_dark:
                await asyncio.sleep(3600)
            other_reader, other_writer = await asyncio.open_connection(
                *self._target
            )
            await asyncio.wait(
                [
                    asyncio.create_task(
                        self._forward(reader, other_writer, generation, True)
                    ),
                    asyncio.create_task(
                        self._forward(other_reader, writer, generation, False)
                    ),
                ],
                return_when=asyncio.FIRST_COMPLETED,
            )
            other_writer.close()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            self._tasks.discard(task)

    async def _forward(self, reader, writer, generation, is_request):
        try:
            while data := await reader.read(65_536):
                if generation != self._generation:
                    break
                if is_request:
                    self.forwarded_s = time.monotonic()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        if generation != self._generation:
            # Neither data nor the end of the connection gets through.
            await asyncio.sleep(3600)
