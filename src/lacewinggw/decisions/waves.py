"""Which hosts of a service change over to its next release now.

Hosts load the next release beside the one that they serve, and change over in waves, each one entry
of the log, so that no two entries can take more from a service together than its floor allows. What
a host does is judged by what was read back and heard lately: a host not heard of serves nothing.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import ceil

from lacewinggw.decisions.pollers import rank_of, weight
from lacewinggw.decisions.revisions import FleetState
from lacewinggw.generated.messages.ttypes import Heartbeat, TargetState

PERCENT = 100
WAVE_SHARE = 8  # a wave smaller than one in so many hosts waits a little for others
WAVE_WAIT_S = 1.0
PURPOSE = "placer"
COORDINATORS = 2


@dataclass(frozen=True)
class HostProgress:
    """How far one host of a service is.

    `turning` is whether it still serves the old release with the next one to come; `ready` whether
    that is loaded; `serving` whether it was lately heard to serve what it is now to serve; `empty`
    whether it was lately heard to be still fetching that, with nothing to serve.
    """

    turning: bool
    ready: bool
    serving: bool
    empty: bool = False


Progress = Mapping[str, HostProgress]


def coordinates(host: str, entries: Iterable[str]) -> bool:
    """Return whether an entry is one of the few that hear every host of a changing service.

    They are the ones whose turn to place comes first; the others hear a subset of the hosts, and
    would judge the rest to serve nothing.
    """
    return rank_of(PURPOSE, host, [each for each in entries if each != host]) < COORDINATORS


def floor_of(replicas: int, floor_percent: int) -> int:
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
        return HostProgress(turning=bool(next_digest), ready=False, serving=False)
    return HostProgress(
        turning=bool(next_digest),
        ready=bool(next_digest) and heard.ready_digest == next_digest,
        serving=heard.state == TargetState.SERVING and heard.digest == digest,
        empty=heard.state == TargetState.FETCHING and not heard.digest,
    )


def choose_wave(
    service: str, progress: Progress, floor_percent: int, waited_s: float
) -> tuple[str, ...]:
    """Return the hosts that change over now, in the order of their rendezvous rank.

    `waited_s` is how long some host has been ready and waiting. A host that is ready and serves
    nothing costs no capacity, and so changes over at once. When the release was replaced before
    it came to any host, all leave it at once, rather than fetch first what nobody wants any more.
    """
    if _none_has_begun(progress):
        return tuple(_within(list(progress), progress, 0, service))
    ready = [host for host, each in progress.items() if each.turning and each.ready]
    if not ready:
        return ()
    serving = sum(1 for each in progress.values() if each.serving)
    spare = serving - floor_of(len(progress), floor_percent)
    wave = list(_within(ready, progress, spare, service))
    turning = sum(1 for each in progress.values() if each.turning)
    enough = min(ceil(len(progress) / WAVE_SHARE), turning, max(spare, 1))
    if len(wave) < enough and waited_s < WAVE_WAIT_S:
        return ()
    return tuple(wave)


def _none_has_begun(progress: Progress) -> bool:
    return bool(progress) and all(each.turning and each.empty for each in progress.values())


def _within(ready: list[str], progress: Progress, spare: int, service: str) -> Iterable[str]:
    """Yield ready hosts, by rank, as long as those that still serve are to spare."""
    for host in sorted(ready, key=lambda each: (-weight(service, each), each)):
        if progress[host].serving:
            if spare <= 0:
                continue
            spare -= 1
        yield host
