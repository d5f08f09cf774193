"""Helpers that the fakes share: JSON responses, and the key of a change in a transaction."""

import json
from typing import Any

from basaltlead.net.http.messages import Response


def key_of(change: dict[str, Any]) -> str:
    """Return the key that a change puts or deletes."""
    return str(change["Put"] if "Put" in change else change["Drop"])


def reply(status: int, value: Any) -> Response:
    """Return a JSON response."""
    return Response(status, json.dumps(value).encode())
