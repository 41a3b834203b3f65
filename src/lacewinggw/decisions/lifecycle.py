"""What an agent does next to bring its target to the release that the configuration names.

Level-triggered: the whole decision is made anew from what is wanted and what was read back from the
target, so that a lost order, a restarted engine or a replaced agent needs no case of its own.
"""

from collections.abc import Collection
from dataclasses import dataclass
from typing import TypeAlias

ANY_ROLE = "both"


@dataclass(frozen=True)
class DesiredState:
    """One host's part in the configuration.

    `digest` is what it is to serve, empty for a plain service. `next_digest` is what it is to have
    loaded beside it for its turn to change over, empty when there is no change under way. `role`
    and `adapters` are those of the service, as the engine names them.
    """

    service: str
    release: str
    digest: str
    next_release: str = ""
    next_digest: str = ""
    role: str = ANY_ROLE
    adapters: frozenset[str] = frozenset()


@dataclass(frozen=True)
class StagingProgress:
    """How far one release has come on its way to the target.

    `held` counts its verified chunks at this agent, `staged` those of them handed to the target;
    `chunk_count` is 0 until the manifest is known.
    """

    held: int = 0
    staged: int = 0
    chunk_count: int = 0


@dataclass(frozen=True)
class ObservedState:
    """What the target reports, and how far the release that is to come in next is.

    `progress` is that of `incoming_digest` for the same wanted part.
    """

    reachable: bool
    active: str = ""
    loaded: frozenset[str] = frozenset()
    progress: StagingProgress = StagingProgress()
    role: str = ANY_ROLE
    adapters: frozenset[str] = frozenset()


@dataclass(frozen=True)
class WaitForChange:
    """Nothing can be done until something changes; `reason` tells what.

    `serving` here and below tells that the target meanwhile runs what it is to serve.
    """

    reason: str
    serving: bool = False


@dataclass(frozen=True)
class Stage:
    """Hand the verified chunks that the target lacks to it."""

    digest: str
    serving: bool = False


@dataclass(frozen=True)
class Load:
    """Order the target to load a release whose chunks it all has."""

    digest: str
    serving: bool = False


@dataclass(frozen=True)
class Activate:
    """End the requests on the old release, then order the new one active and read it back."""

    digest: str


@dataclass(frozen=True)
class Serve:
    """The target runs what is wanted: offer it requests."""

    digest: str


@dataclass(frozen=True)
class Reconfigure:
    """End the requests in progress, then order the role and adapters that differ.

    `load` and `drop` name adapters; `role` is empty when it is as wanted.
    """

    role: str
    load: tuple[str, ...]
    drop: tuple[str, ...]


@dataclass(frozen=True)
class Unload:
    """Order the target to free the memory of releases no longer wanted."""

    digests: tuple[str, ...]


@dataclass(frozen=True)
class Retire:
    """Nothing is wanted of this target: end its requests and offer it no more."""


Step: TypeAlias = WaitForChange | Stage | Load | Activate | Reconfigure | Serve | Unload | Retire


def incoming_digest(desired: DesiredState | None, active: str, loaded: Collection[str]) -> str:
    """Return the digest that the target lacks, the one it is to serve first; empty if none."""
    if desired is None:
        return ""
    if desired.digest and desired.digest != active and desired.digest not in loaded:
        return desired.digest
    if desired.next_digest and desired.next_digest not in loaded:
        return desired.next_digest
    return ""


def next_step(desired: DesiredState | None, observed: ObservedState) -> Step:
    """Return the next step from `observed` towards `wanted`.

    next_step(Wanted("desk", "", ""), Observed(reachable=True)) is Serve("").
    """
    if not observed.reachable:
        return WaitForChange("the target does not answer")
    if desired is None:
        return Retire()
    serving = observed.active == desired.digest
    if not serving and desired.digest in observed.loaded:
        return Activate(desired.digest)
    if desired.digest and serving and not _is_adapted(desired, observed):
        return _adapt(desired, observed)
    surplus = observed.loaded - {desired.digest, desired.next_digest}
    if serving and surplus:
        return Unload(tuple(sorted(surplus)))
    incoming = incoming_digest(desired, observed.active, observed.loaded)
    if not incoming:
        return Serve(desired.digest)
    return _bring_in(incoming, observed.progress, serving)


def _is_adapted(wanted: DesiredState, observed: ObservedState) -> bool:
    return (wanted.role, wanted.adapters) == (observed.role, observed.adapters)


def _adapt(wanted: DesiredState, observed: ObservedState) -> Reconfigure:
    return Reconfigure(
        wanted.role if wanted.role != observed.role else "",
        tuple(sorted(wanted.adapters - observed.adapters)),
        tuple(sorted(observed.adapters - wanted.adapters)),
    )


def _bring_in(digest: str, progress: StagingProgress, serving: bool) -> Step:
    if progress.chunk_count == 0:
        return WaitForChange("the manifest is not here yet", serving)
    if progress.staged < progress.held:
        return Stage(digest, serving)
    if progress.staged == progress.chunk_count:
        return Load(digest, serving)
    return WaitForChange(f"{progress.held} of {progress.chunk_count} chunks are here", serving)
