"""Answers of the stand-ins."""

import json
from typing import Any

from basaltlead.net.http.messages import Response


def reply(status: int, value: Any) -> Response:
    return Response(status, json.dumps(value).encode())
