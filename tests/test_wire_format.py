"""Stored records and messages keep their encoding, so that two versions can run side by side."""

import msgspec
import pytest

from basaltlead.core.cluster_view import Grant, MemberRecord
from basaltlead.storage.records import StoredMachine, StoredScaleOut
from basaltlead.storage.result_rows import Progress
from basaltlead.wire.peers import CancellationNotice, DeferralRequest, FailoverDeferral
from basaltlead.wire.store import Drop, Precondition, Put, Transaction
from basaltlead.wire.workers import DirectCommand, HeartbeatResponse, WorkerCommand

SPELLINGS: list[tuple[msgspec.Struct, str]] = [
    (MemberRecord("n-0", "ab", 1), '{"name":"n-0","life":"ab","version":1}'),
    (Grant("n-0", "ab", 7), '{"name":"n-0","life":"ab","baton":7,"avoid":""}'),
    (
        Grant("n-0", "ab", 7, token_count=65536),
        '{"name":"n-0","life":"ab","baton":7,"avoid":"","token_count":65536}',
    ),
    (Progress(b"\x01", 1), '{"done":"AQ==","count":1,"running":0}'),
    (
        StoredScaleOut("k", "a", True, 3, 9),
        '{"kind":"k","zone":"a","spot":true,"number":3,"at":9,"names":null,"block":0}',
    ),
    (
        StoredMachine("k", "a", False, "10.1.0.1:9", 9),
        '{"kind":"k","zone":"a","spot":false,"address":"10.1.0.1:9","at":9,"block":0}',
    ),
    (
        DeferralRequest(1, "n-0", "ab", 5, None),
        '{"is":"ask","seq":1,"name":"n-0","life":"ab","span_us":5,"blind_us":null}',
    ),
    (
        FailoverDeferral(1, "n-1", "ab", 5, True, []),
        '{"is":"promise","seq":1,"name":"n-1","life":"ab","span_us":5,"lonely":true,"cancelled":[]}',
    ),
    (CancellationNotice(["req-000001"]), '{"is":"cancelled","refs":["req-000001"]}'),
    (HeartbeatResponse(7, []), '{"Baton":7,"Orders":[]}'),
    (
        DirectCommand(7, 1, [WorkerCommand("halt", "req-000001/0", 3, 2.0)]),
        '{"Baton":7,"Shift":1,"Orders":'
        '[{"Verb":"halt","Piece":"req-000001/0","Try":3,"WindDownS":2.0}]}',
    ),
]


@pytest.mark.parametrize(
    ("value", "spelling"), SPELLINGS, ids=[type(value).__name__ for value, _ in SPELLINGS]
)
def test_records_and_messages_keep_their_spelling(value: msgspec.Struct, spelling: str) -> None:
    assert msgspec.json.encode(value).decode() == spelling
    assert msgspec.json.decode(spelling, type=type(value)) == value


def test_member_record_without_a_version_has_version_zero() -> None:
    assert msgspec.json.decode('{"name":"n-0","life":"ab"}', type=MemberRecord) == MemberRecord(
        "n-0", "ab", 0
    )


def test_transactions_keep_their_spelling() -> None:
    sent = msgspec.json.encode(Transaction([Precondition("a", 4)], [Put("b", 1, 7), Drop("c")]))
    assert sent.decode() == (
        '{"Guards":[{"Path":"a","Stamp":4}],"Apply":[{"Put":"b","V":1,"Permit":7},{"Drop":"c"}]}'
    )
