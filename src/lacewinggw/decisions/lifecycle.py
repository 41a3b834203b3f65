"""The next step of an agent that brings its target to the configured release.

Level-triggered: each decision is derived from the desired state and the state read back from the
target alone, so a lost order, a restarted engine or a replaced agent needs no special case.
"""

from collections.abc import Collection
from dataclasses import dataclass
from typing import TypeAlias

ANY_ROLE = "both"


@dataclass(frozen=True)
class DesiredState:
    """What the configuration assigns to one host.

    `digest` is the release to serve, empty for a plain service. `next_digest` is the release to
    load in addition, so that the host can switch when its wave comes; empty when no change is
    under way. `role` and `adapters` are those of the service, as the engine names them.
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
    """The transfer progress of one release to the target.

    `held` counts the verified chunks that this agent has, `staged` those sent to the target.
    `chunk_count` is 0 until the manifest is known.
    """

    held: int = 0
    staged: int = 0
    chunk_count: int = 0


@dataclass(frozen=True)
class ObservedState:
    """What the target reports, and the progress of the release to load next.

    `progress` is that of the release that `incoming_digest` returns for the same desired state.
    """

    reachable: bool
    active: str = ""
    loaded: frozenset[str] = frozenset()
    progress: StagingProgress = StagingProgress()
    role: str = ANY_ROLE
    adapters: frozenset[str] = frozenset()


@dataclass(frozen=True)
class WaitForChange:
    """Do nothing until the state changes; `reason` names the missing condition.

    `serving`, also in the steps below, is whether the target runs the desired release meanwhile.
    """

    reason: str
    serving: bool = False


@dataclass(frozen=True)
class Stage:
    """Send the verified chunks that the target lacks."""

    digest: str
    serving: bool = False


@dataclass(frozen=True)
class Load:
    """Order the target to load a release of which it has all chunks."""

    digest: str
    serving: bool = False


@dataclass(frozen=True)
class Activate:
    """Drain the requests on the old release, order the new one active and read it back."""

    digest: str


@dataclass(frozen=True)
class Serve:
    """Offer the target requests; it runs the desired release."""

    digest: str


@dataclass(frozen=True)
class Reconfigure:
    """Drain the requests in progress, then order the role and adapters that differ.

    `load` and `drop` name adapters; `role` is empty when it needs no change.
    """

    role: str
    load: tuple[str, ...]
    drop: tuple[str, ...]


@dataclass(frozen=True)
class Unload:
    """Order the target to free the memory of releases that are no longer needed."""

    digests: tuple[str, ...]


@dataclass(frozen=True)
class Retire:
    """Drain the target and offer it no more requests; it has no assignment."""


Step: TypeAlias = WaitForChange | Stage | Load | Activate | Reconfigure | Serve | Unload | Retire


def incoming_digest(desired: DesiredState | None, active: str, loaded: Collection[str]) -> str:
    """Return the digest of the release to load next, empty if none.

    The release to serve comes before the one to switch to.
    """
    if desired is None:
        return ""
    if desired.digest and desired.digest != active and desired.digest not in loaded:
        return desired.digest
    if desired.next_digest and desired.next_digest not in loaded:
        return desired.next_digest
    return ""


def next_step(desired: DesiredState | None, observed: ObservedState) -> Step:
    """Return the next step from `observed` towards `desired`.

    next_step(DesiredState("desk", "", ""), ObservedState(reachable=True)) is Serve("").
    """
    if not observed.reachable:
        return WaitForChange("the target does not answer")
    if desired is None:
        return Retire()
    serving = observed.active == desired.digest
    if not serving and desired.digest in observed.loaded:
        return Activate(desired.digest)
    if desired.digest and serving and not _is_configured(desired, observed):
        return _reconfigure(desired, observed)
    surplus = observed.loaded - {desired.digest, desired.next_digest}
    if serving and surplus:
        return Unload(tuple(sorted(surplus)))
    incoming = incoming_digest(desired, observed.active, observed.loaded)
    if not incoming:
        return Serve(desired.digest)
    return _load_step(incoming, observed.progress, serving)


def _is_configured(desired: DesiredState, observed: ObservedState) -> bool:
    return (desired.role, desired.adapters) == (observed.role, observed.adapters)


def _reconfigure(desired: DesiredState, observed: ObservedState) -> Reconfigure:
    return Reconfigure(
        desired.role if desired.role != observed.role else "",
        tuple(sorted(desired.adapters - observed.adapters)),
        tuple(sorted(observed.adapters - desired.adapters)),
    )


def _load_step(digest: str, progress: StagingProgress, serving: bool) -> Step:
    if progress.chunk_count == 0:
        return WaitForChange("the manifest has not arrived", serving)
    if progress.staged < progress.held:
        return Stage(digest, serving)
    if progress.staged == progress.chunk_count:
        return Load(digest, serving)
    return WaitForChange(f"{progress.held} of {progress.chunk_count} chunks have arrived", serving)
