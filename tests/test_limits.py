"""Account limits split over entries: the split itself, and running entries on virtual time."""

import asyncio
import random
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

import pytest

from lacewinggw.clients.membership import Member, MemberRole, MemberState
from lacewinggw.decisions.limits import AccountDeclaration, TokenBucket, split_limit
from lacewinggw.entry.limits import AccountAdmission, AccountLimits, AccountRejection
from lacewinggw.errors import Refusal
from lacewinggw.generated.messages.ttypes import Priority, Role
from lacewinggw.generated.settings.ttypes import (
    EntrySettings,
    ProcessSettings,
    RoutingSettings,
    Settings,
)
from lacewinggw.ids import Account, Address, HostId, Place
from lacewinggw.lab.memory import MemoryNetwork
from lacewinggw.metrics import Metrics
from lacewinggw.wire.peers import Identity, PeerNode

pytestmark = pytest.mark.looptime(noop_cycles=2)

LIMIT = 60.0
BUYERS = Account("buyers")


def test_shares_add_up_and_follow_demand() -> None:
    a, b, c = HostId("a"), HostId("b"), HostId("c")
    assert split_limit(9.0, {a: 0.0, b: 0.0, c: 0.0}) == pytest.approx({a: 3, b: 3, c: 3})
    assert split_limit(10.0, {a: 2.0, b: 20.0}) == pytest.approx({a: 2, b: 8})
    skewed = split_limit(100.0, {a: 1000.0, b: 0.0, c: 0.0})
    assert skewed[a] > 98
    rng = random.Random(1)
    for _ in range(200):
        demands = {HostId(f"e{n}"): rng.expovariate(0.01) for n in range(rng.randint(1, 9))}
        shares = split_limit(50.0, demands)
        assert sum(shares.values()) == pytest.approx(50.0)
        assert min(shares.values()) > 0


def test_each_refusal_gets_a_later_retry_time() -> None:
    bucket = TokenBucket(rate=10.0)
    retry_times = [bucket.retry_after_s() for _ in range(5)]
    assert retry_times == sorted(retry_times)
    assert retry_times[-1] == pytest.approx(0.5)


@pytest.mark.parametrize("text", ["a:t:1", "a:t:0:1", "a:t:1:x", "a:t:nan:1", "a:t:1:1:0"])
def test_a_malformed_account_is_rejected(text: str) -> None:
    with pytest.raises(ValueError):
        AccountDeclaration.parse(text)


@dataclass
class Entries:
    """Entries on an in-memory network that share one list of members."""

    limits: list[AccountLimits]
    nodes: list[PeerNode]
    members: list[Member]


@asynccontextmanager
async def make_entries(count: int, concurrency: int = 1000) -> AsyncIterator[Entries]:
    network = MemoryNetwork()
    members: list[Member] = []
    entries = Entries([], [], members)
    for n in range(count):
        ip = f"10.0.0.{n + 1}"
        settings = Settings(
            process=ProcessSettings(host=f"e{n}", place=f"p{n % 3}", fleet_key="k"),
            entry=EntrySettings(accounts=[f"{BUYERS}:t:{LIMIT}:{concurrency}"]),
            routing=RoutingSettings(),
        )
        limits: list[AccountLimits] = []

        async def handle(exchange: object, own: list[AccountLimits] = limits) -> None:
            await own[0].handle(exchange)

        identity = Identity(f"e{n}", Role.ENTRY, f"p{n % 3}", f"i{n}")
        node = PeerNode(network.view(ip), identity, "k", handle)
        await node.start(f"{ip}:7000")
        limits.append(AccountLimits.from_config(settings, node, lambda: tuple(members), Metrics()))
        await limits[0].start()
        entries.limits.append(limits[0])
        entries.nodes.append(node)
        address = Address(f"{ip}:7000")
        entries.members.append(
            Member(HostId(f"e{n}"), Place(f"p{n % 3}"), MemberRole.ENTRY, address)
        )
    yield entries
    for each in entries.limits:
        await each.close()
    for node in entries.nodes:
        await node.close()


async def offer(entries: Sequence[AccountLimits], rates: Sequence[float], seconds: float) -> float:
    """Offer requests at each entry at its own rate; return the total admitted rate per second."""
    loop = asyncio.get_running_loop()
    admitted = 0

    async def offer_one(limits: AccountLimits, rate: float) -> None:
        nonlocal admitted
        end = loop.time() + seconds
        while rate and loop.time() < end:
            if isinstance(limits.admit(BUYERS, Priority.NORMAL, loop.time()), AccountAdmission):
                admitted += 1
                limits.release(BUYERS)
            await asyncio.sleep(1 / rate)

    await asyncio.gather(*map(offer_one, entries, rates))
    return admitted / seconds


@pytest.mark.parametrize(
    "rates",
    [(200.0, 200.0, 200.0), (590.0, 5.0, 5.0), (600.0, 0.0, 0.0), (600.0, 4.0, 0.0)],
    ids=["even", "skewed", "one-entry", "nearly-one"],
)
async def test_ten_times_the_limit_is_admitted_at_the_limit(rates: tuple[float, ...]) -> None:
    async with make_entries(3) as entries:
        await offer(entries.limits, rates, 3.0)
        admitted = await offer(entries.limits, rates, 20.0)
    assert admitted == pytest.approx(LIMIT, rel=0.1)


async def test_a_lost_entrys_share_goes_to_the_others() -> None:
    async with make_entries(3) as entries:
        await offer(entries.limits, (200.0, 200.0, 200.0), 5.0)
        await entries.limits[0].close()
        await entries.nodes[0].close()
        admitted = await offer(entries.limits[1:], (300.0, 300.0), 20.0)
    assert admitted == pytest.approx(LIMIT, rel=0.1)


async def test_the_limit_holds_while_demand_moves_between_entries() -> None:
    async with make_entries(3) as entries:
        total = 0.0
        for turn in range(10):
            rates = [600.0 if n == turn % 3 else 0.0 for n in range(3)]
            total += await offer(entries.limits, rates, 4.0)
    assert total / 10 == pytest.approx(LIMIT, rel=0.1)


async def test_urgent_requests_get_through_an_account_that_fills_its_limit() -> None:
    async with make_entries(1) as entries:
        limits, loop = entries.limits[0], asyncio.get_running_loop()
        refused = 0
        for step in range(2000):
            limits.admit(BUYERS, Priority.BULK, loop.time())
            if step % 100 == 0:
                urgent = limits.admit(BUYERS, Priority.URGENT, loop.time())
                refused += isinstance(urgent, AccountRejection)
            await asyncio.sleep(0.002)
    assert refused == 0


async def test_concurrency_is_limited_and_released() -> None:
    async with make_entries(1, concurrency=4) as entries:
        limits, now = entries.limits[0], asyncio.get_running_loop().time()
        answers = [limits.admit(BUYERS, Priority.URGENT, now) for _ in range(5)]
        assert [type(each) for each in answers] == [AccountAdmission] * 4 + [AccountRejection]
        refused = answers[-1]
        assert isinstance(refused, AccountRejection)
        assert refused.reason is Refusal.ACCOUNT_LIMIT
        assert refused.retry_after_ms > 0
        limits.release(BUYERS)
        assert isinstance(limits.admit(BUYERS, Priority.URGENT, now), AccountAdmission)


async def test_leaving_entries_are_not_assigned_to_accounts() -> None:
    async with make_entries(4) as entries:
        chosen = entries.limits[0].entries_of(BUYERS)
        at = next(n for n, each in enumerate(entries.members) if each.host == chosen[0].host)
        entries.members[at] = replace(entries.members[at], state=MemberState.LEAVING)
        assert chosen[0] not in entries.limits[1].entries_of(BUYERS)
