"""Which hosts of a service change over to its next release now.

Hosts load the next release beside the one that they serve, and change over in waves, each one entry
of the log, so that no two entries can take more from a service together than its floor allows. What
a host does is judged by what was read back and heard lately: a host not heard of serves nothing.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import ceil

from lacewinggw.decisions.peerselection import rendezvous_rank, rendezvous_weight
from lacewinggw.decisions.revisions import FleetState
from lacewinggw.generated.messages.ttypes import Heartbeat, TargetState

PERCENT = 100
MIN_WAVE_DIVISOR = 8  # a wave smaller than one in so many hosts waits a little for others
WAVE_WAIT_S = 1.0
PLACER_PURPOSE = "placer"
COORDINATOR_COUNT = 2


@dataclass(frozen=True)
class HostProgress:
    """How far one host of a service is.

    `turning` is whether it still serves the old release with the next one to come; `ready` whether
    that is loaded; `serving` whether it was lately heard to serve what it is now to serve; `empty`
    whether it was lately heard to be still fetching that, with nothing to serve.
    """

    is_changing_over: bool
    is_ready: bool
    is_serving: bool
    is_empty: bool = False


ProgressByHost = Mapping[str, HostProgress]


def is_coordinator(host: str, entries: Iterable[str]) -> bool:
    """Return whether an entry is one of the few that hear every host of a changing service.

    They are the ones whose turn to place comes first; the others hear a subset of the hosts, and
    would judge the rest to serve nothing.
    """
    return (
        rendezvous_rank(PLACER_PURPOSE, host, [each for each in entries if each != host])
        < COORDINATOR_COUNT
    )


def min_serving_hosts(replicas: int, floor_percent: int) -> int:
    """Return how many hosts have to go on serving; one may always be spared."""
    return min(ceil(replicas * floor_percent / PERCENT), max(replicas - 1, 0))


def measure_progress(
    state: FleetState, service: str, heartbeats: Mapping[str, Heartbeat]
) -> dict[str, HostProgress]:
    """Return how far each host of a service is, by the heartbeats that came when they were due."""
    upcoming = state.next_releases_of(service)
    return {
        host: _measure_host(
            state.release_digest(release),
            state.release_digest(upcoming.get(host, "")),
            heartbeats.get(host),
        )
        for host, release in state.hosts_of(service).items()
    }


def _measure_host(digest: str, next_digest: str, heard: Heartbeat | None) -> HostProgress:
    if heard is None:
        return HostProgress(is_changing_over=bool(next_digest), is_ready=False, is_serving=False)
    return HostProgress(
        is_changing_over=bool(next_digest),
        is_ready=bool(next_digest) and heard.ready_digest == next_digest,
        is_serving=heard.state == TargetState.SERVING and heard.digest == digest,
        is_empty=heard.state == TargetState.FETCHING and not heard.digest,
    )


def choose_wave(
    service: str, progress: ProgressByHost, floor_percent: int, waited_s: float
) -> tuple[str, ...]:
    """Return the hosts that change over now, in the order of their rendezvous rank.

    `waited_s` is how long some host has been ready and waiting. A host that is ready and serves
    nothing costs no capacity, and so changes over at once. When the release was replaced before
    it came to any host, all leave it at once, rather than fetch first what nobody wants any more.
    """
    if _none_has_begun(progress):
        return tuple(_within(list(progress), progress, 0, service))
    ready = [host for host, each in progress.items() if each.is_changing_over and each.is_ready]
    if not ready:
        return ()
    serving = sum(1 for each in progress.values() if each.is_serving)
    spare = serving - min_serving_hosts(len(progress), floor_percent)
    wave = list(_within(ready, progress, spare, service))
    turning = sum(1 for each in progress.values() if each.is_changing_over)
    enough = min(ceil(len(progress) / MIN_WAVE_DIVISOR), turning, max(spare, 1))
    if len(wave) < enough and waited_s < WAVE_WAIT_S:
        return ()
    return tuple(wave)


def _none_has_begun(progress: ProgressByHost) -> bool:
    return bool(progress) and all(
        each.is_changing_over and each.is_empty for each in progress.values()
    )


def _within(ready: list[str], progress: ProgressByHost, spare: int, service: str) -> Iterable[str]:
    """Yield ready hosts, by rank, as long as those that still serve are to spare."""
    for host in sorted(ready, key=lambda each: (-rendezvous_weight(service, each), each)):
        if progress[host].is_serving:
            if spare <= 0:
                continue
            spare -= 1
        yield host
