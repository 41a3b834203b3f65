"""Which components are notified that a target is leaving, and when."""

import pytest

from lacewinggw.decisions.routingview import RoutingView, RoutingViewRules
from lacewinggw.frontend.leavingtargets import LeavingSource, LeavingTargets
from lacewinggw.metrics import Metrics


# If every entry forwarded a report at once, all entries would notify each other of each target.
@pytest.mark.parametrize(
    ("source", "notified"),
    [
        (LeavingSource.ANSWER, 1),
        (LeavingSource.ADDRESS, 1),
        (LeavingSource.LIST, 1),
        (LeavingSource.ENTRY, 0),
        (LeavingSource.AGENT, 0),
    ],
)
def test_only_the_first_observer_notifies_other_entries_at_once(source, notified):
    calls = []
    leaving_targets = LeavingTargets(
        RoutingView(RoutingViewRules()),
        lambda: calls.append("leaving"),
        lambda: calls.append("urgent"),
        Metrics(),
    )
    for _ in range(3):
        leaving_targets.mark_leaving("desk", source)
        leaving_targets.publish_new(source)
    assert calls == ["leaving"] + ["urgent"] * notified
