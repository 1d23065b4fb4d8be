"""One connection to another entry instance: handshake and envelopes."""

from __future__ import annotations

import asyncio
from typing import Any

from marigoldgap import errors
from marigoldgap.entries import codec
from marigoldgap.entries import framing
from marigoldgap.entries import heartbeats
from marigoldgap.entries import messages
from marigoldgap.entries import proof
from marigoldgap.entries import registry
from marigoldgap.entries import traffic
from marigoldgap.settings import model as settings_model

# Backpressure limit: the connection to a peer that does not read is closed
# once more than this many messages of the largest size wait in the buffer.
_MAX_BUFFERED_MESSAGES = 2


class Connection:
    """Exchanges envelopes after both sides proved the cluster secret.

    Args:
        reader: Stream from the peer.
        writer: Stream to the peer.
        settings: Settings of this instance.
        dialed: Whether this instance opened the connection.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        settings: settings_model.Settings,
        dialed: bool,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._settings = settings
        self._max_frame_bytes = (
            settings.queue.largest_body_bytes + framing.MESSAGE_OVERHEAD_BYTES
        )
        self._last_correlation = 0
        self.dialed = dialed
        self.hello: messages.Hello | None = None
        self.counters = traffic.LinkTraffic()
        self.heartbeats = heartbeats.HeartbeatBuilder(with_load=False)
        self.pending: dict[int, asyncio.Future[Any]] = {}

    @property
    def instance_id(self) -> str:
        """Id of the peer; empty before the handshake."""
        return self.hello.instance_id if self.hello else ""

    @property
    def dialer(self) -> str:
        """Id of the instance that opened the connection."""
        if self.dialed:
            return self._settings.instance_id
        return self.instance_id

    @property
    def closed(self) -> bool:
        """Whether the connection is closed for sending."""
        return self._writer.is_closing()

    async def handshake(self, incarnation: str) -> messages.Hello:
        """Proves the cluster secret and verifies the peer's proof.

        Args:
            incarnation: Random token of this process.

        Returns:
            The Hello of the peer.

        Raises:
            errors.ProtocolError: The peer's proof is wrong, it uses the id
                of this instance, or it sent another message than the
                handshake expects.
            EOFError: The peer closed the connection.
        """
        if self.dialed:
            hello = await self._dial_handshake(incarnation)
        else:
            hello = await self._accept_handshake(incarnation)
        same_zone = hello.zone == self._settings.zone
        self.heartbeats = heartbeats.HeartbeatBuilder(with_load=same_zone)
        self.hello = hello
        return hello

    async def receive(self) -> codec.Envelope:
        """Returns the next envelope.

        Raises:
            errors.ProtocolError: The peer sent a malformed message.
            EOFError: The peer closed the connection.
        """
        data = await framing.read_frame(self._reader, self._max_frame_bytes)
        envelope = codec.decode(data)
        kind = registry.kind_of(type(envelope.message))
        assert kind is not None
        self.counters.count_received(kind.traffic, len(data))
        return envelope

    def send(self, envelope: codec.Envelope) -> int:
        """Writes an envelope to the send buffer and does not wait.

        Returns:
            The size of the frame in bytes if it counts as control traffic,
            else 0.

        Raises:
            errors.PeerUnavailableError: The connection is closed, or the
                peer does not read and the send buffer is full.
        """
        if self.closed:
            raise errors.PeerUnavailableError("the connection is closed")
        unsent = self._writer.transport.get_write_buffer_size()
        if unsent > _MAX_BUFFERED_MESSAGES * self._max_frame_bytes:
            self.close()
            raise errors.PeerUnavailableError("the peer does not read")
        kind = registry.kind_of(type(envelope.message))
        data = framing.frame(codec.encode(envelope))
        assert kind is not None
        self._writer.write(data)
        self.counters.count_sent(kind.traffic, len(data))
        return 0 if kind.traffic is registry.Traffic.WORK else len(data)

    def is_duplicate_call(self, correlation: int) -> bool:
        """Whether a call with this or a higher correlation id was received."""
        if correlation <= self._last_correlation:
            return True
        self._last_correlation = correlation
        return False

    def close(self) -> None:
        """Closes the connection and fails the calls in flight on it."""
        self._writer.close()
        pending, self.pending = self.pending, {}
        for future in pending.values():
            if not future.done():
                future.set_exception(
                    errors.PeerUnavailableError("the connection broke")
                )

    async def _dial_handshake(self, incarnation: str) -> messages.Hello:
        """Runs the handshake on the side that opened the connection."""
        challenge = await self._receive_handshake(messages.Challenge)
        own = self._signed_hello(incarnation, "dial", challenge.nonce)
        self.send(codec.Envelope(own))
        hello: messages.Hello = await self._receive_handshake(messages.Hello)
        self._verify_hello(hello, "accept", own.nonce)
        return hello

    async def _accept_handshake(self, incarnation: str) -> messages.Hello:
        """Runs the handshake on the side that accepted the connection."""
        challenge = messages.Challenge(proof.new_nonce())
        self.send(codec.Envelope(challenge))
        hello: messages.Hello = await self._receive_handshake(messages.Hello)
        self._verify_hello(hello, "dial", challenge.nonce)
        own = self._signed_hello(incarnation, "accept", hello.nonce)
        self.send(codec.Envelope(own))
        return hello

    def _signed_hello(
        self, incarnation: str, role: str, challenge: bytes
    ) -> messages.Hello:
        """Returns the Hello of this instance with its proof."""
        hello = messages.Hello(
            instance_id=self._settings.instance_id,
            zone=self._settings.zone,
            incarnation=incarnation,
            nonce=proof.new_nonce(),
            proof=b"",
        )
        secret = self._settings.cluster_secret
        return hello._replace(proof=proof.sign(secret, role, challenge, hello))

    def _verify_hello(
        self, hello: messages.Hello, role: str, challenge: bytes
    ) -> None:
        """Refuses a peer with a wrong proof or the id of this instance."""
        secret = self._settings.cluster_secret
        if not proof.verify(secret, role, challenge, hello):
            raise errors.ProtocolError(
                "the peer's proof of the cluster secret is wrong"
            )
        if hello.instance_id == self._settings.instance_id:
            raise errors.ProtocolError(
                f"the peer uses this instance's id {hello.instance_id!r}"
            )

    async def _receive_handshake(self, message_type: type) -> Any:
        """Receives the next handshake message and checks its type."""
        limit = framing.HANDSHAKE_LIMIT_BYTES
        data = await framing.read_frame(self._reader, limit)
        message = codec.decode(data).message
        if not isinstance(message, message_type):
            raise errors.ProtocolError(
                f"handshake: expected {message_type.__name__}, "
                f"got {type(message).__name__}"
            )
        return message
