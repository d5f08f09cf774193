"""The operators' side: asks a controller, over the connections that controllers have."""

import asyncio
from collections.abc import Iterator

import msgspec

from basaltlead.clients.codec import encode
from basaltlead.config.settings import Settings
from basaltlead.errors import SettingsError
from basaltlead.net.netstring import FrameProtocol
from basaltlead.wire.peers import (
    Answer,
    DutiesAnswer,
    DutiesQuestion,
    HistoryAnswer,
    HistoryQuestion,
    Message,
    Question,
)

TIMEOUT_S = 5.0


class Unreachable(Exception):
    """The controller gives no answer."""


class NotKnown(Exception):
    """The controller answers that it does not know."""


def address_of(settings: Settings, controller: str | None) -> str:
    """Where a controller listens for others: the one whose settings these are, or a named one."""
    if controller is None or controller == settings.member:
        return settings.internal_addr
    for peer in settings.known:
        if peer.member == controller:
            return peer.address
    raise SettingsError(f"known: no controller {controller}")


async def _ask(address: str, question: Question) -> Answer:
    answered: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

    def received(protocol: FrameProtocol, body: bytes) -> None:
        message = msgspec.json.decode(body, type=Message)
        if isinstance(message, Answer) and not answered.done():
            answered.set_result(message)

    def lost(protocol: FrameProtocol) -> None:
        if not answered.done():
            answered.set_exception(Unreachable("it closed the connection"))

    host, port = address.rsplit(":", 1)
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(TIMEOUT_S):
        _, protocol = await loop.create_connection(
            lambda: FrameProtocol(received, lost), host, int(port)
        )
        try:
            protocol.send(encode(question))
            return await answered
        finally:
            protocol.close()


def ask(address: str, question: Question) -> Answer:
    """One question, and its answer."""
    try:
        answer = asyncio.run(_ask(address, question))
    except TimeoutError:
        raise Unreachable(f"{address}: no answer within {TIMEOUT_S:.0f} s") from None
    except OSError as fault:
        raise Unreachable(f"{address}: {fault.strerror or fault}") from None
    except Unreachable as fault:
        raise Unreachable(f"{address}: {fault}") from None
    if answer.unknown:
        raise NotKnown(f"{address}: not known: {answer.unknown}")
    return answer


def duties(address: str) -> DutiesAnswer:
    """Who holds which duty."""
    answer = ask(address, DutiesQuestion())
    assert isinstance(answer, DutiesAnswer)
    return answer


def history(address: str) -> Iterator[HistoryAnswer]:
    """The pages of the recorded history, one at a time."""
    after = ""
    while True:
        answer = ask(address, HistoryQuestion(after))
        assert isinstance(answer, HistoryAnswer)
        if not answer.key:
            return
        yield answer
        after = answer.key
