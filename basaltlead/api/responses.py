"""Responses that several parts of the interface share."""

from basaltlead.clients.codec import encode
from basaltlead.net.http.messages import Response
from basaltlead.wire.users import ErrorBody, JobStatusResponse

RETRY_SOON = "Retry-After: 1\r\n"
RETRY_LATER = "Retry-After: 3\r\n"


def error_response(status: int, text: str, headers: str = "") -> Response:
    """Create an error response; `text` is its reason."""
    return Response(status, encode(ErrorBody(text)), headers)


def job_response(status: int, ref: str, stage: str, done: int = 0, running: int = 0) -> Response:
    """Create a response with the state of a job."""
    return Response(status, encode(JobStatusResponse(ref, stage, done, running)))
