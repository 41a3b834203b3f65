"""Tests of the platform's clients against stand-in services, under virtual time."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from lacewinggw.clients.membership import (
    Member,
    MemberRole,
    MembershipClient,
    MemberState,
    Unchanged,
    _decode_members,
)
from lacewinggw.clients.objects import ObjectClient
from lacewinggw.clients.table import Accepted, Conflict, Put, Row, TableClient
from lacewinggw.errors import PlatformThrottled, PlatformUnavailable, WriteUnknown
from lacewinggw.lab.memory import MemoryNetwork
from lacewinggw.lab.standin import Outage
from lacewinggw.lab.standins import PlatformStandIns
from lacewinggw.wire.http import HttpClient
from lacewinggw.wire.network import Stream

pytestmark = pytest.mark.looptime


class Fixture:
    """In-memory stand-ins for the platform's services, with a client for each."""

    def __init__(self) -> None:
        self.network = MemoryNetwork()
        self.platform = PlatformStandIns(self.network)

    async def start(self) -> None:
        await self.platform.start()
        settings = self.platform.addresses
        self.table = TableClient.from_settings(self.network, settings)
        self.objects = ObjectClient.from_settings(self.network, settings)
        self.membership = MembershipClient.from_settings(self.network, settings)

    async def close(self) -> None:
        for client in (self.table, self.objects, self.membership):
            await client.close()
        await self.platform.close()


@asynccontextmanager
async def started_fixture() -> AsyncIterator[Fixture]:
    fixture = Fixture()
    await fixture.start()
    try:
        yield fixture
    finally:
        await fixture.close()


async def test_compare_and_set() -> None:
    async with started_fixture() as fixture:
        table = fixture.table
        first = await table.put("log/1", "a", if_version=0)
        assert isinstance(first, Accepted)
        row = Row("log/1", first.version, "a")
        assert await table.put("log/1", "b", if_version=0) == Conflict(row)
        assert isinstance(await table.put("log/1", "b", if_version=first.version), Accepted)
        assert await table.put("absent", "b", if_version=9) == Conflict(None)
        assert await table.get("absent") is None


async def test_recreated_row_has_a_higher_version() -> None:
    async with started_fixture() as fixture:
        first = await fixture.table.put("key", "a", if_version=0)
        assert isinstance(await fixture.table.delete("key"), Accepted)
        second = await fixture.table.put("key", "b", if_version=0)
        assert isinstance(first, Accepted) and isinstance(second, Accepted)
        assert second.version > first.version


async def test_only_one_concurrent_conditional_write_succeeds() -> None:
    async with started_fixture() as fixture:
        writes = [fixture.table.put("log/1", str(n), if_version=0) for n in range(20)]
        results = await asyncio.gather(*writes)
        assert sum(isinstance(result, Accepted) for result in results) == 1


async def test_scan_returns_ordered_rows_up_to_the_limit() -> None:
    async with started_fixture() as fixture:
        for key in ("b/3", "a/2", "b/1", "b/2", "c"):
            await fixture.table.put(key, key)
        rows = await fixture.table.scan("b/", after="b/1", limit=1)
        assert [row.key for row in rows] == ["b/2"]
        assert [row.key for row in await fixture.table.scan("b/")] == ["b/1", "b/2", "b/3"]


async def test_put_many_counts_as_one_write() -> None:
    async with started_fixture() as fixture:
        results = await fixture.table.put_many(
            [Put("a", "1", 0), Put("a", "2", 0), Put("é b", "3")]
        )
        assert [type(result) for result in results] == [Accepted, Conflict, Accepted]
        assert fixture.platform.table.writes.total == 1
        assert (await fixture.table.get("é b")) is not None


async def test_write_takes_effect_when_its_reply_is_lost() -> None:
    async with started_fixture() as fixture:
        fixture.platform.table.faults.lose_next = 1
        with pytest.raises(WriteUnknown):
            await fixture.table.put("log/1", "a", if_version=0)
        assert (await fixture.table.get("log/1")) is not None


@pytest.mark.parametrize("outage", [Outage.REFUSE, Outage.CUT, Outage.HANG])
async def test_outage_raises_instead_of_returning_a_result(outage: Outage) -> None:
    async with started_fixture() as fixture:
        fixture.platform.table.faults.outage = outage
        with pytest.raises(PlatformUnavailable):
            await fixture.table.get("key")
        expected = PlatformUnavailable if outage is Outage.REFUSE else WriteUnknown
        with pytest.raises(expected):
            await fixture.table.put("key", "a")
        fixture.platform.table.faults.outage = Outage.NONE
        assert await fixture.table.get("key") is None


async def test_write_to_a_closed_service_is_known_to_have_no_effect() -> None:
    async with started_fixture() as fixture:
        await fixture.platform.table.close()
        with pytest.raises(PlatformUnavailable):
            await fixture.table.put("key", "a")


async def test_slow_write_may_take_effect_after_its_timeout() -> None:
    async with started_fixture() as fixture:
        fixture.platform.table.faults.delay_s = 3.0
        with pytest.raises(WriteUnknown):
            await fixture.table.put("key", "a")
        fixture.platform.table.faults.delay_s = 0.0
        assert await fixture.table.get("key") is None
        await asyncio.sleep(2.0)
        assert await fixture.table.get("key") is not None


async def test_writes_over_the_rate_limit_are_refused_with_a_retry_delay() -> None:
    async with started_fixture() as fixture:
        table = fixture.platform.table
        writes = [fixture.table.put(str(n), "") for n in range(600)]
        results = await asyncio.gather(*writes, return_exceptions=True)
        refused = [result for result in results if isinstance(result, PlatformThrottled)]
        assert len(refused) == 100 == table.refused
        assert refused[0].retry_after_ms == 1000
        assert table.writes.peak == 500


async def test_object_store_operations() -> None:
    async with started_fixture() as fixture:
        objects = fixture.objects
        await objects.put("snapshots/2", b"two")
        await objects.put("snapshots/1", b"one")
        assert await objects.list("snapshots/") == ["snapshots/1", "snapshots/2"]
        assert await objects.get("snapshots/2") == b"two"
        await objects.delete("snapshots/2")
        assert await objects.get("snapshots/2") is None
        fixture.platform.objects.faults.lose_next = 1
        with pytest.raises(WriteUnknown):
            await objects.put("answers/1", b"")


def make_member(host: str) -> Member:
    return Member(host, "labasa-hall", MemberRole.AGENT, f"{host}:1")  # type: ignore[arg-type]


async def test_membership_list_lags_and_reports_unchanged_polls() -> None:
    async with started_fixture() as fixture:
        stand_in = fixture.platform.membership
        stand_in.put(make_member("10.0.0.1"))
        assert await fixture.membership.poll() == [make_member("10.0.0.1")]
        assert await fixture.membership.poll() == Unchanged()
        await asyncio.sleep(10.0)
        stand_in.faults.lag_s = 5.0
        stand_in.set_leaving("10.0.0.1")
        await asyncio.sleep(4.0)
        assert await fixture.membership.poll() == Unchanged()
        await asyncio.sleep(1.1)
        polled = await fixture.membership.poll()
        assert isinstance(polled, list) and polled[0].state is MemberState.LEAVING


async def test_control_endpoint_sets_faults_and_rejects_invalid_ones() -> None:
    async with started_fixture() as fixture:
        http = HttpClient(fixture.network)
        address = fixture.platform.membership.address
        body = b'{"lag_s": 2, "outage": "refuse"}'
        assert (await http.request(address, "POST", "/control", body=body)).status == 200
        assert fixture.platform.membership.faults.outage is Outage.REFUSE
        for invalid_body in (b'{"lag": 2}', b'{"outage": "maybe"}', b"{"):
            assert (
                await http.request(address, "POST", "/control", body=invalid_body)
            ).status == 400
        assert (await http.request(address, "GET", "/stats")).json()["lag_s"] == 2
        await http.close()


class SilentNetwork(MemoryNetwork):
    """A network on which connecting never completes, as with an unreachable host."""

    async def connect(self, address: str) -> Stream:
        await asyncio.sleep(3600)
        raise AssertionError(address)


@pytest.mark.parametrize("timeout_s", [0.5, 2.0, 30.0])
async def test_write_to_an_unreachable_host_is_known_to_have_no_effect(timeout_s: float) -> None:
    table = TableClient(SilentNetwork(), "10.0.0.9:1", timeout_s)
    with pytest.raises(PlatformUnavailable):
        await table.put("key", "a")
    await table.close()


async def test_connection_cut_before_the_reply_is_not_an_http_error() -> None:
    async with started_fixture() as fixture:
        fixture.platform.table.faults.outage = Outage.CUT
        http = HttpClient(fixture.network)
        with pytest.raises(ConnectionResetError):
            await http.request(fixture.platform.table.address, "GET", "/rows/key")
        await http.close()


# Guards against a list of hosts that is not followed any more as one of its members is odd.
def test_a_member_that_cannot_be_decoded_does_not_affect_the_others() -> None:
    good = {"host": "h", "place": "p", "role": "entry", "address": "10.0.0.1:7000"}
    odd = [7, None, [], {}, {**good, "role": "none"}, {**good, "host": "\ud800"}]
    members = _decode_members({"hosts": [*odd, good]})
    assert [member.host for member in members] == ["h"]
