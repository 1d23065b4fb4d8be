"""Runs message handlers and matches answers with calls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import inspect
from typing import Any

from marigoldgap import errors
from marigoldgap import logs
from marigoldgap.entries import codec
from marigoldgap.entries import connection as connection_module
from marigoldgap.entries import messages
from marigoldgap.entries import registry
from marigoldgap.entries import remote_errors

_log = logs.PartLogger("entries")

# Further messages are refused, so that a flood of calls cannot use up the
# memory.
_MAX_CONCURRENT_HANDLERS = 4_096


class Delivery:
    """Passes received messages to the handlers of their types."""

    def __init__(self) -> None:
        self._handlers: dict[type, Callable[..., Any]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def register(self, receiver: object) -> None:
        """Registers the methods of an object marked with `registry.handles`.

        Raises:
            ValueError: A message type already has a handler.
        """
        for message_type, handler in registry.handlers_of(receiver).items():
            if message_type in self._handlers:
                raise ValueError(
                    f"{message_type.__name__} already has a handler"
                )
            self._handlers[message_type] = handler

    async def call(self, sender: str, message: Any) -> Any:
        """Runs the handler of a call from this instance to itself.

        Returns:
            The answer of the handler; Done if it returns None.

        Raises:
            errors.MarigoldgapError: No handler is registered, or the error
                that the handler raised.
        """
        handler = self._handler_of(message)
        result = handler(sender, message)
        if inspect.isawaitable(result):
            result = await result
        return messages.Done() if result is None else result

    def deliver(
        self,
        sender: str,
        message: Any,
        answer: Callable[[Any], None] | None,
    ) -> None:
        """Runs the handler of a message and passes on its answer.

        Args:
            sender: Id of the instance that sent the message.
            message: The message.
            answer: Sends the answer; None if no answer is expected.
        """
        reply = answer or _discard
        if len(self.tasks) >= _MAX_CONCURRENT_HANDLERS:
            reply(remote_errors.to_failure(errors.OverloadedError("peer busy")))
            return
        try:
            result = self._handler_of(message)(sender, message)
        except errors.MarigoldgapError as error:
            reply(remote_errors.to_failure(error))
            return
        if inspect.iscoroutine(result):
            task = asyncio.create_task(_reply_when_done(result, reply))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            return
        reply(messages.Done() if result is None else result)

    def _handler_of(self, message: Any) -> Callable[..., Any]:
        """Returns the handler of a message.

        Raises:
            errors.NotReadyError: No handler is registered on this instance.
        """
        handler = self._handlers.get(type(message))
        if handler is None:
            raise errors.NotReadyError(
                f"no handler for {type(message).__name__}"
            )
        return handler


def resolve(
    link: connection_module.Connection, envelope: codec.Envelope
) -> None:
    """Completes the call of an answer; ignores late and repeated answers."""
    future = link.pending.pop(envelope.correlation, None)
    if future is not None and not future.done():
        future.set_result(envelope.message)


def answer_of(message: Any) -> Any:
    """Returns the answer; raises the error if the answer is a Failure."""
    if isinstance(message, messages.Failure):
        raise remote_errors.from_failure(message)
    return message


async def _reply_when_done(result: Any, reply: Callable[[Any], None]) -> None:
    """Awaits a handler and replies with its result or its error."""
    try:
        value = await result
    except errors.MarigoldgapError as error:
        reply(remote_errors.to_failure(error))
    except Exception:
        _log.exception("A message handler raised an unexpected exception.")
        reply(messages.Failure(errors.MarigoldgapError.code, "handler failed"))
    else:
        reply(messages.Done() if value is None else value)


def _discard(_message: Any) -> None:
    """Ignores the result of a message that expects no answer."""
