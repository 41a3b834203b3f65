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

MILLISECONDS = 1000.0
ADDRESSES_PATH = "/v1/addresses"
SERVICES_PATH = "/v1/services/"
REQUESTS_SUFFIX = "/requests"
REQUESTS_PATH = "/v1/requests/"
TICKETS_PATH = "/v1/tickets"
NOT_READY_RETRY_MS = 500
LEAVING_RETRY_MS = 200


class CallerService:
    """Answers callers.

    callers = CallerService.from_config(settings, ...)
    await callers.start()
    response = await callers.handle(request)
    callers.begin_drain()        # left out of address answers from now on
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
        """Build the service of one entry."""
        server = RequestServer.from_config(
            settings, targets, limits, node, table, objects, metrics, rng
        )
        inquiries = OutcomeLookup(server.log, node, members)
        return cls(settings, state, limits, server, inquiries, metrics, rng)

    async def start(self) -> None:
        """Start what requests are served with."""
        await self._server.start()

    async def close(self) -> None:
        """Stop; requests in progress have ended or are cut by their connections."""
        await self._server.close()

    def begin_drain(self) -> None:
        """Leave this entry out of address answers; requests are served on."""
        self._draining = True

    async def drained(self, limit_s: float) -> bool:
        """Wait until no request has come for as long as address answers are kept, and none runs.

        Other entries may learn late that this one leaves. Callers that still come are served for
        half of the time, then refused as not run, so that what was taken can end. Returns False
        when `limit_s` seconds were too few.
        """
        refusing = asyncio.get_running_loop().call_later(limit_s / 2, self._refuse_all)
        try:
            async with asyncio.timeout(limit_s):
                ttl_s = self._settings.entry.address_ttl_ms / MILLISECONDS
                await self._server.wait_until_quiet(ttl_s)
        except TimeoutError:
            return False
        finally:
            refusing.cancel()
        return True

    async def handle(self, request: Request) -> Response:
        """Answer one caller; while draining, ask it to come back by another connection."""
        try:
            response = await self._route(request)
        except LacewingError as error:
            self._metrics.note_error(error)
            response = problem_response(error)
        if self._draining:
            response.headers["connection"] = "close"
        return response

    def answer_peer(self, exchange: Exchange) -> None:
        """Tell another entry what became of a request."""
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
        me = self._settings.process.host
        known = self._limits.entries_of(account)
        entries = [each for each in known if not (self._draining and each.host == me)]
        addresses = [str(each.address) for each in entries]
        self._rng.shuffle(addresses)
        ttl_ms = self._settings.entry.address_ttl_ms
        return json_response(200, {"addresses": addresses, "ttl_ms": ttl_ms})

    async def _answer_outcome(self, account: Account, request_id: str) -> Response:
        found = await self._outcomes.find(request_id, account)
        told = {"request_id": request_id, "state": found.state.value}
        return json_response(200, {**told, "code": found.code, "reason": found.reason})

    def _service(self, name: str) -> Service:
        if self._refusing:
            raise Draining("this entry is leaving", retry_after_ms=LEAVING_RETRY_MS)
        state = self._state()
        if state.revision == 0:
            reason = "this entry has no configuration yet"
            raise NotReady(reason, retry_after_ms=NOT_READY_RETRY_MS)
        service = state.services.get(name)
        if service is None:
            raise UnknownService(f"there is no service {name!r}")
        return service
