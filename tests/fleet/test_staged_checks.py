"""Staged pieces that turn bad between their check and the acceptance of the order."""

import asyncio

import pytest
from declared_fleet import running_fleet
from platform_standins import CHUNKS, MODEL, TargetStandIn, piece
from test_weights_burst import EVERY_PIECE, name_version, start_agents

from lacewinggw.decisions.loadproof import LoadProof
from lacewinggw.decisions.stagedchecks import CHECK_VALIDITY_S, MAX_CHECK_AGE_S, StagedChecks

pytestmark = pytest.mark.looptime

ROT_S = 3.0  # a target may take a piece that turned bad less than this ago


class RottingReads:
    """Pauses a target before some reads, and spoils the first piece once it was read back."""

    def __init__(self, target: TargetStandIn, pauses: dict[int, float]) -> None:
        self.target = target
        self.spoilt_at: float | None = None
        self.taken_after_s: list[float] = []  # of each order: how long the piece had been bad
        self.reads = 0
        self._pauses = dict(pauses)
        target.on_read = self._note_read
        target.on_order = self._note_order

    def _note_read(self, index: int) -> None:
        is_staged = self.target.staged == {each: piece(2, each) for each in range(CHUNKS)}
        if not is_staged and self.spoilt_at is None:
            return
        if index == 0 and self.spoilt_at is None:
            asyncio.get_running_loop().call_later(0.01, self._spoil)
        self.reads += 1
        if pause_s := self._pauses.pop(self.reads, 0.0):
            self.target.pause(pause_s)

    def _spoil(self) -> None:
        self.target.staged[0] = b"rotten"
        self.spoilt_at = asyncio.get_running_loop().time()

    def _note_order(self) -> None:
        is_bad = self.target.staged[0] != piece(2, 0)
        bad_for_s = asyncio.get_running_loop().time() - self.spoilt_at if is_bad else 0.0
        self.taken_after_s.append(bad_for_s)


@pytest.mark.parametrize(
    "pauses",
    [
        {2: 0.85, 4: 0.85, 6: 0.85, 8: 0.85},
        dict.fromkeys(range(2, 9), 0.6),
        dict.fromkeys(range(2, 30), 0.45),
        {8: 0.95, 9: 0.95, 10: 0.95, 11: 0.95},
    ],
)
# Guards against bad weights in use: the target pauses during the check, and a checked piece rots.
async def test_a_piece_that_turned_bad_during_a_long_check_is_not_loaded(pauses):
    async with running_fleet(engines=1) as fleet:
        (engine,) = await start_agents(fleet)
        reads = RottingReads(engine, pauses)
        name_version(fleet, 2)
        await asyncio.sleep(30.0)
        assert reads.taken_after_s and max(reads.taken_after_s) < ROT_S
        assert engine.weights[MODEL] == 2


# Guards against a version that is never loaded since the target answers each read too slowly for
# one check after the other.
@pytest.mark.parametrize("read_s", [0.2, 0.5, 0.9])
async def test_a_target_with_slow_reads_still_loads_a_version(read_s):
    async with running_fleet(engines=1) as fleet:
        (engine,) = await start_agents(fleet)
        engine.behaviour.read_s = read_s
        name_version(fleet, 2)
        await asyncio.sleep(25.0)
        assert engine.weights[MODEL] == 2
        assert engine.loaded == EVERY_PIECE


# Guards against the same at a target that serves one read after the other, where reading several
# pieces at once takes as long, and longer than a read may.
async def test_a_target_that_serves_one_read_at_a_time_still_loads_a_version():
    async with running_fleet(engines=1) as fleet:
        (engine,) = await start_agents(fleet)
        engine.behaviour.read_s = 0.2
        engine.reads = asyncio.Semaphore(1)
        name_version(fleet, 2)
        await asyncio.sleep(25.0)
        assert engine.weights[MODEL] == 2
        assert engine.loaded == EVERY_PIECE


# Guards against an agent that stands still after the check and sends the order as it wakes.
async def test_an_order_is_not_sent_with_checks_from_before_a_suspension(monkeypatch):
    async with running_fleet(engines=1) as fleet:
        (engine,) = await start_agents(fleet)
        agent = fleet.agents["engine0"]
        client = agent._target._http
        acquire = client._acquire_connection
        suspended: list[float] = []

        async def acquire_slowly(address, connect_s):
            connection = await acquire(address, connect_s)
            if agent._loader.is_loading and not suspended:
                suspended.append(4.0)
                clock = agent._loader._clock
                monkeypatch.setattr(agent._loader, "_clock", lambda: clock() + 4.0)
            return connection

        monkeypatch.setattr(client, "_acquire_connection", acquire_slowly)
        name_version(fleet, 2)
        await asyncio.sleep(12.0)
        assert suspended
        assert agent.metrics.counter("staged_checks_outdated").value == 1
        assert len(engine.orders) == 1
        assert engine.weights[MODEL] == 2


# Guards against requests on weights that were taken long after their check: the target paused
# with the order, gave no response, and accepted it later.
async def test_no_request_runs_on_pieces_that_were_bad_when_a_late_order_was_accepted():
    async with running_fleet(engines=1) as fleet:
        (engine,) = await start_agents(fleet)
        engine.order_delay_s = 4.0

        def pause_and_spoil() -> None:
            engine.pause(engine.order_delay_s + 0.1)
            engine.staged[0] = b"rotten"

        engine.on_order_received = pause_and_spoil
        name_version(fleet, 2)
        await asyncio.sleep(16.0)
        assert engine.weights[MODEL] == 2
        assert engine.loaded[0] == b"rotten"
        seen = len(engine.seen)
        reply = await fleet.ask("/report/1", X_Model="market", left_ms=1500)
        assert reply.status == 503
        assert len(engine.seen) == seen


# Guards against a sound target that is kept from requests, as it gave no response to its order.
async def test_a_target_whose_late_order_took_intact_pieces_is_used():
    async with running_fleet(engines=1) as fleet:
        (engine,) = await start_agents(fleet)
        engine.order_delay_s = 2.0
        name_version(fleet, 2)
        await asyncio.sleep(15.0)
        assert engine.weights[MODEL] == 2
        reply = await fleet.ask("/report/1", X_Model="market")
        assert (reply.status, reply.whole) == (200, True)


# Guards against checks that count from the response: a piece may turn bad while it is on its way.
def test_a_check_is_as_old_as_the_sending_of_its_read():
    checks = StagedChecks(2)
    checks.begin_pass(0.0)
    checks.note_intact(0, sent_at=0.0)
    checks.note_intact(1, sent_at=1.0)
    assert checks.may_order(MAX_CHECK_AGE_S)
    assert not checks.may_order(MAX_CHECK_AGE_S + 0.01)
    assert checks.are_valid(CHECK_VALIDITY_S - 0.01)
    assert checks.begin_pass(1.5) == [0]


# Guards against an order for a piece that was staged and not read back.
def test_a_piece_staged_anew_is_unchecked():
    checks = StagedChecks(2)
    checks.note_intact(0, 0.0)
    checks.note_intact(1, 0.0)
    checks.note_changed(1)
    assert not checks.may_order(0.1)
    assert checks.begin_pass(0.1) == [1]


# Guards against reads of all pieces at once where the target answers quickly.
def test_pieces_are_read_one_after_the_other_at_a_sound_pace():
    checks = StagedChecks(64)
    due = checks.begin_pass(0.0)
    for done in range(1, 65):
        checks.note_batch(done, len(due), done * 0.01)
    assert checks.concurrent_reads == 1


# Guards against a later response that clears an earlier order without one.
def test_an_order_without_a_response_stays_unproven_until_the_pieces_are_read_back():
    proof = LoadProof()
    proof.note_sent(2)
    proof.note_no_response()
    proof.note_sent(2)  # refused: the earlier one was accepted
    assert not proof.is_usable(2)
    assert proof.is_usable(1)
    assert proof.needs_read_back(2)
    proof.note_read_back(is_intact=True)
    assert proof.is_usable(2)
