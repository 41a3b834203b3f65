"""Detect requests that crash targets, report them to other entries, and quarantine them.

A connection that breaks does not prove that its target crashed. If the address refuses connections
right afterwards, it did: no process listens there any more.
"""

import asyncio
import math
import random
from collections.abc import Callable, Set
from contextlib import suppress

from lacewinggw.background import Background
from lacewinggw.clock import Clock
from lacewinggw.decisions.crashes import Crash, CrashStatus, CrashTracker
from lacewinggw.decisions.targetlist import TargetEntry
from lacewinggw.errors import RequestQuarantined
from lacewinggw.fleet.feed import CrashingRequest, QuarantineLifted
from lacewinggw.fleet.ownrows import OwnRows
from lacewinggw.frontend.admission import AdmittedRequest
from lacewinggw.frontend.crashrows import CrashRows
from lacewinggw.frontend.crashupdates import CrashReport, Served, merge_report, sequential_crashes
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.ids import RequestDigest, ServiceName, TargetId
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics
from lacewinggw.wire.http import HttpClient

MS_PER_S = 1000.0
PROBE_TIMEOUT_S = 0.25  # connecting takes a few ms; an unreachable host does not answer at all
# How long a broken request waits for the probe before it is retried or fails. A refused connection
# takes a few ms.
PROBE_WAIT_S = 0.05
# Crashes within this time are reported in one update. When a host or many targets fail at once,
# each entry has several crashes to report and forwards those of others.
COALESCE_S = 0.05
ASSUMED_INTERVAL_S = 0.1  # between listed crashes, whose times are not stored
MAX_ENDED_TARGETS = 256  # remembered, so that each is probed once for all its broken connections

log = get_logger(__name__)


class CrashMonitor:
    """Quarantines requests that crash targets.

    `broadcast` sends updates to the subscribed entries. Received updates are forwarded if
    `is_forwarder` returns true, which it does for those entries of a place to which all other
    places subscribe.

        monitor.require_not_quarantined(admitted)  # raises `RequestQuarantined`
        await monitor.note_connection_lost(admitted, entry, began_at)
        monitor.note_served(admitted)
    """

    def __init__(
        self,
        http: HttpClient,
        rows: OwnRows,
        broadcast: Callable[[messages.CrashUpdate], None],
        is_forwarder: Callable[[], bool],
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._http = http
        self._broadcast = broadcast
        self._is_forwarder = is_forwarder
        self._clock = clock
        self._tracker = CrashTracker()
        self._rows = CrashRows(rows, self._tracker, rng)
        self._pending = CrashReport()
        self._probes: dict[TargetId, asyncio.Task[bool]] = {}
        self._ended_targets: dict[TargetId, None] = {}
        self._changed = asyncio.Event()
        self._crashes = metrics.counter("target_crashes")
        metrics.read_gauge("requests_quarantined", lambda: len(self._tracker.quarantined))
        self._loop = Background("crash updates", self._run)

    async def start(self) -> None:
        """Start sending updates and evaluating crashes."""
        self._loop.start()
        await self._rows.start()

    async def close(self) -> None:
        """Stop."""
        await self._loop.close()
        await self._rows.close()
        for probe in self._probes.values():
            probe.cancel()

    # ---- requests of this entry -----------------------------------------------------------

    def require_not_quarantined(self, admitted: AdmittedRequest) -> None:
        """Raise `RequestQuarantined` if the request is quarantined."""
        if self._tracker.is_empty:
            return
        now = self._clock()
        if self._tracker.status(admitted.digest, now) is not CrashStatus.QUARANTINED:
            return
        left_ms = round(self._tracker.quarantine_left(admitted.digest, now) * MS_PER_S)
        raise RequestQuarantined(
            f"targets of {admitted.service} crashed while running this request",
            retry_after_ms=left_ms,
        )

    def is_quarantined(self, admitted: AdmittedRequest) -> bool:
        """Return whether a request is quarantined."""
        return self._status(admitted) is CrashStatus.QUARANTINED

    def is_suspect(self, admitted: AdmittedRequest) -> bool:
        """Return whether a request is suspected and must not run together with other suspects."""
        return self._status(admitted) is CrashStatus.SUSPECT

    async def note_connection_lost(
        self, admitted: AdmittedRequest, entry: TargetEntry, began_at: float
    ) -> None:
        """Probe the target of a request that was sent at `began_at` and whose connection broke.

        Return once the probe has finished, or after `PROBE_WAIT_S`. A crash is recorded only if the
        target has ended.
        """
        probe = self._probes.get(entry.target)
        if probe is None:
            probe = asyncio.get_running_loop().create_task(self._probe(entry))
            self._probes[entry.target] = probe
        at = self._clock()
        crash = Crash(admitted.digest, entry.target, min(began_at, at), at)
        probe.add_done_callback(lambda done: self._on_probe_done(done, crash, admitted.service))
        await asyncio.wait((probe,), timeout=PROBE_WAIT_S)

    def note_served(self, admitted: AdmittedRequest) -> None:
        """Record that a target served a request."""
        if self._tracker.is_empty:
            return
        now = self._clock()
        if self._tracker.note_served(admitted.digest, now):
            self._pending.served.append(Served(admitted.digest, now))
            self._changed.set()

    def _status(self, admitted: AdmittedRequest) -> CrashStatus:
        if self._tracker.is_empty:
            return CrashStatus.CLEAR
        return self._tracker.status(admitted.digest, self._clock())

    async def _probe(self, entry: TargetEntry) -> bool:
        """Return whether this incarnation of a target has ended."""
        try:
            if entry.target in self._ended_targets:
                return True
            has_ended = await self._http.refuses_connections(entry.address, PROBE_TIMEOUT_S)
        finally:
            self._probes.pop(entry.target, None)
        if has_ended:
            self._crashes.add()
            self._ended_targets[entry.target] = None
            while len(self._ended_targets) > MAX_ENDED_TARGETS:
                del self._ended_targets[next(iter(self._ended_targets))]
            log.info("target_crashed", target=entry.target, address=entry.address)
        return has_ended

    def _on_probe_done(
        self, probe: "asyncio.Task[bool]", crash: Crash, service: ServiceName
    ) -> None:
        if probe.cancelled() or probe.exception() is not None or not probe.result():
            return
        self._rows.note_observed(crash.request, service)
        if self._tracker.note_crash(crash, self._clock()):
            self._pending.crashes.append(crash)
        self._changed.set()

    # ---- other entries, and the store -----------------------------------------------------

    def compose_full_update(self) -> messages.CrashUpdate | None:
        """Return the complete state for a new subscriber; None if there is nothing to report."""
        if self._tracker.is_empty:
            return None
        return CrashReport.from_ledger(self._tracker).to_message(self._clock())

    def apply_update(self, update: messages.CrashUpdate) -> None:
        """Merge the update of another entry; raise `ProtocolViolation` if it is invalid."""
        now = self._clock()
        new = merge_report(self._tracker, CrashReport.from_message(update, now), now)
        self._apply_received(new, "entry")

    def apply_store_change(self, change: CrashingRequest | QuarantineLifted) -> None:
        """Apply that the store lists a request as crashing targets, or no longer lists it."""
        match change:
            case CrashingRequest(request, _, targets, is_quarantined):
                now = self._clock()
                crashes = sequential_crashes(request, targets, ASSUMED_INTERVAL_S, now)
                quarantined = [request] if is_quarantined else []
                listed = CrashReport(crashes, [], quarantined)
                self._apply_received(merge_report(self._tracker, listed, now), "store")
            case QuarantineLifted(request):
                self._rows.note_removed(request)
                if self._tracker.lift_quarantine(request):
                    log.info("quarantine_lifted", digest=request, source="store")

    def rewrite_missing(self, listed: Set[str]) -> None:
        """Rewrite the rows of this entry that the list lacks."""
        self._rows.rewrite_missing(listed)

    def _apply_received(self, new: CrashReport, source: str) -> None:
        for request in new.quarantined:
            self._log_quarantined(request, source)
        if self._is_forwarder():
            self._pending.add(new)
        self._changed.set()

    def _log_quarantined(self, request: RequestDigest, source: str) -> None:
        crashes = self._tracker.crash_count(request)
        log.warning("request_quarantined", digest=request, crashes=crashes, source=source)

    async def _run(self) -> None:
        while True:
            await self._wait_for_update()
            await asyncio.sleep(COALESCE_S)
            self._quarantine_new()
            self._end_expired()
            self._rows.update()
            report, self._pending = self._pending, CrashReport()
            if report:
                self._broadcast(report.to_message(self._clock()))

    async def _wait_for_update(self) -> None:
        """Wait until there is something to send or to evaluate."""
        wait_s = max(0.0, self._tracker.next_check_at - self._clock())
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s if math.isfinite(wait_s) else None):
                await self._changed.wait()
        self._changed.clear()

    def _quarantine_new(self) -> None:
        for request in self._tracker.quarantine_culprits(self._clock()):
            self._log_quarantined(request, "own")
            self._pending.quarantined.append(request)

    def _end_expired(self) -> None:
        for request in self._tracker.expired_quarantines(self._clock()):
            self._tracker.lift_quarantine(request)
            log.info("quarantine_lifted", digest=request, source="time")
            if self._is_forwarder():
                self._rows.remove(request)
