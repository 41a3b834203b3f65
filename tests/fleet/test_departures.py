"""Who is told that a target leaves, and when."""

import pytest

from lacewinggw.decisions.routingview import RoutingView, RoutingViewRules
from lacewinggw.frontend.leavingtargets import LeavingSource, LeavingTargets
from lacewinggw.metrics import Metrics


# Each entry that was told passed it on at once to all that listen to it.
@pytest.mark.parametrize(
    ("source", "told"),
    [
        (LeavingSource.ANSWER, 1),
        (LeavingSource.ADDRESS, 1),
        (LeavingSource.LIST, 1),
        (LeavingSource.ENTRY, 0),
        (LeavingSource.AGENT, 0),
    ],
)
def test_only_who_finds_out_first_tells_other_entries_at_once(source, told):
    calls = []
    departures = LeavingTargets(
        RoutingView(RoutingViewRules()),
        lambda: calls.append("leaving"),
        lambda: calls.append("urgent"),
        Metrics(),
    )
    for _ in range(3):
        departures.mark_leaving("desk", source)
        departures.publish_new(source)
    assert calls == ["leaving"] + ["urgent"] * told
