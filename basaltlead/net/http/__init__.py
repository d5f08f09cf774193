"""HTTP/1.1 client and server on `httptools` and `asyncio.Protocol`, without pipelining."""

from basaltlead.net.http.client import ConnectionPool
from basaltlead.net.http.messages import GET, POST, ClientResponse, Request, Response
from basaltlead.net.http.server import Server, listen

__all__ = [
    "GET",
    "POST",
    "ClientResponse",
    "ConnectionPool",
    "Request",
    "Response",
    "Server",
    "listen",
]
