"""Controllers <-> controllers, in netstrings of JSON."""

from msgspec import Raw, Struct


class DeferralRequest(
    Struct,
    tag="ask",
    tag_field="is",
    rename={"incarnation": "life", "unconfirmed_us": "blind_us"},
):
    """A shard leader without the key-value store asks not to be replaced for a while."""

    seq: int
    name: str
    incarnation: str
    span_us: int
    # How long ago it last knew of all confirmed cancellations; None if it doesn't ask for them.
    unconfirmed_us: int | None = None


class FailoverDeferral(
    Struct, tag="promise", tag_field="is", rename={"partitioned": "lonely", "incarnation": "life"}
):
    """The answer; a span of 0 is a refusal."""

    seq: int
    name: str
    incarnation: str
    span_us: int
    partitioned: bool = False  # has the answering controller lost the key-value store too?
    # Every cancellation that it has confirmed to anybody since then; None if it can't say.
    cancelled: list[str] | None = None


class CancellationNotice(Struct, tag="cancelled", tag_field="is"):
    """Jobs of which the sender is about to tell a user that they are cancelled."""

    refs: list[str]


class DutiesQuestion(Struct, tag="duties", tag_field="is"):
    """An operator asks who holds which duty, and what is open."""


class HeldDuty(Struct):
    """A duty, its holder's name, fencing token, and the time of day of the grant; 0: not held."""

    duty: str
    holder: str
    token: int
    since: int


class OpenIntent(Struct):
    """What is recorded and not carried out."""

    kind: str
    name: str
    machines: int
    since: int
    refused: str


class DutiesAnswer(Struct, tag="duties-told", tag_field="is"):
    """`unknown` tells why there is no answer; empty if there is one."""

    unknown: str = ""
    granted: bool = False  # on their own; else the shard leaders carry them out
    duties: list[HeldDuty] = []
    intents: list[OpenIntent] = []  # the oldest, if there are many
    open_count: int = 0


class HistoryQuestion(Struct, tag="history", tag_field="is"):
    """An operator asks for the first page of history after this key."""

    after: str


class HistoryAnswer(Struct, tag="history-told", tag_field="is"):
    """A page and its key; without a key there is none left."""

    unknown: str = ""
    key: str = ""
    page: Raw = Raw(b"null")


Question = DutiesQuestion | HistoryQuestion
Answer = DutiesAnswer | HistoryAnswer
Message = DeferralRequest | FailoverDeferral | CancellationNotice | Question | Answer
