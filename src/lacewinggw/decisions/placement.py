"""Plan which hosts serve which release of which service.

Pure: computes, from the declarations, the present placement and the list of hosts, the fewest
changes that give each service its declared replicas. A host whose assignment is still needed is
never moved, not even to balance a service over places; new hosts come from the places that have the
fewest. A host that serves another release of its service keeps serving it until its wave comes.
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
    """A listed target host; `service` is that of a plain target, else empty."""

    host: str
    place: str
    service: str = ""
    is_leaving: bool = False


@dataclass(frozen=True)
class Shortfall:
    """Declared replicas of a service for which no host is available."""

    service: str
    release: str
    missing: int

    def __str__(self) -> str:
        what = f"{self.service} on {self.release}" if self.release else self.service
        return f"{what} lacks {self.missing} hosts"


@dataclass(frozen=True)
class PlacementPlan:
    """The placements to commit together, and the replicas that lack a host."""

    places: list[Place] = field(default_factory=list)
    shortfalls: list[Shortfall] = field(default_factory=list)


def plan_placement(
    state: FleetState, hosts: Mapping[str, HostInfo], dead_hosts: Collection[str] = ()
) -> PlacementPlan:
    """Return the changes that give every service its declared replicas.

    `hosts` lists the target hosts, `dead_hosts` those that count as dead. A host in neither keeps
    its placement: it may only be missing from a list that lags. Each service first uses its own
    hosts; those it releases are then available to the others.
    """
    drafts = [
        _Draft(state, state.services[name], hosts, dead_hosts) for name in sorted(state.services)
    ]
    for draft in drafts:
        draft.reuse_own_hosts()
    occupied = {host for host in state.placed_hosts() if host not in dead_hosts}
    occupied.difference_update(host for draft in drafts for host in draft.released_hosts())
    free = _free_hosts(state, hosts, dead_hosts, occupied)
    for draft in drafts:
        draft.take_free_hosts(free)
    places = [place for draft in drafts if (place := draft.place()) is not None]
    return PlacementPlan(places, [each for draft in drafts for each in draft.shortfalls()])


def is_fully_placed(
    state: FleetState, service: str, hosts: Mapping[str, HostInfo], dead_hosts: Collection[str]
) -> bool:
    """Return whether the placement of a service needs no change, from its own hosts alone."""
    declared = state.services.get(service)
    if declared is None:
        return not state.hosts_of(service)
    present = state.final_releases_of(service)
    if any(_is_unusable(state, hosts, dead_hosts, host) for host in present):
        return False
    return Counter(present.values()) == Counter(_declared_replicas(declared))


class _Draft:
    """The placement of one service while it is being planned."""

    def __init__(
        self,
        state: FleetState,
        service: Service,
        hosts: Mapping[str, HostInfo],
        dead_hosts: Collection[str],
    ) -> None:
        self._service = service
        self._hosts = hosts
        self._dead_hosts = dead_hosts
        self._declared = _declared_replicas(service)
        self._current = state.hosts_of(service.name)
        self._present = state.final_releases_of(service.name)
        self._unusable = {
            host for host in self._present if _is_unusable(state, hosts, dead_hosts, host)
        }
        staying = {host: r for host, r in self._present.items() if host not in self._unusable}
        self._assigned = _choose_kept(service.name, staying, self._declared, hosts)
        self._spare = {host for host in staying if host not in self._assigned}

    def reuse_own_hosts(self) -> None:
        """Reassign hosts of releases that have too many replicas to those that have too few."""
        self._fill(self._spare)

    def released_hosts(self) -> set[str]:
        """Return the hosts that this service no longer needs and others may use."""
        return self._spare

    def take_free_hosts(self, free: dict[str, set[str]]) -> None:
        """Assign unused hosts to missing replicas, and remove these hosts from `free`."""
        target = self._service.name if self._service.kind == ServiceKind.PLAIN else ""
        self._fill(free.get(target, set()))
        for release in self._declared:
            dead = _dead_hosts_of(self._present, self._dead_hosts, release)
            self._assigned.update(dict.fromkeys(dead[: self._missing(release)], release))

    def shortfalls(self) -> list[Shortfall]:
        """Return the replicas that have no live host."""
        found = []
        for release, replicas in self._declared.items():
            live = [
                h for h, r in self._assigned.items() if r == release and h not in self._dead_hosts
            ]
            if len(live) < replicas:
                found.append(Shortfall(self._service.name, release, replicas - len(live)))
        return found

    def place(self) -> Place | None:
        """Return the change to the present placement, or None."""
        name = self._service.name
        added = [
            self._assign(host, release)
            for host, release in sorted(self._assigned.items())
            if self._present.get(host) != release
        ]
        released = sorted(host for host in self._present if host not in self._assigned)
        if not added and not released:
            return None
        replaced = [host for host in released if host in self._unusable]
        cause = f"replaces {', '.join(replaced)}" if replaced else "declared replicas"
        return Place(name, added, cause, released)

    def _assign(self, host: str, release: str) -> Assignment:
        """Return the assignment of a host to a release.

        A host that serves another release keeps it as the current one, with this as the next.
        """
        current = self._current.get(host, release)
        return Assignment(host, self._service.name, current, "" if current == release else release)

    def _missing(self, release: str) -> int:
        return self._declared[release] - sum(1 for r in self._assigned.values() if r == release)

    def _fill(self, pool: set[str]) -> None:
        """Assign hosts of a pool to missing replicas, each from the place that has the fewest."""
        missing = {release: self._missing(release) for release in self._declared}
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


def _declared_replicas(service: Service) -> dict[str, int]:
    if service.kind == ServiceKind.PLAIN:
        return {"": sum(goal.replicas for goal in service.goals)}
    return {goal.release: goal.replicas for goal in service.goals if goal.replicas > 0}


def _is_unusable(
    state: FleetState, hosts: Mapping[str, HostInfo], dead_hosts: Collection[str], host: str
) -> bool:
    if host in dead_hosts or host in state.draining:
        return True
    info = hosts.get(host)
    return info is not None and info.is_leaving


def _choose_kept(
    service: str,
    staying: Mapping[str, str],
    declared: Mapping[str, int],
    hosts: Mapping[str, HostInfo],
) -> dict[str, str]:
    """Return the hosts to keep per declared release; an excess is cut from the fullest places."""
    kept: dict[str, str] = {}
    for release, replicas in declared.items():
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
    dead_hosts: Collection[str],
    occupied: Collection[str],
) -> dict[str, set[str]]:
    """Return the usable hosts that serve nothing, keyed by `HostInfo.service`."""
    free: dict[str, set[str]] = {}
    for host, info in hosts.items():
        usable = not info.is_leaving and host not in state.draining and host not in dead_hosts
        if usable and host not in occupied:
            free.setdefault(info.service, set()).add(host)
    return free


def _queues_by_place(
    service: str, pool: Iterable[str], hosts: Mapping[str, HostInfo]
) -> QueuesByPlace:
    """Return the hosts of a pool by place, with their weights; the preferred host is last."""
    queues: QueuesByPlace = {}
    for host in pool:
        queues.setdefault(_place_of(hosts, host), []).append(
            (rendezvous_weight(service, host), host)
        )
    for queue in queues.values():
        queue.sort(reverse=True)
    return queues


def _best_place(queues: QueuesByPlace, of_release: Counter[str], of_service: Counter[str]) -> str:
    """Return the place from which to take the next host.

    Among places with hosts left, it has the fewest of the release, then of the service.
    """
    return min(
        (place for place, queue in queues.items() if queue),
        key=lambda place: (of_release[place], of_service[place], queues[place][-1]),
    )


def _dead_hosts_of(
    present: Mapping[str, str], dead_hosts: Collection[str], release: str
) -> list[str]:
    """Return the dead hosts of a release; without a replacement they stay placed, to recover."""
    return sorted(host for host, each in present.items() if each == release and host in dead_hosts)


def _place_of(hosts: Mapping[str, HostInfo], host: str) -> str:
    info = hosts.get(host)
    return info.place if info is not None else ""
