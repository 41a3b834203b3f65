"""What the configuration costs one process: slopes per change, per target and per entry.

Measured on the product's own state, codec and decisions in one process, at two sizes each, so that
fixed costs drop out.
"""

from dataclasses import dataclass

from lacewinggw.decisions.peerselection import (
    UPSTREAM_COUNT,
    Candidate,
    is_log_reader,
    order_agent_upstreams,
    order_entry_upstreams,
)
from lacewinggw.decisions.placement import HostInfo, is_fully_placed, plan_placement
from lacewinggw.decisions.revisions import FleetState, change_of
from lacewinggw.entry.ledger import SAFETY_READ_CYCLES
from lacewinggw.generated.messages.ttypes import (
    Change,
    CreateRelease,
    LogEntry,
    LogNews,
    PutService,
    Release,
    ReplicaGoal,
    Service,
    ServiceKind,
)
from lacewinggw.lab.measuring import allocated_bytes, processor_us
from lacewinggw.wire.frames import decode_struct, encode_struct

FEW, MANY = 620, 6200
CHANGES = 2000
TARGETS_PER_SERVICE = 200
PLACES = 20
ENTRIES = 870


@dataclass(frozen=True)
class ConfigSlopes:
    """Slopes: bytes, microseconds of processor time; and counts at the size to design for."""

    news_bytes_per_change: float
    decode_and_apply_us_per_change: float
    encode_us_per_change: float
    memory_bytes_per_remembered_change: float
    memory_bytes_per_target: float
    snapshot_bytes_per_target: float
    plan_us_per_target: float
    check_us_per_target_of_a_changed_service: float
    choose_neighbours_us_per_entry: float
    store_readers_at_870_entries: int
    store_reads_per_s_at_870_entries: float
    news_copies_per_change: int


def measure_slopes() -> ConfigSlopes:
    """Measure everything; takes some seconds of one core."""
    small, large = placed_state(FEW), placed_state(MANY)
    span = MANY - FEW
    entries = [change_entry(number) for number in range(1, CHANGES + 1)]
    frames = [encode_struct(LogNews([entry], entry.revision)) for entry in entries]
    return ConfigSlopes(
        news_bytes_per_change=sum(map(len, frames)) / CHANGES,
        decode_and_apply_us_per_change=processor_us(lambda: _apply_all(frames)) / CHANGES,
        encode_us_per_change=processor_us(lambda: [encode_struct(e) for e in entries]) / CHANGES,
        memory_bytes_per_remembered_change=_memory_per_change(frames),
        memory_bytes_per_target=(_memory_of(MANY) - _memory_of(FEW)) / span,
        snapshot_bytes_per_target=(_snapshot_bytes(large) - _snapshot_bytes(small)) / span,
        plan_us_per_target=_plan_slope(small, large),
        check_us_per_target_of_a_changed_service=_check_slope(large),
        choose_neighbours_us_per_entry=_neighbour_slope(),
        store_readers_at_870_entries=_readers(),
        store_reads_per_s_at_870_entries=_reads_per_s(),
        news_copies_per_change=UPSTREAM_COUNT,
    )


def change_entry(revision: int) -> LogEntry:
    """Return a typical command: an operator sets a service's replicas."""
    goals = [ReplicaGoal("market-7", revision % 8), ReplicaGoal("market-6", 2)]
    service = Service(f"service-{revision % 50}", ServiceKind.MODEL, goals)
    words = f"set service {service.name} release market-7 replicas 6 release market-6 replicas 2"
    return LogEntry(
        revision,
        f"{revision:024x}",
        "operator",
        1_700_000_000_000,
        revision - 1,
        [change_of(PutService(service))],
        words,
    )


def _apply_all(frames: list[bytes]) -> FleetState:
    state = FleetState()
    for frame in frames:
        for entry in decode_struct(LogNews(), frame).entries:
            state.apply(entry)
    return state


def _hosts(count: int) -> dict[str, HostInfo]:
    names = (f"host-{number:05}" for number in range(count + count // 20))
    return {name: HostInfo(name, f"place-{hash_of(name) % PLACES}") for name in names}


def hash_of(name: str) -> int:
    """Return a number that is the same for a name in every run."""
    return sum(name.encode()) * 31 + int(name.rpartition("-")[2])


def placed_state(targets: int) -> FleetState:
    """Return a configuration in which `targets` hosts are placed."""
    state = FleetState()
    changes: list[Change] = [change_of(CreateRelease(Release("m", "0" * 64, 1 << 30, 64)))]
    for number in range(targets // TARGETS_PER_SERVICE):
        goals = [ReplicaGoal("m", TARGETS_PER_SERVICE)]
        changes.append(change_of(PutService(Service(f"s{number}", ServiceKind.MODEL, goals))))
    state.apply(LogEntry(1, "declare", "operator", 0, 0, changes, "declare"))
    places = plan_placement(state, _hosts(targets)).places
    placed = [change_of(place) for place in places]
    state.apply(LogEntry(2, "place", "entry", 0, 1, placed, "place"))
    return state


def _snapshot_bytes(state: FleetState) -> int:
    return len(encode_struct(state.to_snapshot()))


def _memory_of(targets: int) -> int:
    data = encode_struct(placed_state(targets).to_snapshot())
    from_snapshot = FleetState.from_snapshot
    return allocated_bytes(lambda: from_snapshot(decode_struct(type(_EMPTY)(), data)))


def _memory_per_change(frames: list[bytes]) -> float:
    """Return what the history of remembered entries holds, for each of them."""
    remembered = len(_apply_all(frames).history)
    return allocated_bytes(lambda: _apply_all(frames)) / remembered


def _plan_slope(small: FleetState, large: FleetState) -> float:
    few_hosts, many_hosts = _hosts(FEW), _hosts(MANY)
    few = processor_us(lambda: plan_placement(small, few_hosts))
    many = processor_us(lambda: plan_placement(large, many_hosts))
    return (many - few) / (MANY - FEW)


def _check_slope(state: FleetState) -> float:
    hosts = _hosts(MANY)
    return processor_us(lambda: is_fully_placed(state, "s0", hosts, ())) / TARGETS_PER_SERVICE


def _candidates(count: int) -> list[Candidate]:
    names = [f"entry-{number:04}" for number in range(count)]
    return [Candidate(name, f"place-{hash_of(name) % PLACES}", "") for name in names]


def _neighbour_slope() -> float:
    entries = _candidates(ENTRIES)
    one = entries[0]
    work = processor_us(
        lambda: (
            order_entry_upstreams(one.host, entries),
            is_log_reader(one.host, one.place, entries),
        )
    )
    order_agent_upstreams(one.host, one.place, entries)
    return work / ENTRIES


def _readers() -> int:
    entries = _candidates(ENTRIES)
    return sum(is_log_reader(each.host, each.place, entries) for each in entries)


def _reads_per_s() -> float:
    """Return reads of the log's tail a second when nothing is new, polling each second."""
    readers = _readers()
    return readers + (ENTRIES - readers) / SAFETY_READ_CYCLES


_EMPTY = FleetState().to_snapshot()
