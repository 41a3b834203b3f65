"""The home regions of requests: the regions in which a request may run and its body may be sent.

The load it handles: callers whose data must stay in some regions, at times when targets there are
few. Their requests are refused at once if no target there can take them, because waiting for one in
another region is in vain. Routes may change while a request waits, is retried or is resumed, and
the new ones apply to it.

    homes = home_regions(route, account, known)
    if homes is None or region in homes: ...
"""

from collections.abc import Iterator, Set

from lacewinggw.decisions.routes import ClientAccount, Route, RouteTable
from lacewinggw.ids import Region

Homes = frozenset[Region] | None  # None: the request may run in any region


def anywhere() -> Homes:
    """Return that a request may run in any region."""
    return None


def home_regions(route: Route, account: ClientAccount | None, known: Set[Region]) -> Homes:
    """Return the regions in which a request may run.

    If both the route and the account have home regions, both apply. A route or account that names a
    region which is not `known` may run nowhere: the name may be a misspelled one, and running the
    request in the other regions only would hide that.
    """
    named = [each.homes for each in (route, account) if each is not None and each.homes]
    if not named:
        return None
    if not all(homes <= known for homes in named):
        return frozenset()
    return frozenset.intersection(*named)


def has_home_regions(table: RouteTable) -> bool:
    """Return whether any route or client account has home regions."""
    return any(each.homes for each in _declarations(table))


def unknown_regions(table: RouteTable, known: Set[Region]) -> list[Region]:
    """Return the home regions that are not known, in order."""
    return sorted({region for each in _declarations(table) for region in each.homes - known})


def names_with_home(table: RouteTable, region: Region) -> list[str]:
    """Return the names of the routes and accounts that have a home region, in order."""
    return sorted({each.name for each in _declarations(table) if region in each.homes})


def _declarations(table: RouteTable) -> Iterator[Route | ClientAccount]:
    yield from table.routes
    yield from table.accounts.values()
