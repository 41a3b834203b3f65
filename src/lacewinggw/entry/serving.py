"""Serve callers' requests: admit them, run them, and answer them completely or as a stream."""

import asyncio
import random
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from contextlib import aclosing

from lacewinggw.agent.runs import request_digest
from lacewinggw.clients.objects import ObjectClient
from lacewinggw.clients.table import TableClient
from lacewinggw.entry.answers import (
    EVENT_STREAM,
    complete_response,
    error_event,
    final_event,
    piece_events,
    problem_response,
)
from lacewinggw.entry.attempts import CallerRequest
from lacewinggw.entry.claims import ClaimStore
from lacewinggw.entry.hostmonitor import HostMonitor
from lacewinggw.entry.keyed import KeyedRun
from lacewinggw.entry.limits import AccountLimits, AccountRejection
from lacewinggw.entry.outcomes import RequestLog
from lacewinggw.entry.parsing import RequestOptions, build_head, make_request_id, parse_options
from lacewinggw.entry.records import AnswerRecords
from lacewinggw.entry.requests import (
    NO_TARGET_RETRY_MS,
    AnswerRun,
    Batches,
    RequestContext,
    RequestRun,
    collect,
)
from lacewinggw.entry.reserved import ReservedRun, reserve
from lacewinggw.entry.targets import TargetDirectory
from lacewinggw.entry.tickets import Ticket, TicketSigner
from lacewinggw.errors import LacewingError, MalformedHttp, NoTarget, RequestUnknown
from lacewinggw.generated.messages.ttypes import Priority, RequestHead, Service, ServiceKind
from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.ids import Account
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics
from lacewinggw.wire.http import Request, Response, json_response
from lacewinggw.wire.peers import PeerNode

MS_PER_S = 1000.0

log = get_logger(__name__)


class EventBody:
    """The body of a streamed response; `ended` is called even if it is never read."""

    def __init__(self, events: AsyncGenerator[bytes, None], ended: Callable[[], None]) -> None:
        self._events = events
        self._ended = ended

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the events."""
        return self._events

    async def aclose(self) -> None:
        """Discard unread events."""
        await self._events.aclose()
        self._ended()


class RequestServer:
    """Serves requests and issues tickets; `log` has the outcomes of the requests."""

    def __init__(
        self,
        settings: Settings,
        context: RequestContext,
        limits: AccountLimits,
        claims: ClaimStore,
        records: AnswerRecords,
        rng: random.Random,
    ) -> None:
        self.log = RequestLog(context.metrics)
        self._context = context
        self._limits = limits
        self._claims = claims
        self._records = records
        self._rng = rng
        self._host = settings.process.host
        self._deadline_s = settings.requests.deadline_ms / MS_PER_S
        self._signer = TicketSigner(settings.process.fleet_key)

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        targets: TargetDirectory,
        limits: AccountLimits,
        node: PeerNode,
        table: TableClient,
        objects: ObjectClient,
        metrics: Metrics,
        rng: random.Random,
    ) -> "RequestServer":
        """Return a server with the settings of [requests]."""
        requests = settings.requests
        host_monitor = HostMonitor(targets.unresponsive_hosts)
        context = RequestContext(node, targets, host_monitor, metrics, requests.piece_window)
        claims = ClaimStore(table, requests.claim_batch_ms / MS_PER_S, metrics)
        keep_s = requests.answer_keep_ms / MS_PER_S
        records = AnswerRecords(objects, table, claims, keep_s)
        return cls(settings, context, limits, claims, records, rng)

    async def start(self) -> None:
        """Start monitoring hosts and deleting expired recorded answers."""
        await self._context.host_monitor.start()
        await self._records.start()

    async def close(self) -> None:
        """Stop; claim writes in progress finish."""
        await self._context.host_monitor.close()
        await self._records.close()
        await self._claims.close()

    async def wait_until_quiet(self, quiet_s: float) -> None:
        """Wait until no request began for `quiet_s` s, none runs and all answers are recorded."""
        await self.log.wait_until_quiet(quiet_s)
        await self._records.drained()

    async def serve(self, request: Request, service: Service, account: Account) -> Response:
        """Answer a request; raise the error if it is refused before it begins."""
        options = parse_options(request.headers, self._deadline_s)
        head = build_head(request, service, account, options, self._new_id())
        run = self._build_run(request, service, head, options)
        self._begin(head)
        if not options.stream or service.kind != ServiceKind.MODEL:
            return await self._respond_complete(run, head)
        return await self._respond_stream(run, head)

    async def issue_ticket(self, request: Request, service: Service, account: Account) -> Response:
        """Return a response with a ticket for one request to a service."""
        options = parse_options(request.headers, self._deadline_s)
        head = build_head(request, service, account, options, self._new_id())
        self._admit(head)
        try:
            choice = self._context.targets.choose(service.name, head)
            if choice is None:
                reason = f"no target serves {service.name} now"
                raise NoTarget(reason, retry_after_ms=NO_TARGET_RETRY_MS)
            reservation = await reserve(self._context, choice.address, head, options.deadline_s)
        finally:
            self._limits.release(account)
        ticket = Ticket(
            service.name, account, choice.address, reservation.incarnation, reservation.nonce
        )
        content = {
            "ticket": self._signer.encode(ticket),
            "expires_in_ms": reservation.expires_in_ms,
        }
        return json_response(201, content)

    async def _respond_complete(self, run: AnswerRun, head: RequestHead) -> Response:
        ended: LacewingError | None = RequestUnknown("the entry cancelled the request")
        try:
            answer = await collect(run)
            ended = None
            return complete_response(head.request_id, answer)
        except LacewingError as error:
            ended = error
            return problem_response(error, head.request_id)
        except Exception as error:
            log.exception("request_failed", request_id=head.request_id)
            ended = RequestUnknown(f"the entry failed: {error!r}")
            return problem_response(ended, head.request_id)
        finally:
            self._end(head, ended)

    async def _respond_stream(self, run: AnswerRun, head: RequestHead) -> Response:
        """Respond once there is a first piece, so that an earlier error sets the HTTP status."""
        batches = run.batches()
        try:
            first: list[bytes] = await anext(batches, [])
        except LacewingError as error:
            self._end(head, error)
            return problem_response(error, head.request_id)
        except BaseException as error:
            self._end(head, RequestUnknown(f"the entry failed: {error!r}"))
            raise
        headers = {"content-type": EVENT_STREAM, "request-id": head.request_id}
        disconnected = RequestUnknown("the caller disconnected before the end")
        events = self._events(run, batches, first, head)
        return Response(200, headers, EventBody(events, lambda: self._end(head, disconnected)))

    async def _events(
        self, run: AnswerRun, batches: Batches, first: list[bytes], head: RequestHead
    ) -> AsyncGenerator[bytes, None]:
        """Yield the events of a stream; the last one reports how it ended."""
        ended: LacewingError | None = RequestUnknown("the caller disconnected before the end")
        progress = run.progress
        try:
            async with aclosing(batches):
                yield piece_events(progress.pieces - len(first), first)
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
        self, request: Request, service: Service, head: RequestHead, options: RequestOptions
    ) -> AnswerRun:
        is_model = service.kind == ServiceKind.MODEL
        caller_request = CallerRequest(
            head=head,
            body=request.body,
            digest=request_digest(head, request.body),
            deadline=asyncio.get_running_loop().time() + options.deadline_s,
            resumable=is_model,
            is_first_attempt=options.is_first_attempt,
        )
        if options.ticket:
            ticket = self._signer.decode(options.ticket)
            if (ticket.service, ticket.account) != (head.service_name, head.account):
                raise MalformedHttp("the ticket was issued for another service or account")
            return ReservedRun.from_ticket(self._context, caller_request, ticket)
        if options.key:
            return KeyedRun(self._context, caller_request, self._claims, self._records)
        return RequestRun(
            self._context, caller_request, recallable=not (options.stream and is_model)
        )

    def _new_id(self) -> str:
        return make_request_id(self._host, self._rng)

    def _admit(self, head: RequestHead) -> None:
        now = asyncio.get_running_loop().time()
        admission = self._limits.admit(Account(head.account), Priority(head.priority), now)
        if isinstance(admission, AccountRejection):
            raise admission.to_error()
        head.weight = admission.weight

    def _begin(self, head: RequestHead) -> None:
        self._admit(head)
        self.log.begin(head.request_id, Account(head.account))

    def _end(self, head: RequestHead, error: LacewingError | None) -> None:
        """Record the end of a request; calls after the first have no effect."""
        if self.log.end(head.request_id, error):
            self._limits.release(Account(head.account))
