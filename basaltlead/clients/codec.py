"""Messages and records as JSON."""

from typing import Any, TypeVar

import msgspec

from basaltlead.errors import RequestFailed

T = TypeVar("T")


def decode(body: bytes, message_type: type[T]) -> T:
    """The body of an answer as a message of the given type.

    Raises `RequestFailed` if it is malformed: that counts as no answer, and the request may have
    been executed.
    """
    try:
        return msgspec.json.decode(body, type=message_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as fault:
        raise RequestFailed(f"malformed answer: {fault}", sent=True) from None


def encode(value: Any) -> bytes:
    """A message or record as the JSON text that is sent or stored."""
    return msgspec.json.encode(value)
