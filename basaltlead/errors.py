"""The errors that a call to another service may raise.

All of them derive from `ServiceError`, which callers catch where the difference doesn't matter to
them. `RequestFailed.sent` tells whether the request may have been executed; the others say that it
was not.
"""

from collections.abc import Sequence


class ServiceError(Exception):
    """A call to the key-value store, the cloud or a worker that did not succeed."""


class RequestFailed(ServiceError):
    """There was no usable answer. `sent` tells whether the request may have been executed."""

    def __init__(self, text: str, sent: bool) -> None:
        super().__init__(text)
        self.sent = sent


class Unavailable(ServiceError):
    """The other side refused the request for now (429, 503): it was not executed, and may be sent
    again later."""


class PreconditionFailed(ServiceError):
    """A precondition of a transaction did not hold, so nothing was changed; `failed` names the keys
    whose versions differ."""

    def __init__(self, failed: Sequence[str]) -> None:
        super().__init__(", ".join(failed))
        self.failed = list(failed)


class SessionLeaseExpired(ServiceError):
    """The session lease has expired, and the keys attached to it are gone."""


class RevisionCompacted(ServiceError):
    """The changes that a watch asked for are no longer kept: the keys must be listed again."""


class TransactionTooLarge(RequestFailed):
    """A transaction that the key-value store would refuse for its size, so it was not sent: the
    same transaction can never succeed, and must not be tried again."""

    def __init__(self, text: str) -> None:
        super().__init__(f"too large: {text}", sent=False)


class NoCapacity(ServiceError):
    """The cloud has no machine of this type and zone, spot or on demand as requested."""


class RequestRejected(RequestFailed):
    """The cloud calls the request wrong: the same one will be rejected again."""
