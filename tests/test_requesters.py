"""What the lab's callers make of responses, and what the experiment counts."""

import asyncio
import hashlib
import json

import pytest
from virtual import run_virtual

from lacewinggw.lab.disturbances import FaultKind, parse_faults
from lacewinggw.lab.facts import Facts
from lacewinggw.lab.history import Answered, Broken, NotRun, RunEnded, RunStarted, Sent, Unknown
from lacewinggw.lab.memory import MemoryNetwork
from lacewinggw.lab.relay import Relay
from lacewinggw.lab.requesters import judge, judge_stream
from lacewinggw.lab.requests import (
    count_not_run,
    count_unknown,
    index_content,
    run,
    stranger,
)
from lacewinggw.wire.http import Response

FINAL = f"event: final\ndata: {json.dumps({'weights_digest': 'w'})}\n\n"
PIECES = 'id: 0\ndata: "a"\n\nid: 1\ndata: "b"\n\n'


def digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


def test_a_response_is_judged_by_its_headers() -> None:
    whole = Response(200, {"outcome": "answered", "pieces": "2", "weights-digest": "w"}, b"ab")
    assert judge("a", 1.0, whole) == Answered(1.0, "a", digest("ab"), 2, "w")
    refused = Response(503, {"outcome": "not-run", "error-code": "LW-6002"})
    assert judge("a", 1.0, refused) == NotRun(1.0, "a", "LW-6002")
    unknown = Response(502, {"outcome": "unknown", "error-code": "LW-7001"})
    assert judge("a", 1.0, unknown) == Unknown(1.0, "a", "LW-7001")
    assert isinstance(judge("a", 1.0, Response(200, {}, b"ab")), Broken)


def test_a_stream_is_whole_only_by_its_final_event() -> None:
    whole = judge_stream("a", 1.0, (PIECES + FINAL).encode())
    assert whole == Answered(1.0, "a", digest("ab"), 2, "w")
    assert isinstance(judge_stream("a", 1.0, PIECES.encode()), Broken)
    jumped = PIECES.replace("id: 1", "id: 2") + FINAL
    assert isinstance(judge_stream("a", 1.0, jumped.encode()), Broken)
    failed = PIECES + 'event: error\ndata: {"outcome": "unknown", "code": "LW-7004"}\n\n'
    assert judge_stream("a", 1.0, failed.encode()) == Unknown(1.0, "a", "LW-7004")


def test_answers_of_others_and_of_nobody_are_told_apart() -> None:
    own = [RunStarted(1.0, "host-1", "run-1", "r"), RunEnded(1.5, "run-1", "own", 3)]
    other = [RunStarted(1.0, "host-1", "run-2", "q"), RunEnded(1.5, "run-2", "other", 3)]
    sent = [Sent(0.5, name, "r", "entry-1") for name in "abcd"]
    told = [
        Answered(2.0, "a", "own", 3),
        Answered(2.0, "b", "other", 3),
        Answered(2.0, "c", "own", 2),
        Unknown(2.0, "d", "LW-7001"),
    ]
    facts = Facts.from_history([*own, *other, *sent, *told])
    attempts = [facts.attempts[name] for name in "abcd"]
    found = [stranger(index_content(facts), attempt) for attempt in attempts]
    assert found == ["", "foreign", "incomplete", ""]
    assert count_unknown(attempts) == {"LW-7001": 1}
    assert count_not_run(attempts) == {}


def test_faults_are_named_and_unknown_ones_refused(capsys: pytest.CaptureFixture[str]) -> None:
    assert parse_faults("all") == list(FaultKind)
    assert parse_faults("none") == []
    assert parse_faults("cut,kill-agent") == [FaultKind.CUT, FaultKind.KILL_AGENT]
    assert run(["--faults", "earthquake"]) == 2
    assert "earthquake" in capsys.readouterr().err


def test_a_relay_passes_bytes_until_it_is_cut() -> None:
    async def body() -> None:
        network = MemoryNetwork()

        async def echo(stream) -> None:
            while data := await stream.read(100):
                stream.write(data)

        far = await network.listen("10.0.0.1:1", echo)
        relay = Relay(network, "10.0.0.2:1", far.address)
        await relay.start()
        stream = await network.connect(relay.address)
        stream.write(b"bytes")
        assert await stream.readexactly(5) == b"bytes"
        assert relay.cut() == 1
        assert await stream.read(1) == b""
        again = await network.connect(relay.address)
        again.write(b"more")
        assert await again.readexactly(4) == b"more"
        await relay.close()
        await far.close()
        await asyncio.sleep(1)

    run_virtual(body())
