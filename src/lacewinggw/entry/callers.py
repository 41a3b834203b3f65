"""The HTTP interface for callers: addresses, requests, tickets and outcomes."""

import asyncio
import random
from collections.abc import Callable

from lacewinggw.clients.objects import ObjectClient
from lacewinggw.clients.table import TableClient
from lacewinggw.decisions.revisions import FleetState
from lacewinggw.entry.answers import problem_response
from lacewinggw.entry.limits import AccountLimits
from lacewinggw.entry.outcomelookup import Members, OutcomeLookup
from lacewinggw.entry.parsing import bearer_token
from lacewinggw.entry.serving import RequestServer
from lacewinggw.entry.targets import TargetDirectory
from lacewinggw.errors import (
    BadToken,
    Draining,
    LacewingError,
    NotReady,
    UnknownPath,
    UnknownService,
)
from lacewinggw.generated.messages.ttypes import Service
from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.ids import Account
from lacewinggw.metrics import Metrics
from lacewinggw.wire.http import Request, Response, json_response
from lacewinggw.wire.peers import Exchange, PeerNode

MS_PER_S = 1000.0
ADDRESSES_PATH = "/v1/addresses"
SERVICES_PATH = "/v1/services/"
REQUESTS_SUFFIX = "/requests"
REQUESTS_PATH = "/v1/requests/"
TICKETS_PATH = "/v1/tickets"
NOT_READY_RETRY_MS = 500
LEAVING_RETRY_MS = 200


class CallerService:
    """Answers callers over HTTP.

    callers = CallerService.from_config(settings, ...)
    await callers.start()
    response = await callers.handle(request)
    callers.begin_drain()        # address answers omit this entry from now on
    await callers.drained(60.0)
    await callers.close()
    """

    def __init__(
        self,
        settings: Settings,
        state: Callable[[], FleetState],
        limits: AccountLimits,
        server: RequestServer,
        outcomes: OutcomeLookup,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._state = state
        self._limits = limits
        self._server = server
        self._outcomes = outcomes
        self._metrics = metrics
        self._rng = rng
        self._draining = False
        self._refusing = False

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        state: Callable[[], FleetState],
        targets: TargetDirectory,
        limits: AccountLimits,
        node: PeerNode,
        table: TableClient,
        objects: ObjectClient,
        members: Members,
        metrics: Metrics,
        rng: random.Random,
    ) -> "CallerService":
        """Return the caller service of one entry."""
        server = RequestServer.from_config(
            settings, targets, limits, node, table, objects, metrics, rng
        )
        inquiries = OutcomeLookup(server.log, node, members)
        return cls(settings, state, limits, server, inquiries, metrics, rng)

    async def start(self) -> None:
        """Start the request server."""
        await self._server.start()

    async def close(self) -> None:
        """Stop. Requests in progress have ended, or end when their connections close."""
        await self._server.close()

    def begin_drain(self) -> None:
        """Omit this entry from address answers; requests are still served."""
        self._draining = True

    async def drained(self, limit_s: float) -> bool:
        """Wait until no request arrived for the TTL of address answers, and none is in progress.

        Other entries may be notified late that this one leaves. New requests are served for half of
        `limit_s`, then refused as not run, so that accepted requests can finish. Return False if
        `limit_s` seconds were not enough.
        """
        refusing = asyncio.get_running_loop().call_later(limit_s / 2, self._refuse_all)
        try:
            async with asyncio.timeout(limit_s):
                ttl_s = self._settings.entry.address_ttl_ms / MS_PER_S
                await self._server.wait_until_quiet(ttl_s)
        except TimeoutError:
            return False
        finally:
            refusing.cancel()
        return True

    async def handle(self, request: Request) -> Response:
        """Answer one request; while draining, ask the caller to close the connection."""
        try:
            response = await self._route(request)
        except LacewingError as error:
            self._metrics.count_refusal_error(error)
            response = problem_response(error)
        if self._draining:
            response.headers["connection"] = "close"
        return response

    def answer_peer(self, exchange: Exchange) -> None:
        """Send another entry the outcome of a request."""
        self._outcomes.answer(exchange)

    def _refuse_all(self) -> None:
        self._refusing = True

    async def _route(self, request: Request) -> Response:
        path = request.path
        account = self._account(request)
        match request.method:
            case "GET" if path == ADDRESSES_PATH:
                return self._answer_addresses(account)
            case "GET" if path.startswith(REQUESTS_PATH):
                return await self._answer_outcome(account, path.removeprefix(REQUESTS_PATH))
            case "POST" if path == TICKETS_PATH:
                service = self._service(request.query.get("service", ""))
                return await self._server.issue_ticket(request, service, account)
            case "POST" if path.startswith(SERVICES_PATH) and path.endswith(REQUESTS_SUFFIX):
                name = path.removeprefix(SERVICES_PATH).removesuffix(REQUESTS_SUFFIX)
                return await self._server.serve(request, self._service(name), account)
        raise UnknownPath(f"there is no {request.method} {path}")

    def _account(self, request: Request) -> Account:
        declared = self._limits.account_of(bearer_token(request.headers))
        if declared is None:
            raise BadToken("the token is missing or unknown")
        return declared.account

    def _answer_addresses(self, account: Account) -> Response:
        own_host = self._settings.process.host
        assigned = self._limits.entries_of(account)
        entries = [each for each in assigned if not (self._draining and each.host == own_host)]
        addresses = [str(each.address) for each in entries]
        self._rng.shuffle(addresses)
        ttl_ms = self._settings.entry.address_ttl_ms
        return json_response(200, {"addresses": addresses, "ttl_ms": ttl_ms})

    async def _answer_outcome(self, account: Account, request_id: str) -> Response:
        found = await self._outcomes.find(request_id, account)
        content = {"request_id": request_id, "state": found.state.value}
        return json_response(200, {**content, "code": found.code, "reason": found.reason})

    def _service(self, name: str) -> Service:
        if self._refusing:
            raise Draining("this entry is shutting down", retry_after_ms=LEAVING_RETRY_MS)
        state = self._state()
        if state.revision == 0:
            reason = "this entry has no configuration yet"
            raise NotReady(reason, retry_after_ms=NOT_READY_RETRY_MS)
        service = state.services.get(name)
        if service is None:
            raise UnknownService(f"there is no service {name!r}")
        return service
