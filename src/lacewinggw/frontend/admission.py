"""Decide whether a request may be served: find its route, client account and deadline.

These functions do no I/O: the result depends only on the cached routes and their age. A permanent
denial (unknown route or key) requires routes fresh enough to contain any recent addition.
"""

import hashlib
import random
from dataclasses import dataclass
from functools import cached_property

from lacewinggw.decisions.contents import make_part_content
from lacewinggw.decisions.deadlines import MAX_TIME_LEFT_S
from lacewinggw.decisions.routes import ClientAccount, Route, RouteTable, pick_service
from lacewinggw.decisions.routingview import RoutingView
from lacewinggw.errors import BadToken, NotReady, RoutesSuperseded, UnknownPath
from lacewinggw.frontend.calls import Call, CallFacts
from lacewinggw.ids import ContentId, RequestDigest, ServiceName

DIGEST_BYTES = 12
MAX_PARTS = 32  # of a prompt that are recorded, the first ones
CATCH_UP_MS = 300  # for a process that has just started or reconnected to get the routes


@dataclass(frozen=True)
class AdmittedRequest:
    """A request that may be served; `deadline` is in seconds by the loop's clock."""

    call: Call
    facts: CallFacts
    route: Route
    service: ServiceName
    account: ClientAccount | None
    priority: int
    deadline: float
    routes_version: int = 0  # of the routes by which it was admitted
    newest_version: int = 0  # of the routes known to exist at that time

    @cached_property
    def digest(self) -> RequestDigest:
        """A digest of the request and its client account, equal for all attempts at the request.

        Each attempt has an id of its own, and a caller may retry at any entry.
        """
        request = (self.call.method, self.call.domain, self.call.target)
        account_name = self.account.name if self.account else ""
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for part in (*request, account_name):
            digest.update(part.encode() + b"\0")
        digest.update(self.call.body)
        return RequestDigest(ContentId(digest.hexdigest()))

    @cached_property
    def parts(self) -> tuple[ContentId, ...]:
        """The parts of the prompt that other requests may have as well."""
        model, parts = self.facts.model, self.facts.shared_parts[:MAX_PARTS]
        return tuple(make_part_content(model, part) for part in dict.fromkeys(parts))

    @property
    def contents(self) -> tuple[ContentId, ...]:
        """All that may crash a target: the whole request, and the shared parts of its prompt."""
        return (self.digest, *self.parts)


def admit(
    call: Call, facts: CallFacts, view: RoutingView, now: float, rng: random.Random
) -> AdmittedRequest:
    """Return the request with its route and account; `now` is by the clock of `view`.

    Raise `NotReady` while the cached routes are missing or too old to decide, `RoutesSuperseded`
    while newer ones are known that may handle the request differently, `UnknownPath` for an unknown
    route, and `BadToken` for an unknown key.
    """
    table = view.routes
    if table is None:
        raise NotReady("the routes have not been received yet", retry_after_ms=CATCH_UP_MS)
    route = _find_route(call, table, view, now)
    account = _find_account(facts, route, table, view, now)
    if not view.can_handle(call.domain, call.path, facts.key, now):
        raise RoutesSuperseded("newer routes may change this request", retry_after_ms=CATCH_UP_MS)
    priority = route.priority
    if account is not None and account.priority is not None:
        priority = account.priority
    time_left_s = facts.time_left_s if facts.time_left_s is not None else MAX_TIME_LEFT_S
    return AdmittedRequest(
        call=call,
        facts=facts,
        route=route,
        service=pick_service(route.shares, rng.random()),
        account=account,
        priority=priority,
        deadline=call.arrived_at + min(time_left_s, route.timeout_s),
        routes_version=table.version,
        newest_version=view.newest_version,
    )


def _find_route(call: Call, table: RouteTable, view: RoutingView, now: float) -> Route:
    route = table.find(call.domain, call.path)
    if route is not None:
        return route
    if not view.can_deny_unknown(now):
        raise NotReady("the routes may have changed", retry_after_ms=CATCH_UP_MS)
    raise UnknownPath(f"no route for {call.domain}{call.path}")


def _find_account(
    facts: CallFacts, route: Route, table: RouteTable, view: RoutingView, now: float
) -> ClientAccount | None:
    account = table.account_of(facts.key)
    if account is None and (route.anonymous or not table.needs_key):
        return None
    if account is None:
        if not view.can_deny_unknown(now):
            raise NotReady("the keys may have changed", retry_after_ms=CATCH_UP_MS)
        raise BadToken("no client account holds this key")
    if not view.can_accept_key(facts.key, now):
        raise NotReady("keys cannot be checked: the store is unreachable", retry_after_ms=1000)
    return account
