"""Crash reports that entries exchange; times are sent as ages, so no clocks are compared."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from lacewinggw.decisions.crashes import CrashTracker
from lacewinggw.decisions.crashrecords import Crash
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.ids import ContentId, TargetId
from lacewinggw.wire.validation import require_valid

MS_PER_S = 1000.0


@dataclass(frozen=True)
class Served:
    """A suspected content that was served; `at` is by the clock of the tracker."""

    content: ContentId
    at: float


@dataclass
class CrashReport:
    """Crashes, suspected contents that were served, and quarantined contents."""

    crashes: list[Crash] = field(default_factory=list)
    served: list[Served] = field(default_factory=list)
    quarantined: list[ContentId] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.crashes or self.served or self.quarantined)

    @classmethod
    def from_ledger(cls, tracker: CrashTracker) -> "CrashReport":
        """Return the complete contents of a tracker."""
        served = [Served(content, at) for content, at in tracker.records.served()]
        return cls(list(tracker.records.reports()), served, list(tracker.quarantined))

    @classmethod
    def from_message(cls, update: messages.CrashUpdate, now: float) -> "CrashReport":
        """Return the report in another entry's message; raise `ProtocolViolation` if invalid."""
        require_valid(update)
        return cls(
            [_decode_crash(message, now) for message in update.crashes],
            [
                Served(ContentId(message.request_digest), now - message.age_ms / MS_PER_S)
                for message in update.served
            ],
            [ContentId(content) for content in update.quarantined],
        )

    def to_message(self, now: float) -> messages.CrashUpdate:
        """Return the report as a message."""
        return messages.CrashUpdate(
            crashes=[_encode_crash(crash, now) for crash in self.crashes],
            served=[
                messages.ServedRequest(served.content, _to_ms(now - served.at))
                for served in self.served
            ],
            quarantined=list(self.quarantined),
        )

    def add(self, other: "CrashReport") -> None:
        """Append the contents of another report."""
        self.crashes += other.crashes
        self.served += other.served
        self.quarantined += other.quarantined


def merge_report(tracker: CrashTracker, report: CrashReport, now: float) -> CrashReport:
    """Merge a report into a tracker; return the part that was new.

    That a content was served is only kept for those with crashes, so crashes are merged first.
    """
    crashes = [crash for crash in report.crashes if tracker.note_crash(crash, now)]
    served = [each for each in report.served if tracker.note_served(each.content, each.at)]
    quarantined = [each for each in report.quarantined if tracker.quarantine(each, now)]
    return CrashReport(crashes, served, quarantined)


def sequential_crashes(
    content: ContentId, targets: Iterable[TargetId], step_s: float, now: float
) -> list[Crash]:
    """Return crashes with known order but unknown times, placed `step_s` apart just before now."""
    known = list(targets)
    ends = [now - (len(known) - number) * step_s for number in range(len(known))]
    return [
        Crash(content, target, at - step_s / 2, at) for target, at in zip(known, ends, strict=True)
    ]


def _encode_crash(crash: Crash, now: float) -> messages.TargetCrash:
    ran_ms, age_ms = _to_ms(crash.at - crash.began_at), _to_ms(now - crash.at)
    return messages.TargetCrash(crash.request, crash.target, ran_ms, age_ms, list(crash.parts))


def _decode_crash(message: messages.TargetCrash, now: float) -> Crash:
    at = now - message.age_ms / MS_PER_S
    began_at = at - message.ran_ms / MS_PER_S
    return Crash(
        ContentId(message.request_digest),
        TargetId(message.target),
        began_at,
        at,
        tuple(ContentId(part) for part in message.parts),
    )


def _to_ms(seconds: float) -> int:
    return max(0, round(seconds * MS_PER_S))
