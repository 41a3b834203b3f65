"""Detect requests and prompt parts that crash targets, report them, and quarantine them.

A connection that breaks does not prove that its target crashed. If the address refuses connections
right afterwards, it did: no process listens there any more.
"""

import asyncio
import hashlib
import math
import random
from collections.abc import Callable, Iterable, Set
from contextlib import suppress

from lacewinggw.background import Background
from lacewinggw.clock import Clock
from lacewinggw.decisions.contents import is_part
from lacewinggw.decisions.crashes import CrashStatus, CrashTracker, SurvivedRun
from lacewinggw.decisions.crashrecords import Crash
from lacewinggw.decisions.dispatch import Suspicion
from lacewinggw.decisions.servedparts import ServedParts
from lacewinggw.decisions.targetlist import TargetEntry
from lacewinggw.errors import RequestQuarantined
from lacewinggw.fleet.feed import CrashingContent, QuarantineLifted
from lacewinggw.fleet.ownrows import OwnRows
from lacewinggw.frontend.admission import AdmittedRequest
from lacewinggw.frontend.crashrows import CrashRows
from lacewinggw.frontend.crashupdates import CrashReport, Served, merge_report, sequential_crashes
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.ids import ContentId, ServiceName, SuspectGroup, TargetId
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics
from lacewinggw.wire.http import HttpClient

MS_PER_S = 1000.0
PROBE_TIMEOUT_S = 0.25  # connecting takes a few ms; an unreachable host does not answer at all
# How long a broken request waits for the probe before it is retried or fails. A refused connection
# takes a few ms.
PROBE_WAIT_S = 0.05
# The kernel ends the connections of a killed process some moments before its listening socket.
EXIT_S = 0.02
# Crashes within this time are reported in one update. When a host or many targets fail at once,
# each entry has several crashes to report and forwards those of others.
COALESCE_S = 0.05
ASSUMED_INTERVAL_S = 0.1  # between listed crashes, whose times are not stored
MAX_ENDED_TARGETS = 256  # remembered, so that each is probed once for all its broken connections
# How long a target must run on after the end of a run to have survived it: one that crashes on a
# request may send all of a short answer first.
SURVIVAL_CONFIRMATION_S = 0.2
GROUP_BYTES = 12
MIN_WAIT_S = 0.001  # resolution of the event loop's timers
MAX_SETTLING_WAIT_S = 1.0  # of a suspected request, while further crashes under it are reported

log = get_logger(__name__)


class CrashMonitor:
    """Quarantines requests and prompt parts that crash targets.

    `broadcast` sends updates to the subscribed entries. Received updates are forwarded if
    `is_forwarder` returns true, which it does for those entries of a place to which all other
    places subscribe.

        monitor.require_not_quarantined(admitted)  # raises `RequestQuarantined`
        await monitor.note_connection_lost(admitted, entry, began_at)
        monitor.note_survived(admitted, entry, lasted_s, is_whole=True)
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
        self._served_parts = ServedParts()
        self._rows = CrashRows(rows, self._tracker, rng)
        self._pending = CrashReport()
        self._probes: dict[TargetId, asyncio.Task[bool]] = {}
        self._ended_targets: dict[TargetId, None] = {}
        self._changed = asyncio.Event()
        self._evaluated = asyncio.Event()  # replaced each time
        self._crashes = metrics.counter("target_crashes")
        metrics.read_gauge("requests_quarantined", lambda: self._count_quarantined(False))
        metrics.read_gauge("prompt_parts_quarantined", lambda: self._count_quarantined(True))
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
        """Raise `RequestQuarantined` if the request or a part of its prompt is quarantined."""
        for content in self._with_status(admitted, CrashStatus.QUARANTINED):
            left_s = self._tracker.quarantine_left(content, self._clock())
            what = f"requests with {content}" if is_part(content) else "this request"
            raise RequestQuarantined(
                f"targets of {admitted.service} crashed while running {what}",
                retry_after_ms=round(left_s * MS_PER_S),
            )

    def is_quarantined(self, admitted: AdmittedRequest) -> bool:
        """Return whether a request or a part of its prompt is quarantined."""
        return bool(self._with_status(admitted, CrashStatus.QUARANTINED))

    def suspicion_of(self, admitted: AdmittedRequest) -> Suspicion | None:
        """Return which group of suspects a request belongs to; None if it is not suspected."""
        suspects = self._with_status(admitted, CrashStatus.SUSPECT)
        if not suspects:
            return None
        parts = sorted(each for each in suspects if is_part(each))
        group = hashlib.blake2b(",".join(parts or suspects).encode(), digest_size=GROUP_BYTES)
        return Suspicion(SuspectGroup(group.hexdigest()), frozenset(self._ended_targets))

    async def wait_until_settled(self, admitted: AdmittedRequest) -> None:
        """Wait until all entries have reported the recent crashes under a suspected request.

        It may be quarantined then, or known to have been served, and would crash another target
        in the meantime.
        """
        until = self._clock() + MAX_SETTLING_WAIT_S
        while suspects := self._with_status(admitted, CrashStatus.SUSPECT):
            now = self._clock()
            settled_at = max(self._tracker.settled_at(each) for each in suspects) + COALESCE_S
            wait_s = min(settled_at, until) - now
            if wait_s < MIN_WAIT_S:
                return
            with suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._evaluated.wait()

    async def note_connection_lost(
        self, admitted: AdmittedRequest, entry: TargetEntry, began_at: float
    ) -> None:
        """Probe the target of a request that was sent at `began_at` and whose connection broke.

        Return once the probe has finished, or after `PROBE_WAIT_S`. A crash is recorded only if the
        target has ended.
        """
        probe = self._start_probe(entry)
        at = self._clock()
        crash = Crash(admitted.digest, entry.target, min(began_at, at), at, admitted.parts)
        probe.add_done_callback(lambda done: self._on_probe_done(done, crash, admitted.service))
        await asyncio.wait((probe,), timeout=PROBE_WAIT_S)

    async def has_ended(self, entry: TargetEntry) -> bool:
        """Return whether this incarnation of a target has ended; takes two connection attempts."""
        if await asyncio.shield(self._start_probe(entry)):
            return True
        await asyncio.sleep(EXIT_S)
        return await asyncio.shield(self._start_probe(entry))

    def note_survived(
        self, admitted: AdmittedRequest, entry: TargetEntry, lasted_s: float, is_whole: bool
    ) -> None:
        """Record that a run of a request ended before its target, once that has run on for a while.

        The run lasted `lasted_s` from its sending on; `is_whole` if it was a complete answer.
        """
        if self._tracker.is_empty and not admitted.parts:
            return
        run = SurvivedRun(lasted_s, self._clock(), is_whole)
        asyncio.get_running_loop().call_later(
            SURVIVAL_CONFIRMATION_S, self._confirm_survived, admitted, entry.target, run
        )

    def note_running(self, admitted: AdmittedRequest, lasted_s: float) -> None:
        """Record that a run has gone on for `lasted_s`; its target may crash under it later."""
        if self._tracker.is_empty:
            return
        run = SurvivedRun(lasted_s, self._clock(), is_whole=False)
        for content in admitted.contents:
            self._note_evidence(content, run)

    def _confirm_survived(
        self, admitted: AdmittedRequest, target: TargetId, run: SurvivedRun
    ) -> None:
        if target in self._ended_targets:
            return
        self._served_parts.note(admitted.parts, run)
        if self._tracker.is_empty:
            return
        self._tracker.note_service(admitted.contents, run.at)
        for content in admitted.contents:
            self._note_evidence(content, run)

    def _note_evidence(self, content: ContentId, run: SurvivedRun) -> None:
        """Record that a target survived a content; tell other entries if this clears it."""
        if not self._tracker.note_survived(content, run):
            return
        log.info(
            "crash_suspicion_cleared",
            ran_s=round(run.lasted_s, 1),
            is_whole=run.is_whole,
            **_log_fields(content),
        )
        self._pending.served.append(Served(content, run.at))
        self._changed.set()

    def _with_status(self, admitted: AdmittedRequest, status: CrashStatus) -> list[ContentId]:
        """Return the contents of a request that have a status."""
        if self._tracker.is_empty:
            return []
        now = self._clock()
        return [each for each in admitted.contents if self._tracker.status(each, now) is status]

    def _count_quarantined(self, parts: bool) -> int:
        return sum(is_part(content) is parts for content in self._tracker.quarantined)

    def _start_probe(self, entry: TargetEntry) -> "asyncio.Task[bool]":
        """Return the probe of a target, which all its broken connections share."""
        probe = self._probes.get(entry.target)
        if probe is None:
            probe = asyncio.get_running_loop().create_task(self._probe(entry))
            self._probes[entry.target] = probe
        return probe

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
            self._note_ended(entry.target)
            log.info("target_crashed", target=entry.target, address=entry.address)
        return has_ended

    def _note_ended(self, target: TargetId) -> None:
        self._ended_targets[target] = None
        while len(self._ended_targets) > MAX_ENDED_TARGETS:
            del self._ended_targets[next(iter(self._ended_targets))]

    def _on_probe_done(
        self, probe: "asyncio.Task[bool]", crash: Crash, service: ServiceName
    ) -> None:
        if probe.cancelled() or probe.exception() is not None or not probe.result():
            return
        for content in crash.contents:
            self._rows.note_observed(content, service)
        if self._tracker.note_crash(crash, self._clock()):
            self._pending.crashes.append(crash)
            self._add_served_before([crash])
        self._changed.set()

    def _add_served_before(self, crashes: Iterable[Crash]) -> None:
        """Add the runs of parts of crashed requests that this entry saw targets survive."""
        for part in dict.fromkeys(part for crash in crashes for part in crash.parts):
            run = self._served_parts.last_run(part)
            if run is not None:
                self._note_evidence(part, run)

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
        for crash in new.crashes:
            self._note_ended(crash.target)
        self._apply_received(new, "entry")
        self._add_served_before(new.crashes)

    def apply_store_change(self, change: CrashingContent | QuarantineLifted) -> None:
        """Apply that the store lists a content as crashing targets, or no longer lists it."""
        match change:
            case CrashingContent(content, _, targets, is_quarantined):
                now = self._clock()
                crashes = sequential_crashes(content, targets, ASSUMED_INTERVAL_S, now)
                quarantined = [content] if is_quarantined else []
                listed = CrashReport(crashes, [], quarantined)
                self._apply_received(merge_report(self._tracker, listed, now), "store")
            case QuarantineLifted(content):
                self._rows.note_removed(content)
                if self._tracker.lift_quarantine(content):
                    log.info("quarantine_lifted", source="store", **_log_fields(content))

    def rewrite_missing(self, listed: Set[str]) -> None:
        """Rewrite the rows of this entry that the list lacks."""
        self._rows.rewrite_missing(listed)

    def _apply_received(self, new: CrashReport, source: str) -> None:
        for content in new.quarantined:
            self._log_quarantined(content, source)
        if self._is_forwarder():
            self._pending.add(new)
        self._changed.set()

    def _log_quarantined(self, content: ContentId, source: str) -> None:
        log.warning(
            "part_quarantined" if is_part(content) else "request_quarantined",
            crashes=self._tracker.crash_count(content),
            targets=self._tracker.independent_targets(content),
            source=source,
            **_log_fields(content),
        )

    async def _run(self) -> None:
        while True:
            await self._wait_for_update()
            await asyncio.sleep(COALESCE_S)
            self._quarantine_new()
            self._end_expired()
            self._rows.update()
            evaluated, self._evaluated = self._evaluated, asyncio.Event()
            evaluated.set()
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
        for content in self._tracker.quarantine_culprits(self._clock()):
            self._log_quarantined(content, "own")
            self._pending.quarantined.append(content)

    def _end_expired(self) -> None:
        for content in self._tracker.expired_quarantines(self._clock()):
            self._tracker.lift_quarantine(content)
            log.info("quarantine_lifted", source="time", **_log_fields(content))
            if self._is_forwarder():
                self._rows.remove(content)


def _log_fields(content: ContentId) -> dict[str, ContentId]:
    """Return the field that names a content in log lines."""
    return {"part" if is_part(content) else "digest": content}
