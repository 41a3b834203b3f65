"""Which hosts serve which release of which service.

Pure: from the declarations, the present placement and what is known of the hosts, the fewest
changes that give each service its declared replicas. A host that serves what it should is never
moved, not even to spread a service better; new hosts are taken from the places that have fewest.
A host that serves another release of its service goes on with it until its turn to change over.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import TypeAlias

from lacewinggw.decisions.peerselection import rendezvous_weight
from lacewinggw.decisions.revisions import FleetState
from lacewinggw.generated.messages.ttypes import Assignment, Place, Service, ServiceKind

QueuesByPlace: TypeAlias = dict[str, list[tuple[int, str]]]


@dataclass(frozen=True)
class HostInfo:
    """What an entry knows of a target host; `service` is that of a plain target, else ""."""

    host: str
    place: str
    service: str = ""
    is_leaving: bool = False


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
    state: FleetState, hosts: Mapping[str, HostInfo], dead_hosts: Collection[str] = ()
) -> PlacementPlan:
    """Return what has to change so that every service has its declared replicas.

    `hosts` is the list of target hosts; `lost` names hosts that count as dead. A host in neither is
    left as it is placed: it may only be missing from a list that lags. Services first use the hosts
    they have; what they let go is there for the others.
    """
    drafts = [
        _Draft(state, state.services[name], hosts, dead_hosts) for name in sorted(state.services)
    ]
    for draft in drafts:
        draft.reuse_own_hosts()
    taken = {host for host in state.placed_hosts() if host not in dead_hosts}
    taken.difference_update(host for draft in drafts for host in draft.let_go())
    free = _free_hosts(state, hosts, dead_hosts, taken)
    for draft in drafts:
        draft.take_free_hosts(free)
    places = [place for draft in drafts if (place := draft.place()) is not None]
    return PlacementPlan(places, [each for draft in drafts for each in draft.shortfalls()])


def is_fully_placed(
    state: FleetState, service: str, hosts: Mapping[str, HostInfo], dead_hosts: Collection[str]
) -> bool:
    """Return whether a service needs no change of placement, looking at its own hosts alone."""
    declared = state.services.get(service)
    if declared is None:
        return not state.hosts_of(service)
    present = state.final_releases_of(service)
    if any(_is_unusable(state, hosts, dead_hosts, host) for host in present):
        return False
    return Counter(present.values()) == Counter(_wanted_replicas(declared))


class _Draft:
    """The placement of one service as it is worked out."""

    def __init__(
        self,
        state: FleetState,
        service: Service,
        hosts: Mapping[str, HostInfo],
        lost: Collection[str],
    ) -> None:
        self._service = service
        self._hosts = hosts
        self._lost = lost
        self._wanted = _wanted_replicas(service)
        self._current = state.hosts_of(service.name)
        self._present = state.final_releases_of(service.name)
        self._unusable = {host for host in self._present if _is_unusable(state, hosts, lost, host)}
        staying = {host: r for host, r in self._present.items() if host not in self._unusable}
        self._assigned = _choose_kept(service.name, staying, self._wanted, hosts)
        self._spare = {host for host in staying if host not in self._assigned}

    def reuse_own_hosts(self) -> None:
        """Have hosts that serve a release too many of them serve one that has too few."""
        self._fill(self._spare)

    def let_go(self) -> set[str]:
        """Return the hosts that this service needs no more, and that others may have."""
        return self._spare

    def take_free_hosts(self, free: dict[str, set[str]]) -> None:
        """Fill what is missing from hosts that nobody uses; these are taken off `free`."""
        target = self._service.name if self._service.kind == ServiceKind.PLAIN else ""
        self._fill(free.get(target, set()))
        for release in self._wanted:
            waiting = _waiting(self._present, self._lost, release)
            self._assigned.update(dict.fromkeys(waiting[: self._missing(release)], release))

    def shortfalls(self) -> list[Shortfall]:
        """Return what could not be placed on a live host."""
        found = []
        for release, replicas in self._wanted.items():
            live = [h for h, r in self._assigned.items() if r == release and h not in self._lost]
            if len(live) < replicas:
                found.append(Shortfall(self._service.name, release, replicas - len(live)))
        return found

    def place(self) -> Place | None:
        """Return the change from the present placement, None when there is none."""
        name = self._service.name
        fresh = [
            self._assign(host, release)
            for host, release in sorted(self._assigned.items())
            if self._present.get(host) != release
        ]
        released = sorted(host for host in self._present if host not in self._assigned)
        if not fresh and not released:
            return None
        gone = [host for host in released if host in self._unusable]
        cause = f"replaces {', '.join(gone)}" if gone else "declared replicas"
        return Place(name, fresh, cause, released)

    def _assign(self, host: str, release: str) -> Assignment:
        """Return the assignment that brings a host to a release, by way of its turn."""
        current = self._current.get(host, release)
        return Assignment(host, self._service.name, current, "" if current == release else release)

    def _missing(self, release: str) -> int:
        return self._wanted[release] - sum(1 for r in self._assigned.values() if r == release)

    def _fill(self, pool: set[str]) -> None:
        """Take what is missing from a pool, each host from the place that has the fewest."""
        missing = {release: self._missing(release) for release in self._wanted}
        if not pool or not any(count > 0 for count in missing.values()):
            return
        queues = _queues_by_place(self._service.name, pool, self._hosts)
        of_service = Counter(_place_of(self._hosts, host) for host in self._assigned)
        for release, count in missing.items():
            of_release = Counter(
                _place_of(self._hosts, host) for host, r in self._assigned.items() if r == release
            )
            for _ in range(min(count, len(pool))):
                place = _best_place(queues, of_release, of_service)
                _, host = queues[place].pop()
                pool.remove(host)
                self._assigned[host] = release
                of_service[place] += 1
                of_release[place] += 1


def _wanted_replicas(service: Service) -> dict[str, int]:
    if service.kind == ServiceKind.PLAIN:
        return {"": sum(goal.replicas for goal in service.goals)}
    return {goal.release: goal.replicas for goal in service.goals if goal.replicas > 0}


def _is_unusable(
    state: FleetState, hosts: Mapping[str, HostInfo], lost: Collection[str], host: str
) -> bool:
    if host in lost or host in state.draining:
        return True
    fact = hosts.get(host)
    return fact is not None and fact.is_leaving


def _choose_kept(
    service: str,
    staying: Mapping[str, str],
    wanted: Mapping[str, int],
    hosts: Mapping[str, HostInfo],
) -> dict[str, str]:
    """Keep hosts that serve what is wanted; where there are too many, those that spread best."""
    kept: dict[str, str] = {}
    for release, replicas in wanted.items():
        serving = {host for host, each in staying.items() if each == release}
        queues = _queues_by_place(service, serving, hosts)
        for _ in range(len(serving) - replicas):
            _, dropped = max(queues.values(), key=lambda queue: (len(queue), queue[:1])).pop(0)
            serving.remove(dropped)
        kept.update(dict.fromkeys(sorted(serving), release))
    return kept


def _free_hosts(
    state: FleetState,
    hosts: Mapping[str, HostInfo],
    lost: Collection[str],
    taken: Collection[str],
) -> dict[str, set[str]]:
    """Return the listed hosts that serve nothing and could, by the service of plain targets."""
    free: dict[str, set[str]] = {}
    for host, fact in hosts.items():
        usable = not fact.is_leaving and host not in state.draining and host not in lost
        if usable and host not in taken:
            free.setdefault(fact.service, set()).add(host)
    return free


def _queues_by_place(
    service: str, pool: Iterable[str], hosts: Mapping[str, HostInfo]
) -> QueuesByPlace:
    """Return the hosts of a pool by place, with their weights, the first to be taken last."""
    queues: QueuesByPlace = {}
    for host in pool:
        queues.setdefault(_place_of(hosts, host), []).append(
            (rendezvous_weight(service, host), host)
        )
    for queue in queues.values():
        queue.sort(reverse=True)
    return queues


def _best_place(queues: QueuesByPlace, of_release: Counter[str], of_service: Counter[str]) -> str:
    """Return the place with a host to take that has the fewest of a release, then of a service."""
    return min(
        (place for place, queue in queues.items() if queue),
        key=lambda place: (of_release[place], of_service[place], queues[place][-1]),
    )


def _waiting(present: Mapping[str, str], lost: Collection[str], release: str) -> list[str]:
    """Return dead hosts that keep their place where nothing replaces them: they may come back."""
    return sorted(host for host, each in present.items() if each == release and host in lost)


def _place_of(hosts: Mapping[str, HostInfo], host: str) -> str:
    fact = hosts.get(host)
    return fact.place if fact is not None else ""
