"""HTTP requests, responses and status codes."""

from typing import NamedTuple

MAX_BODY_BYTES = 64 * 1024  # of a request, by the protocol

STATUS_OK = 200
STATUS_CREATED = 201
STATUS_BAD_REQUEST = 400
STATUS_FORBIDDEN = 403
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_GONE = 410
STATUS_TOO_LARGE = 413
STATUS_UNPROCESSABLE = 422
STATUS_TOO_MANY_REQUESTS = 429
STATUS_HEADERS_TOO_LARGE = 431
STATUS_UNAVAILABLE = 503

REASONS = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    421: "Misdirected Request",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


GET, POST = "GET", "POST"


class Request:
    """A request received by the server."""

    __slots__ = ("body", "method", "path", "query")

    def __init__(self, method: str, path: str, query: str, body: bytes) -> None:
        self.method = method
        self.path = path
        self.query = query
        self.body = body


class Response:
    """A response to be sent by the server; `headers` are complete lines that end with CR LF."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, body: bytes = b"{}", headers: str = "") -> None:
        self.status = status
        self.body = body
        self.headers = headers


class ClientResponse(NamedTuple):
    """A response received by the client."""

    status: int
    body: bytes
