"""The home regions that the current routes give to each request of an entry."""

from collections.abc import Callable, Mapping, Sequence

from lacewinggw.decisions.homeregions import (
    Homes,
    has_home_regions,
    home_regions,
    names_with_home,
    unknown_regions,
)
from lacewinggw.decisions.routes import RouteTable
from lacewinggw.decisions.routingview import RoutingView
from lacewinggw.frontend.admission import AdmittedRequest
from lacewinggw.ids import Place, Region
from lacewinggw.log import get_logger

MAX_LOGGED = 10  # unknown regions of one version, and the routes and accounts that name each

log = get_logger(__name__)


class RequestHomes:
    """Looks up home regions in the current routes, and reports routes with unknown regions.

    `on_change` is called when other home regions may apply to waiting requests.

        homes = RequestHomes(view, ["hall:north"], on_change)
        homes.note_routes()  # after each change of the routes
        rule = homes.rule_for(admitted)
        rule()  # by the routes at this time
    """

    def __init__(
        self, view: RoutingView, regions: Sequence[str], on_change: Callable[[], None]
    ) -> None:
        self._view = view
        self._on_change = on_change
        self._regions = _split_regions(regions)
        self._table: RouteTable | None = None
        self._regions_version = 0
        self._is_declared = False

    @property
    def regions(self) -> Mapping[Place, Region]:
        """The region of each place; the mapping is kept up to date."""
        return self._regions

    @property
    def is_declared(self) -> bool:
        """Whether any route or client account has home regions."""
        return self._is_declared

    def apply_regions(self, regions: Sequence[str]) -> None:
        """Apply a changed list of places and their regions."""
        changed = _split_regions(regions)
        if changed == self._regions:
            return
        self._regions.clear()
        self._regions.update(changed)
        self._regions_version += 1
        self._table = None
        self.note_routes()

    def note_routes(self) -> None:
        """Apply the current routes, if they are new."""
        table = self._view.routes
        if table is None or table is self._table:
            return
        self._table = table
        was_declared, self._is_declared = self._is_declared, has_home_regions(table)
        if not (was_declared or self._is_declared):
            return
        self._log_unknown(table)
        self._on_change()

    def rule_for(self, admitted: AdmittedRequest) -> Callable[[], Homes]:
        """Return the function that returns the home regions of a request by the current routes."""
        found_in: tuple[RouteTable | None, int] | None = None
        homes: Homes = None

        def current_homes() -> Homes:
            nonlocal found_in, homes
            current = (self._view.routes, self._regions_version)
            if found_in is None or found_in[0] is not current[0] or found_in[1] != current[1]:
                found_in, homes = current, self._find(admitted)
            return homes

        return current_homes

    def _find(self, admitted: AdmittedRequest) -> Homes:
        """Return the home regions of a request.

        A route or key that has been removed since the request was admitted still applies to it.
        """
        route, account, table = admitted.route, admitted.account, self._view.routes
        if table is not None:
            route = table.find(admitted.call.domain, admitted.call.path) or route
            account = table.account_of(admitted.facts.key) or account
        return home_regions(route, account, frozenset(self._regions.values()))

    def _log_unknown(self, table: RouteTable) -> None:
        for region in unknown_regions(table, frozenset(self._regions.values()))[:MAX_LOGGED]:
            named_by = names_with_home(table, region)
            log.warning(
                "home_region_unknown",
                region=region,
                version=table.version,
                named_by=named_by[:MAX_LOGGED],
                count=len(named_by),
            )


def _split_regions(items: Sequence[str]) -> dict[Place, Region]:
    pairs = (item.partition(":") for item in items)
    return {Place(place): Region(region) for place, _, region in pairs}
