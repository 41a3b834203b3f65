"""Requests with an idempotency key or a ticket: one run at most, and the same answer for all."""

import asyncio

import pytest
from request_fleet import RequestFleet, fleet_test, prompt

from lacewinggw.lab.standin import Outage


@fleet_test()
async def test_a_repeated_key_gets_the_same_answer(fleet: RequestFleet) -> None:
    first = await fleet.entries[0].ask(idempotency_key="k")
    early = await fleet.entries[1].ask(idempotency_key="k")
    await asyncio.sleep(1)
    assert fleet.platform.objects.objects
    late = await fleet.entries[1].ask(idempotency_key="k")
    assert first.status == early.status == late.status == 200
    assert first.content == early.content == late.content
    assert len(fleet.runs()) == 1


@fleet_test()
async def test_concurrent_requests_with_one_key_at_two_entries_run_once(
    fleet: RequestFleet,
) -> None:
    one, other = await asyncio.gather(*(entry.ask(idempotency_key="k") for entry in fleet.entries))
    assert one.status == other.status == 200
    assert one.content == other.content
    assert len(fleet.runs()) == 1


@fleet_test()
async def test_a_key_reused_for_other_content_is_rejected(fleet: RequestFleet) -> None:
    await fleet.entries[0].ask(prompt("one"), idempotency_key="k")
    response = await fleet.entries[1].ask(prompt("two"), idempotency_key="k")
    assert (response.status, response.headers["outcome"]) == (422, "not-run")


@fleet_test()
async def test_a_claim_of_a_dead_agent_stays_unknown(fleet: RequestFleet) -> None:
    pending = asyncio.create_task(fleet.entries[0].ask(prompt(pieces=50), idempotency_key="k"))
    await asyncio.sleep(0.1)
    await fleet.agents[0].replace()
    assert (await pending).headers["outcome"] == "unknown"
    for _ in range(2):
        again = await fleet.entries[1].ask(prompt(pieces=50), idempotency_key="k")
        assert again.headers["outcome"] == "unknown"
        await asyncio.sleep(100)
    assert len(fleet.runs()) == 1


@pytest.mark.parametrize("outage", [Outage.REFUSE, Outage.CUT, Outage.HANG])
def test_a_keyed_request_does_not_run_without_the_store(outage: Outage) -> None:
    @fleet_test()
    async def run(fleet: RequestFleet) -> None:
        fleet.platform.table.faults.outage = outage
        first = await fleet.entries[0].ask(idempotency_key="k", idempotency_attempt="1")
        assert (first.status, first.headers["outcome"]) == (503, "not-run")
        later = await fleet.entries[0].ask(idempotency_key="k")
        assert (later.status, later.headers["outcome"]) == (503, "unknown")
        assert not fleet.runs()

    run()


@fleet_test()
async def test_a_claim_is_read_back_after_a_lost_reply(fleet: RequestFleet) -> None:
    fleet.platform.table.faults.lose_next = 1
    response = await fleet.entries[0].ask(idempotency_key="k")
    assert response.status == 200
    assert len(fleet.runs()) == 1


@fleet_test()
async def test_a_claim_from_a_lost_write_does_not_block_the_key(fleet: RequestFleet) -> None:
    fleet.platform.table.faults.lose_next = 2
    first = await fleet.entries[0].ask(idempotency_key="k", idempotency_attempt="1")
    assert (first.status, first.headers["outcome"]) == (503, "not-run")
    assert (await fleet.entries[1].ask(idempotency_key="k")).status == 200
    assert len(fleet.runs()) == 1


@fleet_test()
async def test_a_ticket_runs_once_at_any_entry_without_the_store(fleet: RequestFleet) -> None:
    ticket = await fleet.entries[0].ticket()
    fleet.platform.table.faults.outage = Outage.REFUSE
    one, other = await asyncio.gather(*(entry.ask(ticket=ticket) for entry in fleet.entries))
    assert one.status == other.status == 200
    assert one.content == other.content
    assert len(fleet.runs()) == 1


@fleet_test()
async def test_a_ticket_expires_is_lost_with_its_agent_and_cannot_be_forged(
    fleet: RequestFleet,
) -> None:
    entry = fleet.entries[0]
    expired, lost = await entry.ticket(), await entry.ticket()
    forged = await entry.ask(ticket=expired[:-1] + "x")
    assert (forged.status, forged.headers["outcome"]) == (400, "not-run")
    await asyncio.sleep(60)
    assert (await entry.ask(ticket=expired)).headers["outcome"] == "not-run"
    await fleet.agents[0].replace()
    assert (await entry.ask(ticket=lost)).headers["outcome"] == "unknown"
    assert not fleet.runs()


@fleet_test()
async def test_an_outcome_is_available_from_any_entry(fleet: RequestFleet) -> None:
    entry, other = fleet.entries
    request_id = (await entry.ask()).headers["request-id"]
    for querying in (entry, other):
        assert (await querying.get(f"/v1/requests/{request_id}")).json()["state"] == "answered"
        assert (await querying.get("/v1/requests/none")).status == 404
    await entry.stop()
    assert (await other.get(f"/v1/requests/{request_id}")).status == 404


@fleet_test()
async def test_an_answer_is_recorded_after_the_object_store_recovers(fleet: RequestFleet) -> None:
    objects, agent = fleet.platform.objects, fleet.agents[0]
    objects.faults.outage = Outage.REFUSE
    first = await fleet.entries[0].ask(idempotency_key="k")
    assert (await fleet.entries[1].ask(idempotency_key="k")).content == first.content
    await asyncio.sleep(20)
    objects.faults.outage = Outage.NONE
    await asyncio.sleep(40)
    await agent.replace()
    assert (await fleet.entries[1].ask(idempotency_key="k")).content == first.content
    assert len(fleet.runs()) == 1


@fleet_test()
async def test_a_key_that_did_not_run_may_run_later_elsewhere(fleet: RequestFleet) -> None:
    for agent in fleet.agents:
        agent.engine.faults.refuse_share = 1.0
    first = await fleet.entries[0].ask(idempotency_key="k")
    assert (first.status, first.headers["outcome"]) == (503, "not-run")
    fleet.agents[1].engine.faults.refuse_share = 0.0
    assert (await fleet.entries[1].ask(idempotency_key="k")).status == 200
    assert len(fleet.runs()) == 1


@fleet_test()
async def test_a_key_that_ran_is_never_reported_as_not_run_without_targets(
    fleet: RequestFleet,
) -> None:
    first = await fleet.entries[0].ask(idempotency_key="k")
    await asyncio.sleep(1)
    for agent in fleet.agents:
        agent.requests.begin_drain()
    again = await fleet.entries[1].ask(idempotency_key="k")
    assert (again.status, again.content) == (200, first.content)


@fleet_test()
async def test_concurrent_claims_share_a_write(fleet: RequestFleet) -> None:
    pending = [fleet.entries[0].ask(prompt(f"{n}"), idempotency_key=f"{n}") for n in range(8)]
    assert {each.status for each in await asyncio.gather(*pending)} == {200}
    assert fleet.platform.table.writes.total <= 2


@fleet_test()
async def test_recorded_answers_are_deleted_after_the_keep_time(fleet: RequestFleet) -> None:
    await fleet.entries[0].ask(idempotency_key="k")
    await asyncio.sleep(fleet.settings.requests.answer_keep_ms / 1000 + 60)
    assert not fleet.platform.objects.objects
    assert not fleet.platform.table.rows


@fleet_test(engines=1)
async def test_a_key_run_by_another_entry_in_between_is_not_reported_as_not_run(
    fleet: RequestFleet,
) -> None:
    entry, other = fleet.entries
    faults, write = fleet.agents[0].engine.faults, entry.table.put_many
    writes, answers = [], []
    faults.refuse_share = 1.0

    async def write_late(puts):
        writes.append(puts)
        if len(writes) == 2:
            faults.refuse_share = 0.0
            answers.append(await other.ask(idempotency_key="k"))
        return await write(puts)

    entry.table.put_many = write_late
    late = await entry.ask(idempotency_key="k")
    assert answers[0].status == late.status == 200
    assert answers[0].content == late.content
    assert len(fleet.runs()) == 1


@fleet_test()
async def test_a_repeated_key_does_not_wait_for_a_hanging_store(fleet: RequestFleet) -> None:
    fleet.platform.objects.faults.outage = Outage.HANG
    first = await fleet.entries[0].ask(idempotency_key="k")
    began = asyncio.get_running_loop().time()
    again = await fleet.entries[1].ask(idempotency_key="k")
    assert again.content == first.content
    assert asyncio.get_running_loop().time() - began < 0.5
