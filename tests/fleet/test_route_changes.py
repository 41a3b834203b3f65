"""What a newer version of the routes changes, and what the cached version may still handle."""

from dataclasses import replace

import pytest

from lacewinggw.decisions.routechanges import (
    HISTORY_LENGTH,
    MAX_PATHS,
    RoutePath,
    RoutesChange,
    RoutesHistory,
    compare_routes,
)
from lacewinggw.decisions.routes import (
    ClientAccount,
    RetryPolicy,
    Route,
    RouteTable,
    ServiceShare,
)
from lacewinggw.decisions.routingview import (
    ANNOUNCED_RETENTION_S,
    RoutingView,
    RoutingViewRules,
)

RULES = RoutingViewRules(revocation_s=5.0, apply_s=2.0)


def route(prefix, service="desk", domain="notes", **changes):
    shares = (ServiceShare(service, 1.0),)
    policy = RetryPolicy.IDEMPOTENT
    return Route(prefix, domain, prefix, policy, False, 1.0, 0.2, shares, **changes)


def table(version, *routes, **accounts):
    keys = {key: ClientAccount(name) for key, name in accounts.items()}
    return RouteTable(version, routes, accounts=keys, needs_key=True)


def affects(base, later, path, key="key"):
    return compare_routes(base, later).affects("notes", path, key)


KEPT, OTHER = route("/kept/"), route("/other/")
BASE = table(3, KEPT, OTHER, key="growers")


@pytest.mark.parametrize(
    "later",
    [
        table(4, KEPT, key="growers"),
        table(4, KEPT, route("/other/", "bureau"), key="growers"),
        table(4, KEPT, replace(OTHER, timeout_s=2.0), key="growers"),
        table(4, KEPT, OTHER, route("/other/deep/"), key="growers"),
    ],
    ids=["removed", "moved", "timeout", "split"],
)
def test_a_changed_route_affects_its_requests_only(later):
    assert affects(BASE, later, "/other/deep/1")
    assert not affects(BASE, later, "/kept/1")


def test_an_added_route_affects_no_request_of_the_earlier_version():
    later = table(4, KEPT, OTHER, route("/new/"), route("/kept/", domain="new"), key="growers")
    assert compare_routes(BASE, later).paths == frozenset()


@pytest.mark.parametrize("accounts", [{}, {"key": "others"}, {"new": "growers"}])
def test_a_key_that_is_removed_or_moved_affects_its_requests(accounts):
    later = table(4, KEPT, OTHER, **accounts)
    assert affects(BASE, later, "/kept/1", "key") and not affects(BASE, later, "/kept/1", "x")


def test_a_difference_of_whether_keys_are_needed_affects_all_requests():
    assert affects(BASE, replace(BASE, version=4, needs_key=False), "/kept/1", "x")


def test_a_difference_with_many_paths_affects_all_requests():
    many = [route(f"/{number}/") for number in range(MAX_PATHS + 1)]
    difference = compare_routes(table(3, KEPT, *many), table(4, KEPT))
    assert difference.is_total and not difference.paths


def test_changes_are_joined_from_the_version_that_is_asked_for():
    history = RoutesHistory()
    tables = [
        table(1, KEPT, OTHER),
        table(2, KEPT, route("/other/", "bureau")),
        table(3, KEPT, OTHER),
        table(4, KEPT, OTHER, route("/kept/deep/")),
    ]
    for number, (base, later) in enumerate(zip(tables, tables[1:], strict=False)):
        history.note(base, later, base_observed_at=float(number))
    change = history.since(2)
    assert (change.difference.base_version, change.difference.version) == (2, 4)
    # A route that is changed and changed back differs in a version between the two.
    assert change.difference.paths == {
        RoutePath("notes", "/other/"),
        RoutePath("notes", "/kept/deep/"),
    }
    assert change.base_observed_at == 1.0
    assert history.since(4) is None and history.since(0) is None


def test_old_changes_are_forgotten():
    history = RoutesHistory()
    for version in range(HISTORY_LENGTH + 1):
        history.note(table(version, KEPT), table(version + 1, KEPT), 0.0)
    assert history.since(0) is None and history.since(1) is not None


@pytest.fixture
def view():
    view = RoutingView(RULES)
    view.update_routes(BASE)
    view.confirm_routes(10.0)
    return view


def announce(view, version, now):
    view.confirm_version(version)
    view.note_announced(version, now)


def change_to(later, **times):
    return RoutesChange(compare_routes(BASE, later), **times)


MOVED = table(4, KEPT, route("/other/", "bureau"), key="growers")


def can_handle(view, path, now, key="key"):
    return view.can_handle("notes", path, key, now)


def test_cached_routes_handle_requests_until_a_newer_version_must_be_in_force(view):
    announce(view, 4, 10.5)
    assert can_handle(view, "/other/1", 11.9) and not can_handle(view, "/other/1", 12.0)
    assert not can_handle(view, "/kept/1", 12.0)


def test_cached_routes_handle_what_a_newer_version_does_not_change(view):
    announce(view, 4, 10.5)
    assert view.lacks_difference
    view.note_difference(change_to(MOVED))
    assert not view.lacks_difference
    assert can_handle(view, "/kept/1", 14.0) and not can_handle(view, "/other/1", 14.0)


def test_a_version_newer_than_the_known_difference_limits_what_it_allows(view):
    announce(view, 4, 10.5)
    view.note_difference(change_to(MOVED, observed_at=11.0))
    announce(view, 5, 11.5)
    assert view.lacks_difference
    assert can_handle(view, "/kept/1", 12.9) and not can_handle(view, "/kept/1", 13.0)


def test_a_difference_from_other_routes_is_ignored(view):
    announce(view, 4, 10.5)
    other = RoutesChange(compare_routes(table(2, KEPT), MOVED), confirmed_at=20.0)
    view.note_difference(other)
    assert view.lacks_difference and not can_handle(view, "/kept/1", 12.0)


def test_cached_routes_are_used_again_when_nobody_announces_newer_ones(view):
    announce(view, 4, 10.5)
    assert not can_handle(view, "/other/1", 10.4 + ANNOUNCED_RETENTION_S)
    assert can_handle(view, "/other/1", 10.5 + ANNOUNCED_RETENTION_S)


def test_a_proof_of_a_newer_version_holds_for_the_keys_that_it_keeps(view):
    view.note_difference(change_to(MOVED, confirmed_at=13.0))
    assert view.can_accept_key("key", 17.9) and not view.can_accept_key("key", 18.0)
    assert view.can_accept_keys(17.9)


def test_a_proof_of_a_newer_version_does_not_hold_for_a_key_that_it_removes(view):
    view.note_difference(change_to(table(4, KEPT, OTHER), confirmed_at=13.0))
    assert view.can_accept_key("key", 14.9) and not view.can_accept_key("key", 15.0)


def test_a_difference_shows_until_when_the_cached_routes_were_the_newest(view):
    announce(view, 4, 10.5)
    view.note_difference(change_to(MOVED, base_observed_at=11.5))
    assert can_handle(view, "/other/1", 13.4) and not can_handle(view, "/other/1", 13.5)


def test_changes_are_told_from_cached_and_earlier_versions(view):
    assert view.changes_since(3) is None
    view.update_routes(MOVED)
    view.confirm_routes(13.0, observed_at=13.5)
    change = view.changes_since(3)
    assert (change.base_observed_at, change.confirmed_at, change.observed_at) == (10.0, 13.0, 13.5)
    view.note_difference(RoutesChange(compare_routes(MOVED, replace(BASE, version=5))))
    assert view.changes_since(3).difference.version == 5
    assert view.changes_since(4).difference.version == 5
