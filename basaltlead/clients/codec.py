"""JSON encoding and decoding of messages and records."""

from typing import Any, TypeVar

import msgspec

from basaltlead.errors import RequestFailed

T = TypeVar("T")


def decode(body: bytes, message_type: type[T]) -> T:
    """Decode the body of a response as a message of the given type.

    Raises `RequestFailed` with `sent` set if the body is malformed: this counts as no response, and
    the request may have been executed.
    """
    try:
        return msgspec.json.decode(body, type=message_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        # The command `duties` prints this text, so the wording must not change.
        raise RequestFailed(f"malformed answer: {error}", sent=True) from None


def encode(value: Any) -> bytes:
    """Encode a message or record as the JSON text that is sent or stored."""
    return msgspec.json.encode(value)
