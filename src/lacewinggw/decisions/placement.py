"""Which hosts serve which release of which service.

Pure: from the declarations, the present placement and what is known of the hosts, the fewest
changes that give each service its declared replicas. A host that serves what it should is never
moved, not even to spread a service better; new hosts are taken from the places that have fewest.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from lacewinggw.decisions.pollers import weight
from lacewinggw.decisions.revisions import FleetState
from lacewinggw.generated.messages.ttypes import Assignment, Place, Service, ServiceKind


@dataclass(frozen=True)
class HostFact:
    """What an entry knows of a target host; `service` is that of a plain target, else ""."""

    host: str
    place: str
    service: str = ""
    leaving: bool = False


@dataclass(frozen=True)
class Shortfall:
    """Replicas that a service should have and no host is there for."""

    service: str
    release: str
    missing: int

    def __str__(self) -> str:
        what = f"{self.service} on {self.release}" if self.release else self.service
        return f"{what} lacks {self.missing} hosts"


@dataclass(frozen=True)
class PlacementPlan:
    """The placements to commit together, and what cannot be placed for want of hosts."""

    places: list[Place] = field(default_factory=list)
    shortfalls: list[Shortfall] = field(default_factory=list)


def plan_placement(
    state: FleetState, hosts: Mapping[str, HostFact], lost: Collection[str] = ()
) -> PlacementPlan:
    """Return what has to change so that every service has its declared replicas.

    `hosts` is the list of target hosts; `lost` names hosts that count as dead. A host in neither is
    left as it is placed: it may only be missing from a list that lags.
    """
    plan = PlacementPlan()
    taken = {host for host in state.placed_hosts() if host not in lost}
    for name in sorted(state.services):
        _plan_service(state, state.services[name], hosts, lost, taken, plan)
    return plan


def _plan_service(
    state: FleetState,
    service: Service,
    hosts: Mapping[str, HostFact],
    lost: Collection[str],
    taken: set[str],
    plan: PlacementPlan,
) -> None:
    present = state.hosts_of(service.name)
    wanted = _wanted_replicas(service)
    unusable = {host for host in present if _is_unusable(state, hosts, lost, host)}
    staying = {host: release for host, release in present.items() if host not in unusable}
    keeping = _choose_kept(service.name, staying, wanted, hosts)
    assigned = dict(keeping)
    spare = [host for host in staying if host not in keeping]
    free = [host for host in _free_hosts(state, service, hosts, lost) if host not in taken]
    for release, replicas in wanted.items():
        have = sum(1 for each in assigned.values() if each == release)
        for _ in range(replicas - have):
            chosen = _choose_next(service.name, assigned, release, hosts, spare, free)
            if chosen is None:
                break
            assigned[chosen] = release
        missing = replicas - sum(1 for each in assigned.values() if each == release)
        if missing > 0:
            plan.shortfalls.append(Shortfall(service.name, release, missing))
            assigned.update(_placeholders(present, lost, release, missing))
    released = sorted(host for host in present if host not in assigned)
    _note_place(service.name, present, assigned, released, unusable, plan)
    taken.update(assigned)
    taken.difference_update(released)


def _wanted_replicas(service: Service) -> dict[str, int]:
    if service.kind == ServiceKind.PLAIN:
        return {"": sum(goal.replicas for goal in service.goals)}
    return {goal.release: goal.replicas for goal in service.goals if goal.replicas > 0}


def _is_unusable(
    state: FleetState, hosts: Mapping[str, HostFact], lost: Collection[str], host: str
) -> bool:
    if host in lost or host in state.draining:
        return True
    fact = hosts.get(host)
    return fact is not None and fact.leaving


def _choose_kept(
    service: str,
    staying: Mapping[str, str],
    wanted: Mapping[str, int],
    hosts: Mapping[str, HostFact],
) -> dict[str, str]:
    """Keep hosts that serve what is wanted; where there are too many, those that spread best."""
    kept: dict[str, str] = {}
    for release, replicas in wanted.items():
        serving = [host for host, each in staying.items() if each == release]
        while len(serving) > replicas:
            serving.remove(_most_crowded(service, serving, hosts))
        kept.update(dict.fromkeys(serving, release))
    return kept


def _most_crowded(service: str, serving: list[str], hosts: Mapping[str, HostFact]) -> str:
    crowd = Counter(_place_of(hosts, host) for host in serving)
    return max(serving, key=lambda host: (crowd[_place_of(hosts, host)], weight(service, host)))


def _free_hosts(
    state: FleetState,
    service: Service,
    hosts: Mapping[str, HostFact],
    lost: Collection[str],
) -> Iterable[str]:
    """Yield listed hosts that could serve the service and are not on their way out."""
    target = service.name if service.kind == ServiceKind.PLAIN else ""
    for host, fact in hosts.items():
        usable = not fact.leaving and host not in state.draining and host not in lost
        if usable and fact.service == target:
            yield host


def _choose_next(
    service: str,
    assigned: Mapping[str, str],
    release: str,
    hosts: Mapping[str, HostFact],
    spare: list[str],
    free: list[str],
) -> str | None:
    """Take a host that already serves another release of the service, else a free one."""
    pool = spare or free
    if not pool:
        return None
    of_release = Counter(
        _place_of(hosts, host) for host, each in assigned.items() if each == release
    )
    of_service = Counter(_place_of(hosts, host) for host in assigned)

    def order(host: str) -> tuple[int, int, int]:
        place = _place_of(hosts, host)
        return of_release[place], of_service[place], weight(service, host)

    chosen = min(pool, key=order)
    pool.remove(chosen)
    return chosen


def _placeholders(
    present: Mapping[str, str], lost: Collection[str], release: str, missing: int
) -> dict[str, str]:
    """Leave dead hosts in place where nothing can replace them: they may come back."""
    waiting = [host for host, each in present.items() if each == release and host in lost]
    return dict.fromkeys(sorted(waiting)[:missing], release)


def _note_place(
    service: str,
    present: Mapping[str, str],
    assigned: Mapping[str, str],
    released: list[str],
    unusable: Collection[str],
    plan: PlacementPlan,
) -> None:
    fresh = [
        Assignment(host, service, release)
        for host, release in sorted(assigned.items())
        if present.get(host) != release
    ]
    if not fresh and not released:
        return
    gone = [host for host in released if host in unusable]
    cause = f"replaces {', '.join(gone)}" if gone else "declared replicas"
    plan.places.append(Place(service, fresh, cause, released))


def _place_of(hosts: Mapping[str, HostFact], host: str) -> str:
    fact = hosts.get(host)
    return fact.place if fact is not None else ""
