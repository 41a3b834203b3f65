"""Read the time bounds of a declared fleet from the settings."""

from lacewinggw.decisions.coldstart import ColdTolerance
from lacewinggw.decisions.routingview import RoutingViewRules
from lacewinggw.generated.settings.ttypes import Settings

MS_PER_S = 1000.0
PERCENT = 100.0


def knowledge_rules(settings: Settings) -> RoutingViewRules:
    """Return the time bounds on cached data that the settings define."""
    fleet = settings.fleet
    return RoutingViewRules(
        revocation_s=fleet.revocation_ms / MS_PER_S,
        apply_s=fleet.apply_ms / MS_PER_S,
        lapse_s=fleet.lapse_ms / MS_PER_S,
        version_s=fleet.version_ms / MS_PER_S,
    )


def cold_tolerance(settings: Settings) -> ColdTolerance:
    """Return what cold targets tolerate beyond the rate that their service declares."""
    fleet = settings.fleet
    return ColdTolerance(fleet.cold_overshoot_percent / PERCENT, float(fleet.cold_slack))
