"""Messages among controllers, and between operators and controllers, in netstrings of JSON.

`name` is the sender, and `incarnation` that of the controller that requests the deferral: an answer
repeats it, so that one to an earlier incarnation is recognised.
"""

from msgspec import Raw, Struct

PEER_NAMES = {
    "sequence": "seq",
    "incarnation": "life",
    "unconfirmed_us": "blind_us",
    "partitioned": "lonely",
}


class DeferralRequest(Struct, tag="ask", tag_field="is", rename=PEER_NAMES):
    """A controller without the key-value store requests not to be replaced for a span."""

    sequence: int
    name: str
    incarnation: str
    span_us: int
    # How long ago it last knew all confirmed cancellations; None if it doesn't need them.
    unconfirmed_us: int | None = None


class FailoverDeferral(Struct, tag="promise", tag_field="is", rename=PEER_NAMES):
    """The answer; a span of 0 is a refusal. The span counts from when the request was sent."""

    sequence: int
    name: str
    incarnation: str
    span_us: int
    partitioned: bool = False  # has the answering controller lost the key-value store too?
    # Every cancellation that it has confirmed to anybody in `unconfirmed_us`; None if it can't say.
    cancelled: list[str] | None = None


class CancellationNotice(Struct, tag="cancelled", tag_field="is"):
    """Jobs whose cancellation the sender is about to confirm to a user."""

    refs: list[str]


class DutiesRequest(Struct, tag="duties", tag_field="is"):
    """An operator asks who holds which duty, and which intents are open."""


class HeldDuty(Struct):
    """A duty with its holder's name, fencing token, and the time of day of the grant in
    microseconds; an empty name and 0 if nobody holds it."""

    duty: str
    holder: str
    token: int
    since: int


class OpenIntent(Struct):
    """An intent that is recorded and not carried out so far, since a time of day; `refused` is why
    the cloud rejects it."""

    kind: str
    name: str
    machines: int
    since: int
    refused: str


class DutiesResponse(Struct, tag="duties-told", tag_field="is"):
    """The duties and open intents; `unknown` tells why there is no answer, and is empty if there is
    one."""

    unknown: str = ""
    granted: bool = False  # on their own; else the shard leaders carry them out
    duties: list[HeldDuty] = []
    intents: list[OpenIntent] = []  # the oldest, if there are many
    open_count: int = 0


class HistoryRequest(Struct, tag="history", tag_field="is"):
    """An operator asks for the first page of the duties' history after this key."""

    after: str


class HistoryResponse(Struct, tag="history-told", tag_field="is"):
    """A page of the history and its key, which is empty if there is none left; `unknown` tells why
    there is no answer."""

    unknown: str = ""
    key: str = ""
    page: Raw = Raw(b"null")


OperatorRequest = DutiesRequest | HistoryRequest
OperatorResponse = DutiesResponse | HistoryResponse
Message = (
    DeferralRequest | FailoverDeferral | CancellationNotice | OperatorRequest | OperatorResponse
)
