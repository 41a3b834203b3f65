"""Choose the hosts of a service that switch to its next release now.

Hosts load the next release in addition to the one they serve, and switch in waves. Each wave is one
log entry, so that two entries cannot together take more capacity from a service than its floor
allows. The state of a host is taken from its recent heartbeats; a host without one counts as
serving nothing.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import ceil

from lacewinggw.decisions.peerselection import rendezvous_rank, rendezvous_weight
from lacewinggw.decisions.revisions import FleetState
from lacewinggw.generated.messages.ttypes import Heartbeat, TargetState

PERCENT = 100
MIN_WAVE_DIVISOR = 8  # a wave of less than 1 in 8 hosts waits up to `WAVE_WAIT_S` for more
WAVE_WAIT_S = 1.0
PLACER_PURPOSE = "placer"
COORDINATOR_COUNT = 2


@dataclass(frozen=True)
class HostProgress:
    """The rollout progress of one host of a service.

    `is_changing_over`: it has a next release. `is_ready`: the next release is loaded. `is_serving`:
    its recent heartbeat reports that it serves its current release. `is_empty`: its recent
    heartbeat reports that it is still fetching that release and has nothing to serve.
    """

    is_changing_over: bool
    is_ready: bool
    is_serving: bool
    is_empty: bool = False


ProgressByHost = Mapping[str, HostProgress]


def is_coordinator(host: str, entries: Iterable[str]) -> bool:
    """Return whether an entry is one that receives heartbeats of all hosts of a changing service.

    These are the first placers by rank. The other entries receive heartbeats of a subset of the
    hosts, and would count the rest as serving nothing.
    """
    return (
        rendezvous_rank(PLACER_PURPOSE, host, [each for each in entries if each != host])
        < COORDINATOR_COUNT
    )


def min_serving_hosts(replicas: int, floor_percent: int) -> int:
    """Return how many hosts must keep serving; at least one may always switch."""
    return min(ceil(replicas * floor_percent / PERCENT), max(replicas - 1, 0))


def measure_progress(
    state: FleetState, service: str, heartbeats: Mapping[str, Heartbeat]
) -> dict[str, HostProgress]:
    """Return the progress of each host of a service, from the heartbeats that are current."""
    upcoming = state.next_releases_of(service)
    return {
        host: _measure_host(
            state.release_digest(release),
            state.release_digest(upcoming.get(host, "")),
            heartbeats.get(host),
        )
        for host, release in state.hosts_of(service).items()
    }


def _measure_host(digest: str, next_digest: str, heartbeat: Heartbeat | None) -> HostProgress:
    if heartbeat is None:
        return HostProgress(is_changing_over=bool(next_digest), is_ready=False, is_serving=False)
    return HostProgress(
        is_changing_over=bool(next_digest),
        is_ready=bool(next_digest) and heartbeat.ready_digest == next_digest,
        is_serving=heartbeat.state == TargetState.SERVING and heartbeat.digest == digest,
        is_empty=heartbeat.state == TargetState.FETCHING and not heartbeat.digest,
    )


def choose_wave(
    service: str, progress: ProgressByHost, floor_percent: int, waited_s: float
) -> tuple[str, ...]:
    """Return the hosts that switch now, in the order of their rendezvous rank.

    `waited_s` is how long a host has been ready and waiting. A host that is ready but serves
    nothing switches at once, as that costs no capacity. If a release is replaced before any host
    has it, all hosts switch at once instead of fetching a release that is not needed.
    """
    if _none_has_started(progress):
        return tuple(_limit_serving(list(progress), progress, 0, service))
    ready = [host for host, each in progress.items() if each.is_changing_over and each.is_ready]
    if not ready:
        return ()
    serving = sum(1 for each in progress.values() if each.is_serving)
    spare = serving - min_serving_hosts(len(progress), floor_percent)
    wave = list(_limit_serving(ready, progress, spare, service))
    changing = sum(1 for each in progress.values() if each.is_changing_over)
    enough = min(ceil(len(progress) / MIN_WAVE_DIVISOR), changing, max(spare, 1))
    if len(wave) < enough and waited_s < WAVE_WAIT_S:
        return ()
    return tuple(wave)


def _none_has_started(progress: ProgressByHost) -> bool:
    return bool(progress) and all(
        each.is_changing_over and each.is_empty for each in progress.values()
    )


def _limit_serving(
    ready: list[str], progress: ProgressByHost, spare: int, service: str
) -> Iterable[str]:
    """Yield ready hosts by rank; of those that serve, at most `spare`."""
    for host in sorted(ready, key=lambda each: (-rendezvous_weight(service, each), each)):
        if progress[host].is_serving:
            if spare <= 0:
                continue
            spare -= 1
        yield host
