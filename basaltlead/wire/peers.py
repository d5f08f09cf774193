"""Controllers <-> controllers, in netstrings of JSON."""

from msgspec import Struct


class Ask(Struct, tag="ask", tag_field="is"):
    """An owner without the state service asks not to be replaced for a while."""

    seq: int
    name: str
    life: str
    span_us: int


class Promise(Struct, tag="promise", tag_field="is"):
    """The answer; a span of 0 is a refusal."""

    seq: int
    name: str
    life: str
    span_us: int
    lonely: bool = False  # has the answering controller lost the state service too?


Message = Ask | Promise
