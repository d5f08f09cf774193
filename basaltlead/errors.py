"""What a call to another service may end in, short of an answer, and unusable settings.

Those of calls derive from `ServiceError`. `RequestFailed.sent` tells whether the request may have
been executed; the others say that it was not.
"""

from collections.abc import Sequence


class ServiceError(Exception):
    """A call to the key-value store, the cloud or a worker that brought no answer."""


class RequestFailed(ServiceError):
    """There was no usable answer. `sent` tells whether the request may have been executed."""

    def __init__(self, text: str, sent: bool) -> None:
        super().__init__(text)
        self.sent = sent


class Unavailable(ServiceError):
    """The other side refused for now (429, 503): the request was not executed, and may be
    retried."""


class PreconditionFailed(ServiceError):
    """A precondition of a transaction did not hold; `failed` names the keys."""

    def __init__(self, failed: Sequence[str]) -> None:
        super().__init__(", ".join(failed))
        self.failed = list(failed)


class SessionLeaseExpired(ServiceError):
    """The session lease has expired, and the keys attached to it are gone."""


class TransactionTooLarge(RequestFailed):
    """A transaction that the key-value store would refuse for its size, so it was not sent: the
    same request can never succeed, and must not be retried."""

    def __init__(self, text: str) -> None:
        super().__init__(f"too large: {text}", sent=False)


class SettingsError(Exception):
    """Settings, or a file that they name, can't be used; the text names file and field."""


class RevisionCompacted(Exception):
    """The changes that a watch asked for are no longer kept: the keys must be listed again."""


class NoCapacity(ServiceError):
    """The cloud has no machine of this type, zone and kind (spot or ordinary)."""


class RequestRejected(RequestFailed):
    """The cloud says that the request is wrong: the same one will be rejected again."""
