"""Request handling of the agent: offer, reserve, start and withdraw.

The agent is the final arbiter of whether a request runs. It answers "not run" only for requests
that it prevents from ever running, and "unknown" for those that it may have forgotten.
"""

import asyncio
import random
from collections.abc import Callable

from lacewinggw.agent.executor import Executor
from lacewinggw.agent.runs import RetainedRuns, Run, RunListener, request_digest
from lacewinggw.agent.target import TargetStatus
from lacewinggw.clients.engine import EngineClient
from lacewinggw.clients.plain import PlainClient
from lacewinggw.decisions.atmostonce import (
    MAX_DEADLINE_S,
    AlreadyTaken,
    Rejected,
    RejectionCause,
    RunId,
    RunRegistry,
    run_id,
)
from lacewinggw.errors import (
    AnswerGone,
    DeadlineTooNear,
    Draining,
    HolderGone,
    KeyReused,
    LacewingError,
    NoTarget,
    Overloaded,
    ProtocolViolation,
    ReleaseMoved,
    TicketExpired,
    Withdrawn,
)
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.ids import Incarnation
from lacewinggw.metrics import Metrics
from lacewinggw.wire.clients import BODY_COPIES, ClientLimits
from lacewinggw.wire.peers import Exchange, Identity

MS_PER_S = 1000.0
NOT_SERVING_RETRY_MS = 500
MAX_RESERVATIONS = 10_000
RESERVATION_POLL_S = 0.1
MIN_DRAIN_S = 1.0  # until every entry has been notified that the target is draining


class RequestService:
    """Handles the messages of all requests at the agent.

    service = RequestService.from_config(settings, target_status, engine, identity, metrics, rng)
    await service.start()
    await service.handle(exchange)  # Offer, Reserve, Start, Withdraw
    service.begin_drain()
    await service.wait_drained(60.0)
    await service.close()
    """

    def __init__(
        self,
        settings: Settings,
        target_status: TargetStatus,
        engine: EngineClient,
        identity: Identity,
        metrics: Metrics,
        rng: random.Random,
        plain: PlainClient | None,
    ) -> None:
        held_bytes = ClientLimits.from_config(settings.process).held_bytes
        self._body_limit_bytes = held_bytes // BODY_COPIES
        self._body_bytes = 0  # of the runs in progress
        self._target_status = target_status
        self._identity = identity
        self._window = settings.requests.piece_window
        self._reservation_s = settings.requests.reservation_ms / MS_PER_S
        self._registry = RunRegistry(Incarnation(identity.incarnation), rng)
        self._runs: dict[RunId, Run] = {}
        self._retained = RetainedRuns()
        self._draining = False
        self._listener_count = 0
        self._all_done = asyncio.Event()
        self._all_done.set()
        metrics.read_gauge("pieces_held", self._count_held_pieces)
        metrics.read_gauge("reservations", lambda: self._registry.reserved)
        self._executor = Executor(
            settings, target_status, engine, plain, self._registry, metrics, self._on_run_ended
        )

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        target_status: TargetStatus,
        engine: EngineClient,
        identity: Identity,
        metrics: Metrics,
        rng: random.Random,
        plain: PlainClient | None = None,
    ) -> "RequestService":
        """Build the service of one target; a plain target needs its `plain` client."""
        return cls(settings, target_status, engine, identity, metrics, rng, plain)

    def set_live_callbacks(
        self, on_first_piece: Callable[[float], None], on_bytes: Callable[[int], None]
    ) -> None:
        """Set the callbacks for each run's wait for its first piece, and for bytes received."""
        self._executor.on_first_piece = on_first_piece
        self._executor.on_bytes = on_bytes

    async def start(self) -> None:
        """Do nothing: requests arrive through `handle`."""

    async def close(self) -> None:
        """Refuse the waiting runs and cancel the running ones."""
        self._draining = True
        await self._executor.close()

    def load(self) -> messages.Load:
        """Return the current load."""
        return self._executor.load()

    def begin_drain(self) -> None:
        """Start refusing new requests; those accepted before continue."""
        self._draining = True

    def end_drain(self) -> None:
        """Accept new requests again."""
        self._draining = False

    async def wait_drained(self, limit_s: float) -> bool:
        """Wait until no request waits, runs or has parts of its answer still to be sent.

        It takes at least `MIN_DRAIN_S`, in which offers already in transit are refused instead of
        lost. It also waits until open reservations lapse, because only this process can prove that
        they never started. Return False if `limit_s` seconds were too few.
        """
        try:
            async with asyncio.timeout(limit_s):
                await asyncio.sleep(MIN_DRAIN_S)
                await self._all_done.wait()
                while self._registry.count_open(self._now()):  # noqa: ASYNC110
                    await asyncio.sleep(RESERVATION_POLL_S)
        except TimeoutError:
            return False
        return True

    async def quiesce(self) -> None:
        """Stop starting requests, and wait until none is running; queued ones stay queued."""
        await self._executor.quiesce()

    def resume(self) -> None:
        """Start requests again."""
        self._executor.resume()

    async def handle(self, exchange: Exchange) -> None:
        """Handle one message about a request."""
        match exchange.message:
            case messages.Offer(head=head, body=body, nonce=nonce):
                await self._answer(exchange, head, body or b"", nonce or "")
            case messages.Start(head=head, body=body, nonce=nonce):
                await self._answer(exchange, head, body or b"", nonce or "")
            case messages.Reserve(head=head):
                exchange.finish(self._reserve(head))
            case messages.Withdraw() as withdraw:
                exchange.finish(self._withdraw(withdraw))
            case other:
                kind = type(other).__name__
                raise ProtocolViolation(f"{kind} is not a message about a request")

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _reserve(self, head: messages.RequestHead) -> messages.Reservation:
        _check_head(head)
        self._check_serving(head)
        if self._registry.reserved >= MAX_RESERVATIONS:
            reason = "too many reservations are open at the target"
            raise Overloaded(reason, retry_after_ms=NOT_SERVING_RETRY_MS)
        lifetime_s = max(self._reservation_s, head.deadline_ms / MS_PER_S)
        nonce = self._registry.reserve(lifetime_s, self._now())
        return messages.Reservation(
            nonce=nonce,
            host=self._identity.host,
            incarnation=self._identity.incarnation,
            expires_in_ms=int(lifetime_s * MS_PER_S),
            digest=self._target_status.active_digest,
        )

    def _withdraw(self, request: messages.Withdraw) -> messages.Withdrawal:
        own_incarnation = self._identity.incarnation
        if request.incarnation != own_incarnation:
            return messages.Withdrawal(messages.Standing.UNKNOWN, own_incarnation)
        nonce = request.nonce or ""
        name = RunId(nonce or request.request_id or "")
        run = self._runs.get(name) or self._retained.get(name)
        standing = self._registry.withdraw(name, self._now(), bool(nonce))
        if run is not None and standing == messages.Standing.NEVER_STARTED:
            self._executor.withdraw(run)
        return messages.Withdrawal(
            standing, own_incarnation, run.finish if run is not None else None
        )

    async def _answer(
        self, exchange: Exchange, head: messages.RequestHead, body: bytes, nonce: str
    ) -> None:
        _check_head(head)
        run = self._admit(head, body, nonce)
        listener = RunListener(run, exchange, head.resume_from, self._window)
        self._listener_count += 1
        self._all_done.clear()
        reader = asyncio.get_running_loop().create_task(_read_follow_ups(exchange, listener))
        try:
            await listener.send_all()
        finally:
            reader.cancel()
            self._listener_count -= 1
            if head.repeatable and not run.ended and not run.listeners:
                self._executor.cancel(run)
            self._check_all_done()

    def _admit(self, head: messages.RequestHead, body: bytes, nonce: str) -> Run:
        """Return the run to listen to: the existing one with that id, or a new one."""
        name = run_id(nonce, head.request_id, head.attempt)
        digest = request_digest(head, body)
        run = self._runs.get(name) or self._retained.get(name)
        if run is not None:
            if run.request_digest != digest:
                raise KeyReused("the reservation was used for a request with different content")
            return run
        now = self._now()
        rejection = self._registry.look_up(name, now, bool(nonce))
        if rejection is not None:
            raise _rejection_error(rejection)
        self._check_serving(head)
        deadline = now + min(head.deadline_ms / MS_PER_S, MAX_DEADLINE_S)
        self._executor.check_capacity(head, deadline)
        self._check_memory(body)
        self._registry.take(name, now, bool(nonce))
        run = Run(name, head, body, digest, deadline)
        self._runs[name] = run
        self._body_bytes += len(body)
        self._all_done.clear()
        self._executor.submit(run)
        return run

    def _check_serving(self, head: messages.RequestHead) -> None:
        if self._draining:
            raise Draining("the target is draining")
        if head.deadline_ms <= 0:
            raise DeadlineTooNear("the deadline passed before the request reached the target")
        if not self._target_status.serving or head.service_name != self._target_status.service:
            reason = f"the target does not serve {head.service_name}"
            raise NoTarget(reason, retry_after_ms=NOT_SERVING_RETRY_MS)
        if head.digest and head.digest != self._target_status.active_digest:
            raise ReleaseMoved("the target serves other weights")

    def _check_memory(self, body: bytes) -> None:
        """Refuse a body that exceeds the limit of all together, unless it is the only one."""
        if self._body_bytes and self._body_bytes + len(body) > self._body_limit_bytes:
            reason = "no memory at the target for a request of this size now"
            raise Overloaded(reason, retry_after_ms=NOT_SERVING_RETRY_MS)

    def _count_held_pieces(self) -> int:
        """Return the number of pieces of requests in progress that are in memory."""
        return sum(len(run.pieces) for run in self._runs.values())

    def _on_run_ended(self, run: Run) -> None:
        self._runs.pop(run.id, None)
        self._body_bytes -= len(run.body)
        run.body = b""  # its digest is all that a retained run needs
        if run.finish is not None and not run.head.repeatable:
            self._retained.add(run, self._now())
        self._check_all_done()

    def _check_all_done(self) -> None:
        if not self._runs and not self._listener_count:
            self._all_done.set()


async def _read_follow_ups(exchange: Exchange, listener: RunListener) -> None:
    """Add the caller's credit as it arrives, until the caller cancels."""
    while True:
        match await exchange.follow_up():
            case messages.Credit(pieces=pieces):
                listener.add_credit(max(0, pieces))
            case messages.Cancel():
                listener.stop()
                return


def _check_head(head: messages.RequestHead | None) -> None:
    if head is None or not head.request_id or not head.service_name or head.resume_from < 0:
        raise ProtocolViolation("the request has no id, no service or a negative resume position")


def _rejection_error(rejection: AlreadyTaken | Rejected) -> LacewingError:
    if isinstance(rejection, AlreadyTaken):
        return AnswerGone("the request ran here, but no complete answer is kept")
    match rejection.cause:
        case RejectionCause.WITHDRAWN:
            return Withdrawn("withdrawn before it started")
        case RejectionCause.LAPSED:
            return TicketExpired("the reservation has expired, or was never granted")
        case RejectionCause.OTHER_INCARNATION:
            return HolderGone("the agent that granted the reservation is gone")
        case RejectionCause.FORGOTTEN:
            return HolderGone("the reservation is too old to determine whether it was used")
