"""Routes: the longest prefix, client accounts and weighted splits."""

import pytest

from lacewinggw.decisions.routes import (
    ClientAccount,
    RetryPolicy,
    Route,
    RouteTable,
    ServiceShare,
    pick_service,
)


def route(name, domain, prefix, *shares):
    parts = tuple(ServiceShare(service, weight) for service, weight in shares or [("desk", 1)])
    return Route(name, domain, prefix, RetryPolicy.IDEMPOTENT, False, 1.0, 0.2, parts)


TABLE = RouteTable(
    7,
    (
        route("short", "sheets.example", "/pens/"),
        route("long", "sheets.example", "/pens/old/"),
        route("other", "notes.example", "/"),
    ),
    accounts={"key-1": ClientAccount("growers", 0)},
)


@pytest.mark.parametrize(
    ("domain", "path", "found"),
    [
        ("sheets.example", "/pens/12", "short"),
        ("sheets.example", "/pens/old/12", "long"),
        ("sheets.example", "/pens", None),
        ("sheets.example", "/", None),
        ("notes.example", "/pens/old/12", "other"),
        ("nowhere.example", "/pens/12", None),
    ],
)
def test_longest_prefix_of_the_domain(domain, path, found):
    chosen = TABLE.find(domain, path)
    assert (chosen.name if chosen else None) == found


def test_account_of_a_key():
    assert TABLE.account_of("key-1").name == "growers"
    assert TABLE.account_of("key-2") is None


def test_split_by_weight():
    shares = (ServiceShare("old", 90), ServiceShare("new", 10))
    drawn = [pick_service(shares, number / 100) for number in range(100)]
    assert drawn.count("old") == 90 and drawn.count("new") == 10


def test_a_service_with_weight_zero_gets_no_requests():
    shares = (ServiceShare("old", 1), ServiceShare("new", 0))
    assert {pick_service(shares, draw) for draw in (0.0, 0.5, 0.999999, 1.0)} == {"old"}
