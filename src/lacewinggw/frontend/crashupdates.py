"""What entries tell each other of crashes: times travel as spans, so no clocks are compared."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from lacewinggw.decisions.crashes import Crash, CrashTracker
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.ids import RequestDigest, TargetId
from lacewinggw.wire.soundness import require_sound

MS_PER_S = 1000.0


@dataclass(frozen=True)
class Served:
    """A request that was suspected was served, at a moment by the clock of the ledger."""

    request: RequestDigest
    at: float


@dataclass
class CrashReport:
    """Crashes, requests that were served since, and requests that are kept away from targets."""

    crashes: list[Crash] = field(default_factory=list)
    served: list[Served] = field(default_factory=list)
    quarantined: list[RequestDigest] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.crashes or self.served or self.quarantined)

    @classmethod
    def from_ledger(cls, ledger: CrashTracker) -> "CrashReport":
        """Return all that a ledger knows."""
        served = [Served(request, at) for request, at in ledger.served()]
        return cls(list(ledger.crashes()), served, list(ledger.quarantined))

    @classmethod
    def from_message(cls, update: messages.CrashUpdate, now: float) -> "CrashReport":
        """Return what another entry told; raise `ProtocolViolation` when it is not sound."""
        require_sound(update)
        return cls(
            [_decode_crash(message, now) for message in update.crashes],
            [
                Served(RequestDigest(message.request_digest), now - message.age_ms / MS_PER_S)
                for message in update.served
            ],
            [RequestDigest(digest) for digest in update.quarantined],
        )

    def to_message(self, now: float) -> messages.CrashUpdate:
        """Return the report as it is told."""
        return messages.CrashUpdate(
            crashes=[_encode_crash(crash, now) for crash in self.crashes],
            served=[
                messages.ServedRequest(served.request, _to_ms(now - served.at))
                for served in self.served
            ],
            quarantined=list(self.quarantined),
        )

    def add(self, other: "CrashReport") -> None:
        """Add what another report says."""
        self.crashes += other.crashes
        self.served += other.served
        self.quarantined += other.quarantined


def merge_report(ledger: CrashTracker, report: CrashReport, now: float) -> CrashReport:
    """Take a report into a ledger; return what of it was new."""
    served = [each for each in report.served if ledger.note_served(each.request, each.at)]
    crashes = [crash for crash in report.crashes if ledger.note_crash(crash, now)]
    quarantined = [each for each in report.quarantined if ledger.quarantine(each, now)]
    return CrashReport(crashes, served, quarantined)


def sequential_crashes(
    request: RequestDigest, targets: Iterable[TargetId], step_s: float, now: float
) -> list[Crash]:
    """Return crashes of which only the order is known, `step_s` apart and just before now."""
    known = list(targets)
    ends = [now - (len(known) - number) * step_s for number in range(len(known))]
    return [
        Crash(request, target, at - step_s / 2, at) for target, at in zip(known, ends, strict=True)
    ]


def _encode_crash(crash: Crash, now: float) -> messages.TargetCrash:
    ran_ms, age_ms = _to_ms(crash.at - crash.began_at), _to_ms(now - crash.at)
    return messages.TargetCrash(crash.request, crash.target, ran_ms, age_ms)


def _decode_crash(message: messages.TargetCrash, now: float) -> Crash:
    at = now - message.age_ms / MS_PER_S
    began_at = at - message.ran_ms / MS_PER_S
    return Crash(RequestDigest(message.request_digest), TargetId(message.target), began_at, at)


def _to_ms(seconds: float) -> int:
    return max(0, round(seconds * MS_PER_S))
