"""The HTTP interface for callers: addresses, requests, tickets and outcomes."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import aclosing

from lacewinggw.agent.runs import request_digest
from lacewinggw.decisions.revisions import FleetState
from lacewinggw.entry.answers import (
    EVENT_STREAM,
    error_event,
    final_event,
    piece_events,
    problem_response,
    whole_response,
)
from lacewinggw.entry.asking import Wishes, bearer_token, build_head, read_wishes
from lacewinggw.entry.attempts import Asked
from lacewinggw.entry.claims import ClaimStore
from lacewinggw.entry.keyed import KeyedRun
from lacewinggw.entry.limits import AccountLimits, Refused
from lacewinggw.entry.outcomes import RequestLog
from lacewinggw.entry.records import AnswerRecords
from lacewinggw.entry.requests import Answering, Means, RequestRun, collect
from lacewinggw.entry.reserved import ReservedRun, reserve
from lacewinggw.entry.silence import SilenceWatch
from lacewinggw.entry.targets import TargetDirectory
from lacewinggw.entry.tickets import Ticket, TicketSeal
from lacewinggw.errors import (
    BadToken,
    Draining,
    LacewingError,
    MalformedHttp,
    NoTarget,
    NotReady,
    RequestUnknown,
    RowMissing,
    UnknownPath,
    UnknownService,
)
from lacewinggw.generated.messages.ttypes import (
    Priority,
    RequestHead,
    Service,
    ServiceKind,
)
from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.ids import Account
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics
from lacewinggw.platform.membership import Member
from lacewinggw.platform.objects import ObjectClient
from lacewinggw.platform.table import TableClient
from lacewinggw.wire.http import Request, Response, json_response
from lacewinggw.wire.peers import PeerNode

MILLISECONDS = 1000.0
ADDRESSES_PATH = "/v1/addresses"
SERVICES_PATH = "/v1/services/"
REQUESTS_SUFFIX = "/requests"
REQUESTS_PATH = "/v1/requests/"
TICKETS_PATH = "/v1/tickets"
NOT_READY_RETRY_MS = 500
LEAVING_RETRY_MS = 200

log = get_logger(__name__)


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
        targets: TargetDirectory,
        limits: AccountLimits,
        node: PeerNode,
        table: TableClient,
        objects: ObjectClient,
        members: Callable[[], Sequence[Member]],
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        requests = settings.requests
        self._settings = settings
        self._state = state
        self._targets = targets
        self._limits = limits
        self._metrics = metrics
        self._rng = rng
        self._silence = SilenceWatch(targets.silent_hosts)
        self._means = Means(node, targets, self._silence, metrics, requests.piece_window)
        self._claims = ClaimStore(table, requests.claim_batch_ms / MILLISECONDS, metrics)
        keep_s = requests.answer_keep_ms / MILLISECONDS
        self._records = AnswerRecords(objects, table, self._claims, keep_s)
        self._seal = TicketSeal(settings.process.fleet_key)
        self._log = RequestLog(metrics)
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
        members: Callable[[], Sequence[Member]],
        metrics: Metrics,
        rng: random.Random,
    ) -> "CallerService":
        """Build the service of one entry."""
        return cls(
            settings,
            state,
            targets,
            limits,
            node,
            table,
            objects,
            members,
            metrics,
            rng,
        )

    async def start(self) -> None:
        """Begin to watch over tries, and to drop recorded answers when their time is over."""
        await self._silence.start()
        await self._records.start()

    async def close(self) -> None:
        """Stop; requests in progress have ended or are cut by their connections."""
        await self._silence.close()
        await self._records.close()
        await self._claims.close()

    def begin_drain(self) -> None:
        """Leave this entry out of address answers; requests are served on."""
        self._draining = True

    async def drained(self, limit_s: float) -> bool:
        """Wait until no request has come for as long as address answers are kept, and none runs.

        Other entries may learn late that this one leaves. Callers that still come are served for
        half of the time, then refused as not run, so that what was taken can end. Returns False
        when `limit_s` seconds were too few.
        """
        loop = asyncio.get_running_loop()
        refusing = loop.call_later(limit_s / 2, self._refuse_all)
        try:
            async with asyncio.timeout(limit_s):
                await self._log.wait_until_quiet(self._settings.entry.address_ttl_ms / MILLISECONDS)
                await self._records.drained()
        except TimeoutError:
            return False
        finally:
            refusing.cancel()
        return True

    def _refuse_all(self) -> None:
        self._refusing = True

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

    async def _route(self, request: Request) -> Response:
        path = request.path
        match request.method:
            case "GET" if path == ADDRESSES_PATH:
                return self._answer_addresses(self._account(request))
            case "GET" if path.startswith(REQUESTS_PATH):
                return self._answer_outcome(path.removeprefix(REQUESTS_PATH))
            case "POST" if path == TICKETS_PATH:
                return await self._answer_ticket(request)
            case "POST" if path.startswith(SERVICES_PATH) and path.endswith(REQUESTS_SUFFIX):
                service = path.removeprefix(SERVICES_PATH).removesuffix(REQUESTS_SUFFIX)
                return await self._answer_request(request, service)
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

    def _answer_outcome(self, request_id: str) -> Response:
        found = self._log.outcomes.find(request_id)
        if found is None:
            raise RowMissing(
                f"this entry has no request {request_id}",
                remedy="ask the entry that took it; outcomes are kept for a while only",
            )
        told = {"request_id": request_id, "state": found.state.value}
        return json_response(200, {**told, "code": found.code, "reason": found.reason})

    async def _answer_ticket(self, request: Request) -> Response:
        account = self._account(request)
        service = self._service(request.query.get("service", ""))
        head = build_head(request, service, account, self._wishes(request), self._rng)
        choice = self._targets.choose(service.name, head)
        if choice is None:
            raise NoTarget(f"no target serves {service.name} now", retry_after_ms=1000)
        given = await reserve(self._means, choice.address, head)
        ticket = Ticket(service.name, account, choice.address, given.incarnation, given.nonce)
        told = {
            "ticket": self._seal.write(ticket),
            "expires_in_ms": given.expires_in_ms,
        }
        return json_response(201, told)

    async def _answer_request(self, request: Request, service_name: str) -> Response:
        account = self._account(request)
        if self._refusing:
            raise Draining("this entry is leaving", retry_after_ms=LEAVING_RETRY_MS)
        service = self._service(service_name)
        wishes = self._wishes(request)
        head = build_head(request, service, account, wishes, self._rng)
        run = self._build_run(request, service, head, wishes)
        self._admit(head)
        self._log.begin(head.request_id)
        if wishes.stream and service.kind == ServiceKind.MODEL:
            headers = {"content-type": EVENT_STREAM, "request-id": head.request_id}
            return Response(200, headers, self._stream(run, head))
        return await self._whole(run, head)

    async def _whole(self, run: Answering, head: RequestHead) -> Response:
        ended: LacewingError | None = RequestUnknown("the entry cut it off")
        try:
            answer = await collect(run)
            ended = None
            return whole_response(head.request_id, answer)
        except LacewingError as error:
            ended = error
            return problem_response(error, head.request_id)
        except Exception as error:
            log.exception("request_failed", request_id=head.request_id)
            ended = RequestUnknown(f"the entry failed: {error!r}")
            return problem_response(ended, head.request_id)
        finally:
            self._end(head, ended)

    async def _stream(self, run: Answering, head: RequestHead) -> AsyncIterator[bytes]:
        """Yield the events of a stream, the last one saying how it ended."""
        ended: LacewingError | None = RequestUnknown("the caller left before the end")
        progress = run.progress
        try:
            async with aclosing(run.batches()) as batches:
                async for pieces in batches:
                    yield piece_events(progress.pieces - len(pieces), pieces)
            ended = None
            yield final_event(head.request_id, progress)
        except LacewingError as error:
            ended = error
            yield error_event(error, head.request_id)
        except Exception as error:
            log.exception("stream_failed", request_id=head.request_id)
            ended = RequestUnknown(f"the entry failed: {error!r}")
            yield error_event(ended, head.request_id)
        finally:
            self._end(head, ended)

    def _build_run(
        self, request: Request, service: Service, head: RequestHead, wishes: Wishes
    ) -> Answering:
        is_model = service.kind == ServiceKind.MODEL
        asked = Asked(
            head=head,
            body=request.body,
            digest=request_digest(head, request.body),
            deadline=asyncio.get_running_loop().time() + wishes.deadline_s,
            resumable=is_model,
            first_sending=wishes.first_sending,
        )
        if wishes.ticket:
            ticket = self._seal.read(wishes.ticket)
            if (ticket.service, ticket.account) != (head.service_name, head.account):
                raise MalformedHttp("the ticket is for another service or account")
            return ReservedRun.from_ticket(self._means, asked, ticket)
        if wishes.key:
            return KeyedRun(self._means, asked, self._claims, self._records)
        return RequestRun(self._means, asked, recallable=not (wishes.stream and is_model))

    def _admit(self, head: RequestHead) -> None:
        now = asyncio.get_running_loop().time()
        verdict = self._limits.admit(Account(head.account), Priority(head.priority), now)
        if isinstance(verdict, Refused):
            raise verdict.error()
        head.weight = verdict.weight

    def _end(self, head: RequestHead, error: LacewingError | None) -> None:
        self._limits.release(Account(head.account))
        self._log.end(head.request_id, error)

    def _wishes(self, request: Request) -> Wishes:
        return read_wishes(request.headers, self._settings.requests.deadline_ms / MILLISECONDS)

    def _service(self, name: str) -> Service:
        state = self._state()
        if state.revision == 0:
            reason = "this entry has no configuration yet"
            raise NotReady(reason, retry_after_ms=NOT_READY_RETRY_MS)
        service = state.services.get(name)
        if service is None:
            raise UnknownService(f"there is no service {name!r}")
        return service
