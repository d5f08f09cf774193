"""Errors of calls to other services, and of invalid settings.

Errors of calls derive from `ServiceError`, which callers catch if the difference doesn't matter to
them. `RequestFailed.sent` tells whether the request may have been executed; the others mean that
it was not.
"""

from collections.abc import Sequence


class ServiceError(Exception):
    """A call to the key-value store, the cloud or a worker that did not succeed."""


class RequestFailed(ServiceError):
    """There was no usable response. `sent` tells whether the request may have been executed."""

    def __init__(self, text: str, sent: bool) -> None:
        super().__init__(text)
        self.sent = sent


class Unavailable(ServiceError):
    """The service rejected the request temporarily (429, 503): it was not executed, and may be
    retried later."""


class PreconditionFailed(ServiceError):
    """A precondition of a transaction did not hold, so nothing was changed; `failed` lists the keys
    whose versions differ."""

    def __init__(self, failed: Sequence[str]) -> None:
        super().__init__(", ".join(failed))
        self.failed = list(failed)


class SessionLeaseExpired(ServiceError):
    """The session lease has expired, and the keys attached to it were deleted."""


class SettingsError(Exception):
    """The settings, or a file that they refer to, are invalid; the text names file and field."""


class RevisionCompacted(ServiceError):
    """The store no longer retains the changes that a watch requested: the keys must be listed
    again."""


class TransactionTooLarge(RequestFailed):
    """A transaction exceeds a limit of the key-value store, so it was not sent: it can never
    succeed, and must not be retried."""

    def __init__(self, text: str) -> None:
        super().__init__(f"too large: {text}", sent=False)


class NoCapacity(ServiceError):
    """The cloud has no machine available of this type and zone, spot or on demand as requested."""


class RequestRejected(RequestFailed):
    """The cloud rejected the request as invalid: the same request would be rejected again."""
