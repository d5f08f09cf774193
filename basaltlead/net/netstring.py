"""Netstring framing of JSON messages: `<length>:<bytes>,` with a bounded length."""

import asyncio
from collections.abc import Callable

MAX_FRAME_BYTES = 256 * 1024
MAX_LENGTH_DIGITS = 12


class MalformedFrame(Exception):
    """Received bytes that are not a netstring."""


def encode_frame(body: bytes) -> bytes:
    """Encode a message as a netstring."""
    return b"%d:%b," % (len(body), body)


class FrameDecoder:
    """Splits a stream of bytes into frames."""

    def __init__(self, limit: int = MAX_FRAME_BYTES) -> None:
        self.limit = limit
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes, and return the frames that are now complete. Raises
        `MalformedFrame`."""
        self.buffer += data
        out: list[bytes] = []
        while self.buffer:
            colon = self.buffer.find(b":", 0, MAX_LENGTH_DIGITS)
            if colon < 0:
                if len(self.buffer) >= MAX_LENGTH_DIGITS or not self.buffer.isdigit():
                    raise MalformedFrame("no valid length before the colon")
                break
            digits = bytes(self.buffer[:colon])
            if not digits.isdigit() or int(digits) > self.limit:
                raise MalformedFrame("length is not a number or exceeds the limit")
            end = colon + 1 + int(digits)
            if len(self.buffer) <= end:
                break
            if self.buffer[end] != ord(","):
                raise MalformedFrame("no comma after the message")
            out.append(bytes(self.buffer[colon + 1 : end]))
            del self.buffer[: end + 1]
        return out


class FrameProtocol(asyncio.Protocol):
    """A connection that carries netstrings, used by both ends."""

    def __init__(
        self,
        on_frame: Callable[["FrameProtocol", bytes], None],
        on_connection_lost: Callable[["FrameProtocol"], None],
    ) -> None:
        """Set the callbacks for each received frame and for the end of the connection."""
        self.on_frame = on_frame
        self.on_connection_lost = on_connection_lost
        self.decoder = FrameDecoder()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio when the connection is open."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, _fault: Exception | None) -> None:
        """Called by asyncio when the connection was closed by either side."""
        self.transport = None
        self.on_connection_lost(self)

    def data_received(self, data: bytes) -> None:
        """Called by asyncio: pass on complete frames, and close the connection if one is
        malformed."""
        try:
            frames = self.decoder.feed(data)
        except MalformedFrame:
            self.close()
            return
        for body in frames:
            self.on_frame(self, body)

    def send(self, body: bytes) -> bool:
        """Send a frame. Returns False if the connection is closed, or if the peer does not read and
        the write buffer is over its limit, which bounds memory."""
        if self.transport is None or self.transport.get_write_buffer_size() > MAX_FRAME_BYTES:
            return False
        self.transport.write(encode_frame(body))
        return True

    def close(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()
