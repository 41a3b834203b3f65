"""What differs between two versions of the routes, and what recent versions have changed.

A version can be large and arrive late over a slow link. The difference from an earlier version is
small, so an entry can know which requests a newer version handles differently before it has it.

    difference = compare_routes(older, newer)
    if not difference.affects(call.domain, call.path, key): ...  # both versions handle it alike
"""

import math
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from functools import cached_property, reduce
from typing import NamedTuple

from lacewinggw.decisions.routes import Route, RouteTable

MAX_PATHS = 400  # in a difference; with more, it counts as affecting all requests
MAX_KEYS = 400
HISTORY_LENGTH = 16  # changes; a storm of changes brings one every 0.3 s


class RoutePath(NamedTuple):
    """The requests of a domain whose path begins with a prefix."""

    domain: str
    prefix: str


@dataclass(frozen=True)
class RoutesDifference:
    """The requests that `version` may handle differently from the earlier `base_version`.

    They are those with one of the `paths` or `keys`, or all if `is_total`. Requests on routes and
    with keys that only the later version has are not included, as the earlier one cannot handle
    them.
    """

    base_version: int
    version: int
    paths: frozenset[RoutePath] = frozenset()
    keys: frozenset[str] = frozenset()
    is_total: bool = False

    def affects(self, domain: str, path: str, key: str) -> bool:
        """Return whether the two versions may handle a request differently."""
        if self.affects_key(key):
            return True
        return any(path.startswith(prefix) for prefix in self._prefixes.get(domain, ()))

    def affects_key(self, key: str) -> bool:
        """Return whether the two versions may treat a key differently."""
        return self.is_total or key in self.keys

    def then(self, later: "RoutesDifference") -> "RoutesDifference":
        """Return the difference to the version of `later`, whose base is this version."""
        return _limit(
            self.base_version,
            later.version,
            self.paths | later.paths,
            self.keys | later.keys,
            self.is_total or later.is_total,
        )

    @cached_property
    def _prefixes(self) -> Mapping[str, list[str]]:
        prefixes: dict[str, list[str]] = {}
        for path in self.paths:
            prefixes.setdefault(path.domain, []).append(path.prefix)
        return prefixes


def compare_routes(base: RouteTable, later: RouteTable) -> RoutesDifference:
    """Return how a later version of the routes differs from an earlier one.

    An added route counts if it takes requests from a route of the earlier version.
    """
    before, after = _by_path(base.routes), _by_path(later.routes)
    changed = {path for path, route in before.items() if after.get(path) != route}
    added = after.keys() - before.keys()
    changed.update(path for path in added if base.find(path.domain, path.prefix) is not None)
    accounts = later.accounts
    keys = {key for key, account in base.accounts.items() if accounts.get(key) != account}
    is_total = base.needs_key != later.needs_key
    return _limit(base.version, later.version, frozenset(changed), frozenset(keys), is_total)


def _by_path(routes: Iterable[Route]) -> dict[RoutePath, Route]:
    return {RoutePath(route.domain, route.prefix): route for route in routes}


def _limit(
    base_version: int,
    version: int,
    paths: frozenset[RoutePath],
    keys: frozenset[str],
    is_total: bool,
) -> RoutesDifference:
    if is_total or len(paths) > MAX_PATHS or len(keys) > MAX_KEYS:
        return RoutesDifference(base_version, version, is_total=True)
    return RoutesDifference(base_version, version, paths, keys)


@dataclass(frozen=True)
class RoutesChange:
    """A difference, and when its versions were known to be the newest.

    The later version was at `confirmed_at` under any fault of the store, and at `observed_at` while
    its feed misses no change.
    """

    difference: RoutesDifference
    base_observed_at: float = -math.inf
    confirmed_at: float = -math.inf
    observed_at: float = -math.inf

    def then(self, later: "RoutesChange") -> "RoutesChange":
        """Return the change to the later version of `later`."""
        difference = self.difference.then(later.difference)
        return replace(later, difference=difference, base_observed_at=self.base_observed_at)

    def merge_times(self, other: "RoutesChange") -> "RoutesChange":
        """Return the same change with the latest times of both."""
        return replace(
            self,
            base_observed_at=max(self.base_observed_at, other.base_observed_at),
            confirmed_at=max(self.confirmed_at, other.confirmed_at),
            observed_at=max(self.observed_at, other.observed_at),
        )


class RoutesHistory:
    """The changes between the versions of the routes that a process had one after the other."""

    def __init__(self) -> None:
        self._changes: deque[RoutesChange] = deque(maxlen=HISTORY_LENGTH)

    @property
    def bases(self) -> Sequence[int]:
        """The versions that were replaced, the oldest first."""
        return [change.difference.base_version for change in self._changes]

    def note(self, base: RouteTable, later: RouteTable, base_observed_at: float) -> None:
        """Record that a version replaces another one, last known to be the newest at a time."""
        self._changes.append(RoutesChange(compare_routes(base, later), base_observed_at))

    def since(self, version: int) -> RoutesChange | None:
        """Return the change from an earlier version to the last one.

        Return None if this process did not have that version, or too long ago.
        """
        bases = self.bases
        if version not in bases:
            return None
        return reduce(RoutesChange.then, list(self._changes)[bases.index(version) :])
