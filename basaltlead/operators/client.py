"""Client for operators' requests, over the protocol that controllers use between them."""

import asyncio
from collections.abc import Iterator
from functools import partial

import msgspec

from basaltlead.clients.codec import encode
from basaltlead.config.settings import Settings
from basaltlead.errors import SettingsError
from basaltlead.net.netstring import FrameProtocol
from basaltlead.wire.peers import (
    DutiesRequest,
    DutiesResponse,
    HistoryRequest,
    HistoryResponse,
    Message,
    OperatorRequest,
    OperatorResponse,
)

TIMEOUT_S = 5.0  # for connecting and the response together


class Unreachable(Exception):
    """The controller can't be reached, or does not respond in time."""


class StateUnavailable(Exception):
    """The controller does not know the requested state, since the store does not respond to it."""


def address_of(settings: Settings, controller: str | None) -> str:
    """Return the internal address of the named controller, by default the one that the settings
    belong to. Raises SettingsError if the settings name no such controller."""
    if controller is None or controller == settings.member:
        return settings.internal_addr
    for peer in settings.known:
        if peer.member == controller:
            return peer.address
    raise SettingsError(f"known: no controller {controller}")


def _on_message(
    answered: asyncio.Future[OperatorResponse], _protocol: FrameProtocol, body: bytes
) -> None:
    message = msgspec.json.decode(body, type=Message)
    if isinstance(message, OperatorResponse) and not answered.done():
        answered.set_result(message)


def _on_connection_lost(
    answered: asyncio.Future[OperatorResponse], _protocol: FrameProtocol
) -> None:
    if not answered.done():
        answered.set_exception(Unreachable("it closed the connection"))


async def _send_request(address: str, request: OperatorRequest) -> OperatorResponse:
    """Send a request and return its response. Raises Unreachable, OSError and TimeoutError."""
    loop = asyncio.get_running_loop()
    answered: asyncio.Future[OperatorResponse] = loop.create_future()
    host, port = address.rsplit(":", 1)
    async with asyncio.timeout(TIMEOUT_S):
        _, protocol = await loop.create_connection(
            lambda: FrameProtocol(
                partial(_on_message, answered), partial(_on_connection_lost, answered)
            ),
            host,
            int(port),
        )
        try:
            protocol.send(encode(request))
            return await answered
        finally:
            protocol.close()


def send_request(address: str, request: OperatorRequest) -> OperatorResponse:
    """Send a request and return its response. Raises Unreachable or StateUnavailable, with a text
    for the operator."""
    try:
        response = asyncio.run(_send_request(address, request))
    except TimeoutError:
        raise Unreachable(f"{address}: no answer within {TIMEOUT_S:.0f} s") from None
    except OSError as error:
        raise Unreachable(f"{address}: {error.strerror or error}") from None
    except Unreachable as error:
        raise Unreachable(f"{address}: {error}") from None
    if response.unknown:
        raise StateUnavailable(f"{address}: not known: {response.unknown}")
    return response


def duties(address: str) -> DutiesResponse:
    """Request the holders of the duties and the open intents. Raises Unreachable or
    StateUnavailable."""
    response = send_request(address, DutiesRequest())
    assert isinstance(response, DutiesResponse)
    return response


def history(address: str) -> Iterator[HistoryResponse]:
    """Request the pages of the recorded history one by one, in the order of their keys. Raises
    Unreachable or StateUnavailable."""
    after = ""
    while True:
        response = send_request(address, HistoryRequest(after))
        assert isinstance(response, HistoryResponse)
        if not response.key:
            return
        yield response
        after = response.key
