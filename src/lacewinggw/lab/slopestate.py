"""What decisions cost a process in time, and what state costs it in memory."""

import json
import random
from collections.abc import Callable

from lacewinggw.clients.membership import (
    Member,
    MemberRole,
    member_from_json,
    member_to_json,
)
from lacewinggw.decisions.addresses import LiveEntry, account_entries
from lacewinggw.decisions.affinity import PrefixIndex, preferred_target
from lacewinggw.decisions.chunkscheduler import ChunkScheduler
from lacewinggw.decisions.chunksources import SpreadRules
from lacewinggw.decisions.limits import split_limit
from lacewinggw.decisions.revisions import FleetState, change_of
from lacewinggw.decisions.routing import RoutingContext, TargetStats, choose_target
from lacewinggw.decisions.subsets import TargetHost, pick_subset
from lacewinggw.decisions.topology import ReleaseHost, TopologyRules
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.generated.messages.ttypes import (
    CreateRelease,
    LogEntry,
    LogNews,
    PutService,
    Release,
    ReplicaGoal,
    Service,
    ServiceKind,
    Snapshot,
)
from lacewinggw.ids import (
    Account,
    Address,
    Digest,
    HostId,
    Incarnation,
    Place,
    ReleaseName,
    ServiceName,
)
from lacewinggw.lab.configslopes import change_entry, placed_state
from lacewinggw.lab.measuring import Slope, Slopes, allocated_bytes, processor_us
from lacewinggw.lab.slopemessages import DIGEST, heartbeat, manifest_of
from lacewinggw.wire.frames import decode_struct, encode_struct

PLACES = 20
HOSTS = (200, 1000, 6200)
SUBSETS = (8, 64, 256)
ENTRIES = (3, 30, 300)
LISTED_ENTRIES = (30, 200, 870)
DUE = (50, 200, 1000)
CHUNKS = (64, 512, 4096)
NAMES = (10, 100, 400)
REVISIONS = (100, 300, 900)
PLAN = TopologyRules(local=8, remote=2, columns=4, ranks=3, per_place=True)


def measure_decisions(seed: int) -> Slopes:
    """Return the processor time of decisions, in microseconds."""
    return {
        "choose_target_us": _us("target in the subset", SUBSETS, lambda n: _choosing(n, seed)),
        "prefer_target_us": _us("target in the subset", SUBSETS, _preferring),
        "pick_subset_us": _us("host of the service", HOSTS, _picking),
        "split_limit_us": _us("entry of the account", ENTRIES, _splitting),
        "account_entries_us": _us("entry listed", LISTED_ENTRIES, _naming),
        "derive_topology_us": _us("host due the release", DUE, _deriving),
        "apply_entry_us": _us("log entry", REVISIONS, _applying),
        "read_members_us": _us("host listed", HOSTS, _reading_members),
        "decode_snapshot_us": _us("host placed", HOSTS, _reading_snapshot),
    }


def measure_state() -> Slopes:
    """Return memory that state holds, and the bytes of it where it travels whole."""
    return {
        "members_bytes": Slope.measure("bytes", "host listed", HOSTS, lambda n: len(_listing(n))),
        "members_memory": _memory("host listed", HOSTS, lambda n: _decode_members(_listing(n))),
        "snapshot_bytes": Slope.measure("bytes", "host placed", HOSTS, _snapshot_size),
        "placed_memory": _memory("host placed", HOSTS, lambda n: _restored(placed_state(n))),
        "service_memory": _memory("service declared", NAMES, lambda n: _restored(_services(n))),
        "release_memory": _memory("release created", NAMES, lambda n: _restored(_releases(n))),
        "revision_memory": _memory("revision kept", REVISIONS, _applied),
        "target_memory": _memory("target watched", SUBSETS, _watched),
        "manifest_memory": _memory("chunk of the manifest", CHUNKS, manifest_of),
        "spread_memory": _memory("chunk of the manifest", CHUNKS, _spread),
    }


def _us(per: str, sizes: tuple[int, ...], prepare: Callable[[int], Callable[[], object]]) -> Slope:
    return Slope.measure("us", per, sizes, lambda size: processor_us(prepare(size)))


def _memory(per: str, sizes: tuple[int, ...], make: Callable[[int], object]) -> Slope:
    make(sizes[0])  # what is made once and kept by the modules themselves is not counted
    return Slope.measure("bytes", per, sizes, lambda size: allocated_bytes(lambda: make(size)))


# ---- decisions -----------------------------------------------------------------------------


def _targets(count: int) -> list[TargetStats]:
    targets = []
    for number in range(count):
        facts = TargetStats(
            HostId(f"host-{number:05}"),
            Place(f"place-{number % PLACES}"),
            Address(f"10.0.{number // 250}.{number % 250}:7000"),
            Incarnation(f"{number:016x}"),
            ServiceName("bulletin-writer"),
            ReleaseName("market-7"),
            Digest(DIGEST),
        )
        facts.capacity, facts.reported, facts.request_s = 8, number % 8, 0.8
        targets.append(facts)
    return targets


def _choosing(count: int, seed: int) -> Callable[[], object]:
    targets, rng = _targets(count), random.Random(seed)
    return lambda: choose_target(targets, RoutingContext(1.0), rng)


def _preferring(count: int) -> Callable[[], object]:
    targets, memory = _targets(count), PrefixIndex()
    blocks = [f"{number:016x}" for number in range(8)]
    return lambda: preferred_target(targets, blocks, memory, RoutingContext(1.0))


def _picking(count: int) -> Callable[[], object]:
    hosts = [
        TargetHost(HostId(f"host-{n:05}"), Place(f"place-{n % PLACES}"), Address(f"10.0.0.1:{n}"))
        for n in range(count)
    ]
    return lambda: pick_subset(HostId("entry-0017"), Place("place-7"), 0.5, hosts, 64)


def _splitting(count: int) -> Callable[[], object]:
    demands = {HostId(f"entry-{number:04}"): 43.0 + number % 7 for number in range(count)}
    return lambda: split_limit(40.0 * count, demands)


def _naming(count: int) -> Callable[[], object]:
    entries = [
        LiveEntry(HostId(f"entry-{n:04}"), Place(f"place-{n % PLACES}"), Address(f"10.1.0.1:{n}"))
        for n in range(count)
    ]
    return lambda: account_entries(Account("saleyard"), entries, 3)


def _deriving(count: int) -> Callable[[], object]:
    hosts = [
        ReleaseHost(HostId(f"host-{n:05}"), Place(f"place-{n % PLACES}")) for n in range(count)
    ]
    return lambda: PLAN.derive(hosts[0], hosts, Digest(DIGEST))


def _applying(count: int) -> Callable[[], object]:
    entries = [change_entry(revision) for revision in range(1, count + 1)]

    def apply_all() -> FleetState:
        state = FleetState()
        for entry in entries:
            state.apply(entry)
        return state

    return apply_all


def _reading_members(count: int) -> Callable[[], object]:
    listing = _listing(count)
    return lambda: _decode_members(listing)


def _reading_snapshot(count: int) -> Callable[[], object]:
    data = encode_struct(placed_state(count).to_snapshot())
    return lambda: FleetState.from_snapshot(decode_struct(Snapshot(), data))


# ---- state ---------------------------------------------------------------------------------


def _member(number: int) -> Member:
    host = HostId(f"host-{number:05}")
    ip = f"10.{number // 62500}.{number // 250 % 250}.{number % 250}"
    place = Place(f"place-{number % PLACES}")
    address, operators = Address(f"{ip}:7000"), Address(f"{ip}:7001")
    return Member(host, place, MemberRole.AGENT, address, operators)


def _listing(count: int) -> bytes:
    return json.dumps({"hosts": [member_to_json(_member(n)) for n in range(count)]}).encode()


def _decode_members(data: bytes) -> list[Member]:
    return [member_from_json(each) for each in json.loads(data)["hosts"]]


def _snapshot_size(count: int) -> int:
    return len(encode_struct(placed_state(count).to_snapshot()))


def _restored(state: FleetState) -> FleetState:
    """Return a state as a process that starts gets it: from the bytes of a snapshot."""
    return FleetState.from_snapshot(decode_struct(Snapshot(), encode_struct(state.to_snapshot())))


def _state_after(changes: list[messages.Change]) -> FleetState:
    state = FleetState()
    state.apply(LogEntry(1, "declare", "operator", 0, 0, changes, ""))
    state.history.clear()
    return state


def _services(count: int) -> FleetState:
    goals = [ReplicaGoal("market-7", 6), ReplicaGoal("market-6", 2)]
    named = (f"service-{number:04}" for number in range(count))
    return _state_after(
        [change_of(PutService(Service(n, ServiceKind.MODEL, goals))) for n in named]
    )


def _releases(count: int) -> FleetState:
    named = (f"market-{number:04}" for number in range(count))
    made = (Release(name, f"{name:0>64}", 1 << 33, 1024) for name in named)
    return _state_after([change_of(CreateRelease(release)) for release in made])


def _applied(count: int) -> FleetState:
    state = FleetState()
    for revision in range(1, count + 1):
        data = encode_struct(LogNews([change_entry(revision)], revision))
        state.apply(decode_struct(LogNews(), data).entries[0])
    return state


def _watched(count: int) -> tuple[object, ...]:
    """Return what an entry keeps of each target that it watches, its connection apart."""
    told = [encode_struct(heartbeat(number=number)) for number in range(count)]
    heard = {number: decode_struct(messages.Heartbeat(), each) for number, each in enumerate(told)}
    return _targets(count), heard


def _spread(chunks: int) -> ChunkScheduler:
    rules = SpreadRules(link_bytes_per_s=1.25e8)
    return ChunkScheduler([1 << 23] * chunks, rules, Place("place-7"), random.Random(1), 0.0)
