"""Messages between controllers, and between operators and controllers: JSON in netstrings.

`name` is the sender. `incarnation` identifies the run of the controller that requests a deferral;
the response repeats it, so that a response to an earlier incarnation is recognised.
"""

from msgspec import Raw, Struct

PEER_NAMES = {
    "sequence": "seq",
    "incarnation": "life",
    "unconfirmed_us": "blind_us",
    "partitioned": "lonely",
}


class DeferralRequest(Struct, tag="ask", tag_field="is", rename=PEER_NAMES):
    """A controller that can't reach the key-value store asks not to be replaced for `span_us`."""

    sequence: int
    name: str
    incarnation: str
    span_us: int
    # Time since it last knew all confirmed cancellations; None if it doesn't need them.
    unconfirmed_us: int | None = None


class FailoverDeferral(Struct, tag="promise", tag_field="is", rename=PEER_NAMES):
    """The response to a deferral request; `span_us` counts from when the request was sent, and 0
    is a refusal."""

    sequence: int
    name: str
    incarnation: str
    span_us: int
    partitioned: bool = False  # whether the responding controller can't reach the store either
    # All cancellations that it confirmed within `unconfirmed_us`; None if it doesn't know them all.
    cancelled: list[str] | None = None


class CancellationNotice(Struct, tag="cancelled", tag_field="is"):
    """Jobs whose cancellation the sender is about to confirm to a user."""

    refs: list[str]


class DutiesRequest(Struct, tag="duties", tag_field="is"):
    """An operator's request for the holders of the duties and the open intents."""


class HeldDuty(Struct):
    """A duty with its holder, the holder's fencing token, and the wall-clock time of the grant in
    microseconds; an empty name and 0 if the duty has no holder."""

    duty: str
    holder: str
    token: int
    since: int


class OpenIntent(Struct):
    """An intent that is recorded but not yet executed; `since` is a wall-clock time in
    microseconds, and `refused` the reason if the cloud rejects it."""

    kind: str
    name: str
    machines: int
    since: int
    refused: str


class DutiesResponse(Struct, tag="duties-told", tag_field="is"):
    """The duties and open intents; if they are not known, `unknown` is the reason, else empty."""

    unknown: str = ""
    granted: bool = False  # whether duties have holders; else the shard leaders perform them
    duties: list[HeldDuty] = []
    intents: list[OpenIntent] = []  # only the oldest ones if there are many
    open_count: int = 0


class HistoryRequest(Struct, tag="history", tag_field="is"):
    """An operator's request for the first page of the duties' history after this key."""

    after: str


class HistoryResponse(Struct, tag="history-told", tag_field="is"):
    """A page of the history and its key, which is empty if there are no more pages; if the history
    is not known, `unknown` is the reason."""

    unknown: str = ""
    key: str = ""
    page: Raw = Raw(b"null")


OperatorRequest = DutiesRequest | HistoryRequest
OperatorResponse = DutiesResponse | HistoryResponse
Message = (
    DeferralRequest | FailoverDeferral | CancellationNotice | OperatorRequest | OperatorResponse
)
