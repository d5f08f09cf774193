"""Controllers <-> controllers, in netstrings of JSON."""

from msgspec import Struct


class Ask(Struct, tag="ask", tag_field="is", rename={"incarnation": "life"}):
    """An owner without the state service asks not to be replaced for a while."""

    seq: int
    name: str
    incarnation: str
    span_us: int
    # How long ago it last knew of all confirmed cancellations; None if it doesn't ask for them.
    blind_us: int | None = None


class TakeoverDeferral(
    Struct, tag="promise", tag_field="is", rename={"partitioned": "lonely", "incarnation": "life"}
):
    """The answer; a span of 0 is a refusal."""

    seq: int
    name: str
    incarnation: str
    span_us: int
    partitioned: bool = False  # has the answering controller lost the state service too?
    # Every cancellation that it has confirmed to anybody since then; None if it can't say.
    cancelled: list[str] | None = None


class Cancelled(Struct, tag="cancelled", tag_field="is"):
    """Jobs of which the sender is about to tell a user that they are cancelled."""

    refs: list[str]


Message = Ask | TakeoverDeferral | Cancelled
