"""The platform's clients against its stand-ins, under virtual time."""

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
    """Stand-ins in memory with a client of each."""

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
async def started() -> AsyncIterator[Fixture]:
    fixture = Fixture()
    await fixture.start()
    try:
        yield fixture
    finally:
        await fixture.close()


async def test_compare_and_set() -> None:
    async with started() as fixture:
        table = fixture.table
        first = await table.put("log/1", "a", if_version=0)
        assert isinstance(first, Accepted)
        row = Row("log/1", first.version, "a")
        assert await table.put("log/1", "b", if_version=0) == Conflict(row)
        assert isinstance(await table.put("log/1", "b", if_version=first.version), Accepted)
        assert await table.put("absent", "b", if_version=9) == Conflict(None)
        assert await table.get("absent") is None


async def test_a_row_made_anew_has_a_fresh_version() -> None:
    async with started() as fixture:
        first = await fixture.table.put("key", "a", if_version=0)
        assert isinstance(await fixture.table.delete("key"), Accepted)
        second = await fixture.table.put("key", "b", if_version=0)
        assert isinstance(first, Accepted) and isinstance(second, Accepted)
        assert second.version > first.version


async def test_one_of_many_writers_wins() -> None:
    async with started() as fixture:
        writes = [fixture.table.put("log/1", str(n), if_version=0) for n in range(20)]
        results = await asyncio.gather(*writes)
        assert sum(isinstance(result, Accepted) for result in results) == 1


async def test_scan_is_ordered_and_bounded() -> None:
    async with started() as fixture:
        for key in ("b/3", "a/2", "b/1", "b/2", "c"):
            await fixture.table.put(key, key)
        rows = await fixture.table.scan("b/", after="b/1", limit=1)
        assert [row.key for row in rows] == ["b/2"]
        assert [row.key for row in await fixture.table.scan("b/")] == ["b/1", "b/2", "b/3"]


async def test_many_puts_count_as_one_write() -> None:
    async with started() as fixture:
        results = await fixture.table.put_many(
            [Put("a", "1", 0), Put("a", "2", 0), Put("é b", "3")]
        )
        assert [type(result) for result in results] == [Accepted, Conflict, Accepted]
        assert fixture.platform.table.writes.total == 1
        assert (await fixture.table.get("é b")) is not None


async def test_lost_reply_leaves_the_write_in_effect() -> None:
    async with started() as fixture:
        fixture.platform.table.faults.lose_next = 1
        with pytest.raises(WriteUnknown):
            await fixture.table.put("log/1", "a", if_version=0)
        assert (await fixture.table.get("log/1")) is not None


@pytest.mark.parametrize("outage", [Outage.REFUSE, Outage.CUT, Outage.HANG])
async def test_outage_is_never_taken_for_an_answer(outage: Outage) -> None:
    async with started() as fixture:
        fixture.platform.table.faults.outage = outage
        with pytest.raises(PlatformUnavailable):
            await fixture.table.get("key")
        expected = PlatformUnavailable if outage is Outage.REFUSE else WriteUnknown
        with pytest.raises(expected):
            await fixture.table.put("key", "a")
        fixture.platform.table.faults.outage = Outage.NONE
        assert await fixture.table.get("key") is None


async def test_a_closed_service_certainly_wrote_nothing() -> None:
    async with started() as fixture:
        await fixture.platform.table.close()
        with pytest.raises(PlatformUnavailable):
            await fixture.table.put("key", "a")


async def test_slow_write_may_take_effect_after_its_timeout() -> None:
    async with started() as fixture:
        fixture.platform.table.faults.delay_s = 3.0
        with pytest.raises(WriteUnknown):
            await fixture.table.put("key", "a")
        fixture.platform.table.faults.delay_s = 0.0
        assert await fixture.table.get("key") is None
        await asyncio.sleep(2.0)
        assert await fixture.table.get("key") is not None


async def test_over_capacity_is_refused_with_a_wait() -> None:
    async with started() as fixture:
        table = fixture.platform.table
        writes = [fixture.table.put(str(n), "") for n in range(600)]
        results = await asyncio.gather(*writes, return_exceptions=True)
        refused = [result for result in results if isinstance(result, PlatformThrottled)]
        assert len(refused) == 100 == table.refused
        assert refused[0].retry_after_ms == 1000
        assert table.writes.peak == 500


async def test_objects() -> None:
    async with started() as fixture:
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


def member(host: str) -> Member:
    return Member(host, "labasa-hall", MemberRole.AGENT, f"{host}:1")  # type: ignore[arg-type]


async def test_membership_lags_and_unchanged_polls_are_told() -> None:
    async with started() as fixture:
        listing = fixture.platform.membership
        listing.put(member("10.0.0.1"))
        assert await fixture.membership.poll() == [member("10.0.0.1")]
        assert await fixture.membership.poll() == Unchanged()
        await asyncio.sleep(10.0)
        listing.faults.lag_s = 5.0
        listing.set_leaving("10.0.0.1")
        await asyncio.sleep(4.0)
        assert await fixture.membership.poll() == Unchanged()
        await asyncio.sleep(1.1)
        polled = await fixture.membership.poll()
        assert isinstance(polled, list) and polled[0].state is MemberState.LEAVING


async def test_control_sets_faults_and_refuses_unknown_ones() -> None:
    async with started() as fixture:
        http = HttpClient(fixture.network)
        address = fixture.platform.membership.address
        body = b'{"lag_s": 2, "outage": "refuse"}'
        assert (await http.request(address, "POST", "/control", body=body)).status == 200
        assert fixture.platform.membership.faults.outage is Outage.REFUSE
        for wrong in (b'{"lag": 2}', b'{"outage": "maybe"}', b"{"):
            assert (await http.request(address, "POST", "/control", body=wrong)).status == 400
        assert (await http.request(address, "GET", "/stats")).json()["lag_s"] == 2
        await http.close()


class SilentNetwork(MemoryNetwork):
    """A network on which connecting never ends, as to a host that is gone."""

    async def connect(self, address: str) -> Stream:
        await asyncio.sleep(3600)
        raise AssertionError(address)


@pytest.mark.parametrize("timeout_s", [0.5, 2.0, 30.0])
async def test_a_host_that_is_gone_certainly_wrote_nothing(timeout_s: float) -> None:
    table = TableClient(SilentNetwork(), "10.0.0.9:1", timeout_s)
    with pytest.raises(PlatformUnavailable):
        await table.put("key", "a")
    await table.close()


async def test_a_connection_cut_before_the_reply_is_not_called_broken_http() -> None:
    async with started() as fixture:
        fixture.platform.table.faults.outage = Outage.CUT
        http = HttpClient(fixture.network)
        with pytest.raises(ConnectionResetError):
            await http.request(fixture.platform.table.address, "GET", "/rows/key")
        await http.close()
