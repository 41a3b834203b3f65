"""How far the fleet is from what is declared, and what holds it up.

Pure, from an entry's view. The same answer feeds `wait`, `show services`, `explain` and metrics.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from lacewinggw.decisions.revisions import FleetState
from lacewinggw.generated.messages.ttypes import Service, ServiceKind, TargetState
from lacewinggw.operators.view import FleetView, HeardHeartbeat


@dataclass(frozen=True)
class ReleaseProgress:
    """How many hosts one release of a service should have, is placed on, and is served by."""

    release: str
    declared: int
    placed: int
    serving: int


@dataclass(frozen=True)
class HoldUp:
    """Something that keeps a service from being as declared, and what to do about it."""

    subject: str
    reason: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.subject}: {self.reason}; remedy: {self.remedy}"


@dataclass(frozen=True)
class ServiceProgress:
    """How far a service is from its declaration."""

    name: str
    releases: tuple[ReleaseProgress, ...]
    surplus: int
    hold_ups: tuple[HoldUp, ...]

    @property
    def declared(self) -> int:
        """Replicas declared, over all releases."""
        return sum(each.declared for each in self.releases)

    @property
    def placed(self) -> int:
        """Hosts placed as declared."""
        return sum(each.placed for each in self.releases)

    @property
    def serving(self) -> int:
        """Hosts that serve as declared."""
        return sum(each.serving for each in self.releases)

    @property
    def done(self) -> bool:
        """Whether the service is as declared."""
        return not self.hold_ups


def progress_of(service: Service, view: FleetView) -> ServiceProgress:
    """Return how far a service is from its declaration."""
    state = view.state()
    hosts = state.final_releases_of(service.name)
    heard = view.heartbeats()
    releases = []
    for goal in service.goals:
        placed = [host for host, release in hosts.items() if release == goal.release]
        serving = [host for host in placed if serves(state, service, host, heard.get(host))]
        progress = ReleaseProgress(goal.release, goal.replicas, len(placed), len(serving))
        releases.append(progress)
    surplus = len(hosts) - sum(each.placed for each in releases)
    hold_ups = tuple(_hold_ups(service, releases, view))
    return ServiceProgress(service.name, tuple(releases), surplus, hold_ups)


def serves(state: FleetState, service: Service, host: str, heard: HeardHeartbeat | None) -> bool:
    """Return whether a placed host was last heard to serve what it is placed for."""
    if heard is None:
        return False
    heartbeat = heard.heartbeat
    if heartbeat.service_name != service.name or heartbeat.state != TargetState.SERVING:
        return False
    if service.kind == ServiceKind.PLAIN:
        return True
    release = state.final_releases_of(service.name).get(host, "")
    return heartbeat.digest == state.release_digest(release)


def _hold_ups(
    service: Service, releases: Iterable[ReleaseProgress], view: FleetView
) -> Iterator[HoldUp]:
    short = {each.release: each for each in view.shortfalls() if each.service == service.name}
    for progress in releases:
        shortfall = short.get(progress.release)
        if shortfall is not None:
            what = f"release {progress.release}" if progress.release else "it"
            reason = f"{what} lacks {shortfall.missing} hosts"
            remedy = "add hosts, undrain some, or declare fewer replicas"
            yield HoldUp(f"service {service.name}", reason, remedy)
        elif progress.placed != progress.declared:
            reason = f"{progress.placed} of {progress.declared} hosts are placed"
            remedy = "wait: an entry places the rest; if it lasts, see `show hosts`"
            yield HoldUp(f"service {service.name}", reason, remedy)
    yield from _host_hold_ups(service, view)


def _host_hold_ups(service: Service, view: FleetView) -> Iterator[HoldUp]:
    state = view.state()
    heard = view.heartbeats()
    missing = view.missing()
    for host in sorted(state.hosts_of(service.name)):
        last = heard.get(host)
        if host in missing and last is None:
            yield HoldUp(
                f"host {host}", "it is not on the list", "it is replaced once it is silent"
            )
        elif last is None:
            yield HoldUp(f"host {host}", "it was not heard from", "see whether its agent runs")
        elif not serves(state, service, host, last):
            yield HoldUp(f"host {host}", describe_target(last), remedy_for(last))


def describe_target(heard: HeardHeartbeat) -> str:
    """Say in words what a target is doing."""
    heartbeat = heard.heartbeat
    if heartbeat.spreads and heartbeat.spreads[0].held_up_by:
        return heartbeat.spreads[0].held_up_by
    state = TargetState(heartbeat.state)
    if state is TargetState.FETCHING and heartbeat.spreads:
        spread = heartbeat.spreads[0]
        return f"it has {spread.chunks_held} of {spread.chunk_count} chunks of {spread.release}"
    if state is TargetState.SERVING:
        serving = f"it serves {heartbeat.release or heartbeat.service_name or 'nothing'}"
        return f"{serving}, ready to change over" if heartbeat.ready_digest else serving
    return f"it is {state.name.lower()}"


def remedy_for(heard: HeardHeartbeat) -> str:
    """Say what to do about a target that does not serve yet."""
    match TargetState(heard.heartbeat.state):
        case TargetState.FAILED:
            return "see the log of its agent and engine, or `drain host` it"
        case TargetState.FETCHING:
            return "wait; if it lasts, see `show spread`"
        case TargetState.DRAINING:
            return "wait until its requests have ended"
        case _:
            return "wait"
