"""Requests that end targets: seen by this entry, told to the others, kept away from targets.

Connections that end too soon do not prove that their target ended. An address that refuses
connections right after that does: no process listens there any more.
"""

import asyncio
import math
import random
from collections.abc import Callable, Iterable, Sequence, Set
from contextlib import suppress
from dataclasses import dataclass, field

from lacewinggw.background import Background
from lacewinggw.clock import Clock
from lacewinggw.decisions.crashes import SUSPECT_CRASHES, Crash, CrashLedger, Standing
from lacewinggw.decisions.targetlist import TargetEntry
from lacewinggw.errors import PlatformError, RequestQuarantined
from lacewinggw.fleet.feed import CrashingRequest, Lifted
from lacewinggw.fleet.ownrows import OwnRows, crashing_key, crashing_row
from lacewinggw.frontend.admission import Admitted
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.ids import RequestDigest, ServiceName, TargetId
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics
from lacewinggw.wire.http import HttpClient
from lacewinggw.wire.soundness import require_sound

MS_PER_S = 1000.0
PROBE_S = 0.25  # connecting takes some ms; a host that is cut off does not answer at all
# What waits for the proof is about to be tried again, or to fail: a refusal takes some ms.
PROBE_WAIT_S = 0.05
# Crashes that come together are told together: when a host fails, or many targets at once, each
# entry has some to tell and passes on those of others.
GATHER_S = 0.05
WRITE_RETRY_S = 1.0
LISTED_STEP_S = 0.1  # between crashes that were written down: in turn, and before any that follows
ENDED_KEPT = 256  # targets that ended, so that each is asked once however many connections broke

log = get_logger(__name__)


@dataclass
class _Untold:
    """What the other entries are yet to be told."""

    crashes: list[Crash] = field(default_factory=list)
    served: list[tuple[RequestDigest, float]] = field(default_factory=list)
    quarantined: list[RequestDigest] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.crashes or self.served or self.quarantined)


class CrashWatch:
    """Keeps requests that end targets away from them.

    `tell` sends news to the entries that listen here. What others tell is passed on where
    `passes_on` says so: by those entries of a place to which all other places listen.

        watch.require_allowed(admitted)  # raises `RequestQuarantined`
        await watch.note_lost(admitted, entry, began_at)
        watch.note_served(admitted)
    """

    def __init__(
        self,
        http: HttpClient,
        rows: OwnRows,
        tell: Callable[[messages.CrashNews], None],
        passes_on: Callable[[], bool],
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._http = http
        self._rows = rows
        self._tell = tell
        self._passes_on = passes_on
        self._clock = clock
        self._rng = rng
        self._ledger = CrashLedger()
        self._untold = _Untold()
        self._services: dict[RequestDigest, ServiceName] = {}  # of requests that were seen here
        self._written: dict[RequestDigest, CrashingRequest] = {}  # by this entry
        self._to_write: dict[RequestDigest, CrashingRequest | None] = {}  # None: to be removed
        self._probes: dict[TargetId, asyncio.Task[bool]] = {}
        self._ended: dict[TargetId, None] = {}
        self._changed = asyncio.Event()
        self._can_write = asyncio.Event()
        self._crashes = metrics.counter("target_crashes")
        metrics.read_gauge("requests_quarantined", lambda: len(self._ledger.quarantined))
        self._telling = Background("crash news", self._run)
        self._writing = Background("quarantine", self._write)

    async def start(self) -> None:
        """Begin to tell and to judge."""
        self._telling.start()
        self._writing.start()

    async def close(self) -> None:
        """Stop."""
        await self._telling.close()
        await self._writing.close()
        for probe in self._probes.values():
            probe.cancel()

    # ---- requests of this entry -----------------------------------------------------------

    def require_allowed(self, admitted: Admitted) -> None:
        """Raise `RequestQuarantined` for a request that ends targets."""
        if self._ledger.is_empty:
            return
        now = self._clock()
        if self._ledger.standing(admitted.digest, now) is not Standing.QUARANTINED:
            return
        left_ms = round(self._ledger.time_left(admitted.digest, now) * MS_PER_S)
        raise RequestQuarantined(
            f"targets of {admitted.service} end under this request", retry_after_ms=left_ms
        )

    def is_quarantined(self, admitted: Admitted) -> bool:
        """Tell whether a request is kept away from targets."""
        return self._standing(admitted) is Standing.QUARANTINED

    def is_suspect(self, admitted: Admitted) -> bool:
        """Tell whether a request is to run beside no other suspect."""
        return self._standing(admitted) is Standing.SUSPECT

    async def note_lost(self, admitted: Admitted, entry: TargetEntry, began_at: float) -> None:
        """Take that a request sent at `began_at` was broken off; return once it is known why.

        Nothing is noted unless the target has ended.
        """
        probe = self._probes.get(entry.target)
        if probe is None:
            probe = asyncio.get_running_loop().create_task(self._probe(entry))
            self._probes[entry.target] = probe
        at = self._clock()
        crash = Crash(admitted.digest, entry.target, min(began_at, at), at)
        probe.add_done_callback(lambda done: self._note_probed(done, crash, admitted.service))
        await asyncio.wait((probe,), timeout=PROBE_WAIT_S)

    def note_served(self, admitted: Admitted) -> None:
        """Take that a target served a request."""
        if self._ledger.is_empty:
            return
        now = self._clock()
        if self._ledger.note_served(admitted.digest, now):
            self._untold.served.append((admitted.digest, now))
            self._changed.set()

    def _standing(self, admitted: Admitted) -> Standing:
        if self._ledger.is_empty:
            return Standing.CLEAR
        return self._ledger.standing(admitted.digest, self._clock())

    async def _probe(self, entry: TargetEntry) -> bool:
        """Tell whether a start of a target has ended."""
        try:
            if entry.target in self._ended:
                return True
            has_ended = await self._http.refuses(entry.address, PROBE_S)
        finally:
            self._probes.pop(entry.target, None)
        if has_ended:
            self._crashes.add()
            self._ended[entry.target] = None
            while len(self._ended) > ENDED_KEPT:
                del self._ended[next(iter(self._ended))]
            log.info("target_crashed", target=entry.target, address=entry.address)
        return has_ended

    def _note_probed(self, probe: "asyncio.Task[bool]", crash: Crash, service: ServiceName) -> None:
        if probe.cancelled() or probe.exception() is not None or not probe.result():
            return
        self._services.setdefault(crash.request, service)
        if self._ledger.note_crash(crash, self._clock()):
            self._untold.crashes.append(crash)
        self._changed.set()

    # ---- other entries, and the store -----------------------------------------------------

    def news(self) -> messages.CrashNews | None:
        """Return all that is known, for an entry that begins to listen; None if that is nothing."""
        ledger = self._ledger
        if ledger.is_empty:
            return None
        return self._compose(ledger.crashes(), ledger.served(), ledger.quarantined)

    def take_news(self, news: messages.CrashNews) -> None:
        """Take what another entry knows; raise `ProtocolViolation` when it is not sound."""
        require_sound(news)
        now = self._clock()
        heard = _Untold()
        for told in news.served:
            served = RequestDigest(told.request_digest), now - told.age_ms / MS_PER_S
            if self._ledger.note_served(*served):
                heard.served.append(served)
        for each in news.crashes:
            crash = _decode_crash(each, now)
            if self._ledger.note_crash(crash, now):
                heard.crashes.append(crash)
        for digest in map(RequestDigest, news.quarantined):
            if self._take_quarantine(digest, "entry"):
                heard.quarantined.append(digest)
        if self._passes_on():
            self._untold.crashes += heard.crashes
            self._untold.served += heard.served
            self._untold.quarantined += heard.quarantined
        self._changed.set()

    def take_listed(self, change: CrashingRequest | Lifted) -> None:
        """Take that the store lists a request as one that may end targets, or lists it no more."""
        match change:
            case CrashingRequest(request, _, targets, is_quarantined):
                self._take_crashes(request, targets)
                if is_quarantined and self._take_quarantine(request, "store"):
                    self._tell_on(request)
                self._changed.set()
            case Lifted(request):
                self._written.pop(request, None)
                if self._ledger.lift(request):
                    log.info("quarantine_lifted", digest=request, source="store")

    def _take_crashes(self, request: RequestDigest, targets: Sequence[TargetId]) -> None:
        """Take crashes that were written down: when is not known, but they came in turn."""
        now = self._clock()
        for number, target in enumerate(targets):
            at = now - (len(targets) - number) * LISTED_STEP_S
            self._ledger.note_crash(Crash(request, target, at - LISTED_STEP_S / 2, at), now)

    def _tell_on(self, request: RequestDigest) -> None:
        if self._passes_on():
            self._untold.quarantined.append(request)

    def write_again(self, listed: Set[str]) -> None:
        """Write what this entry has written, and the list lacks."""
        for request, entry in self._written.items():
            if crashing_key(request) not in listed:
                self._note_to_write(request, entry)

    def _take_quarantine(self, request: RequestDigest, source: str) -> bool:
        if not self._ledger.quarantine(request, self._clock()):
            return False
        log.warning(
            "request_quarantined",
            digest=request,
            crashes=self._ledger.crash_count(request),
            source=source,
        )
        return True

    async def _run(self) -> None:
        while True:
            await self._wait_for_news()
            await asyncio.sleep(GATHER_S)
            self._judge()
            self._end_expired()
            self._write_down()
            untold, self._untold = self._untold, _Untold()
            if untold:
                self._tell(self._compose(untold.crashes, untold.served, untold.quarantined))

    async def _wait_for_news(self) -> None:
        """Wait until there is something to tell, or to judge."""
        wait_s = max(0.0, self._ledger.next_look - self._clock())
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s if math.isfinite(wait_s) else None):
                await self._changed.wait()
        self._changed.clear()

    def _judge(self) -> None:
        for request in self._ledger.judge(self._clock()):
            crashes = self._ledger.crash_count(request)
            log.warning("request_quarantined", digest=request, crashes=crashes, source="own")
            self._untold.quarantined.append(request)

    def _write_down(self) -> None:
        """Write down what is known of requests that were seen here, so that it outlasts all.

        Two crashes in turn are written at once: all entries may end before the third is judged.
        Only entries that saw a request themselves write of it: a few, and not all of them.
        """
        for request, service in list(self._services.items()):
            entry = self._entry_of(request, service)
            if entry is None and self._ledger.crash_count(request) == 0:
                del self._services[request]
            if entry == self._written.get(request):
                continue
            if entry is None:
                del self._written[request]
            else:
                self._written[request] = entry
            self._note_to_write(request, entry)

    def _entry_of(self, request: RequestDigest, service: ServiceName) -> CrashingRequest | None:
        """Return what is to be written of a request, None where it is suspected of nothing."""
        before = self._written.get(request)
        if before is not None and before.is_quarantined and request in self._ledger.quarantined:
            return before
        targets = tuple(self._ledger.targets_in_turn(request))
        is_quarantined = request in self._ledger.quarantined
        if not is_quarantined and len(targets) < SUSPECT_CRASHES:
            return None
        return CrashingRequest(request, service, targets, is_quarantined)

    def _end_expired(self) -> None:
        for request in self._ledger.expired(self._clock()):
            self._ledger.lift(request)
            log.info("quarantine_lifted", digest=request, source="time")
            if self._passes_on():
                self._note_to_write(request, None)

    def _note_to_write(self, request: RequestDigest, entry: CrashingRequest | None) -> None:
        self._to_write[request] = entry
        self._can_write.set()

    async def _write(self) -> None:
        """Keep the store's list of requests that end targets, however often it fails at first."""
        while True:
            await self._can_write.wait()
            try:
                await self._write_all()
                self._can_write.clear()
            except PlatformError as error:
                log.info("quarantine_not_written", error=error)
                await asyncio.sleep(WRITE_RETRY_S * self._rng.uniform(0.5, 1.5))

    async def _write_all(self) -> None:
        for request, entry in list(self._to_write.items()):
            if entry is None:
                await self._rows.remove(crashing_key(request))
            else:
                await self._rows.put(crashing_row(entry))
            if self._to_write.get(request) is entry:
                del self._to_write[request]

    def _compose(
        self,
        crashes: Iterable[Crash],
        served: Iterable[tuple[RequestDigest, float]],
        quarantined: Iterable[RequestDigest],
    ) -> messages.CrashNews:
        now = self._clock()
        return messages.CrashNews(
            crashes=[_encode_crash(crash, now) for crash in crashes],
            served=[
                messages.ServedRequest(request, _to_ms(now - served_at))
                for request, served_at in served
            ],
            quarantined=list(quarantined),
        )


def _encode_crash(crash: Crash, now: float) -> messages.TargetCrash:
    ran_ms, age_ms = _to_ms(crash.at - crash.began_at), _to_ms(now - crash.at)
    return messages.TargetCrash(crash.request, crash.target, ran_ms, age_ms)


def _decode_crash(told: messages.TargetCrash, now: float) -> Crash:
    at = now - told.age_ms / MS_PER_S
    began_at = at - told.ran_ms / MS_PER_S
    return Crash(RequestDigest(told.request_digest), TargetId(told.target), began_at, at)


def _to_ms(seconds: float) -> int:
    return max(0, round(seconds * MS_PER_S))
