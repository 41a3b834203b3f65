"""What an agent does next to bring its target to the release that the configuration names.

Level-triggered: the whole decision is made anew from what is wanted and what was read back from the
target, so that a lost order, a restarted engine or a replaced agent needs no case of its own.
"""

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True)
class Wanted:
    """One host's part in the configuration.

    `digest` is empty for a plain service. `activate` is false while the host is to load the release
    but go on serving the one before.
    """

    service: str
    release: str
    digest: str
    activate: bool = True


@dataclass(frozen=True)
class Observed:
    """What the target reports, and how far the weights are.

    `held` counts the verified chunks of the wanted release at this agent, `staged` those of them
    handed to the target; `chunk_count` is 0 until the manifest is known.
    """

    reachable: bool
    active: str = ""
    loaded: frozenset[str] = frozenset()
    held: int = 0
    staged: int = 0
    chunk_count: int = 0


@dataclass(frozen=True)
class Wait:
    """Nothing can be done until something changes; `reason` tells what."""

    reason: str


@dataclass(frozen=True)
class Stage:
    """Hand the verified chunks that the target lacks to it."""

    digest: str


@dataclass(frozen=True)
class Load:
    """Order the target to load a release whose chunks it all has."""

    digest: str


@dataclass(frozen=True)
class Activate:
    """End the requests on the old release, then order the new one active and read it back."""

    digest: str


@dataclass(frozen=True)
class Serve:
    """The target runs what is wanted: offer it requests."""

    digest: str


@dataclass(frozen=True)
class Unload:
    """Order the target to free the memory of releases no longer wanted."""

    digests: tuple[str, ...]


@dataclass(frozen=True)
class Retire:
    """Nothing is wanted of this target: end its requests and offer it no more."""


Step: TypeAlias = Wait | Stage | Load | Activate | Serve | Unload | Retire


def next_step(wanted: Wanted | None, observed: Observed) -> Step:
    """Return the next step from `observed` towards `wanted`.

    next_step(Wanted("desk", "", ""), Observed(reachable=True)) is Serve("").
    """
    if not observed.reachable:
        return Wait("the target does not answer")
    if wanted is None:
        return Retire()
    if not wanted.digest or observed.active == wanted.digest:
        return _tidy(wanted, observed)
    if wanted.digest in observed.loaded:
        if wanted.activate:
            return Activate(wanted.digest)
        return Wait("loaded; its turn to activate has not come")
    return _bring_in(wanted, observed)


def _tidy(wanted: Wanted, observed: Observed) -> Step:
    surplus = observed.loaded - {wanted.digest}
    if wanted.digest and surplus:
        return Unload(tuple(sorted(surplus)))
    return Serve(wanted.digest)


def _bring_in(wanted: Wanted, observed: Observed) -> Step:
    if observed.chunk_count == 0:
        return Wait("the manifest is not here yet")
    if observed.staged < observed.held:
        return Stage(wanted.digest)
    if observed.staged == observed.chunk_count:
        return Load(wanted.digest)
    return Wait(f"{observed.held} of {observed.chunk_count} chunks are here")
