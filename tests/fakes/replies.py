"""What the fakes share: their answers, and the key of a change in a transaction."""

import json
from typing import Any

from basaltlead.net.http.messages import Response


def key_of(change: dict[str, Any]) -> str:
    """The key that a change puts or drops."""
    return str(change["Put"] if "Put" in change else change["Drop"])


def reply(status: int, value: Any) -> Response:
    """A JSON answer."""
    return Response(status, json.dumps(value).encode())
