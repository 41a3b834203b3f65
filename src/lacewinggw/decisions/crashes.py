"""Detection of the requests and prompt parts that crash targets, from what ran on each of them.

The failure it guards against: each target that begins a certain request, or any request with a
certain part in its prompt, crashes. Callers send such requests at any entry, under new ids. What
runs beside them is broken off, moves to another target and is broken off again when that one
crashes, until hardly any target is left.

Entries send each other the requests that were running on crashed targets, with the parts of their
prompts. From the same reports each entry computes which content was on more crashed targets than
any other that shares a target with it. Other contents share a target with it only now and then, and
are cleared as soon as a target serves them. Of contents on the same targets, the most specific one
is the culprit: a part that all prompts have is on every crash as well. Crashes that a quarantined
content explains do not count against others.
"""

import math
from collections import Counter, deque
from collections.abc import Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum

from lacewinggw.decisions.contents import is_part, scope_of
from lacewinggw.decisions.crashrecords import MAX_CONTENTS, ContentCrash, Crash, CrashRecords
from lacewinggw.ids import ContentId, TargetId

# Crashes after which a content is quarantined. Two may be chance: a request that ran next to the
# culprit is retried at the same time as the culprit, and few targets are free.
QUARANTINE_CRASHES = 3
# From this count on a content never shares a target with another suspect, so that the next crash
# identifies the culprit.
SUSPECT_CRASHES = 2
# Contents that have been on exactly the same crashed targets this often are all quarantined:
# by then further crashes cost more than quarantining an innocent one.
TIED_CRASHES = 5
# Share of the crashes under a content that a more specific one must have been on to be the culprit.
SPECIFIC_SHARE = 0.6
# A part with more requests than this on each crashed target is in widespread use, like one that
# targets have served: its quarantine would refuse many requests.
WIDESPREAD_REQUESTS = 2.0
# Time until the reports of all entries on a crash have arrived: two hops of 0.1 s, and the time in
# which each entry collects crashes into one report. A decision on part of the reports may
# quarantine a request that merely shared the targets.
SETTLE_S = 0.5
# Crashes of targets within this time may come from one failure, of a host or a place.
SAME_FAILURE_S = 0.5
# A content crashes targets until their operators have changed them, which takes some hours at most.
QUARANTINE_S = 3600.0
MAX_SERVICES = 64  # recently served requests that are remembered


class CrashStatus(Enum):
    """Whether a content is suspected of crashing targets."""

    CLEAR = "clear"
    SUSPECT = "suspect"  # never shares a target with another suspect
    QUARANTINED = "quarantined"  # crashes targets, and is sent to none


@dataclass(frozen=True)
class SurvivedRun:
    """A run of a request that a target survived, in seconds from its sending on, as for crashes.

    `is_whole` if its answer is complete; otherwise its caller left, or it continued the answer of
    another run, or it is still going on.
    """

    lasted_s: float
    at: float
    is_whole: bool


@dataclass(frozen=True)
class _Service:
    """A request that a target served, by its contents."""

    contents: frozenset[ContentId]
    at: float


@dataclass
class CrashTracker:
    """Records crashes and decides which contents to quarantine; times in seconds by one clock.

    if tracker.note_crash(Crash(request, target, sent_at, now), now): ...  # new: send it to peers
    for content in tracker.quarantine_culprits(now): ...  # newly quarantined
    if tracker.status(content, now) is CrashStatus.QUARANTINED: ...
    if tracker.note_survived(content, run): ...  # cleared of crashes: send it to peers
    """

    records: CrashRecords = field(default_factory=CrashRecords)
    _check_at: float = math.inf  # when `quarantine_culprits` may find something new
    _quarantined: dict[ContentId, float] = field(default_factory=dict)
    _survivals: Counter[ContentId] = field(default_factory=Counter)  # since they were cleared
    _services: "deque[_Service]" = field(default_factory=lambda: deque(maxlen=MAX_SERVICES))

    @property
    def is_empty(self) -> bool:
        """Whether no crash is recorded and no content is quarantined."""
        return self.records.is_empty and not self._quarantined

    @property
    def next_check_at(self) -> float:
        """When to call `quarantine_culprits` and `expired_quarantines` next; infinite for never."""
        return min(self._check_at, min(self._quarantined.values(), default=math.inf))

    @property
    def quarantined(self) -> Sequence[ContentId]:
        """The quarantined contents, those whose quarantine has expired included."""
        return list(self._quarantined)

    def crash_count(self, content: ContentId) -> int:
        """Return on how many targets a content was when they crashed, whichever content did it."""
        return len(self.records.crashes_of(content))

    def independent_targets(self, content: ContentId) -> list[TargetId]:
        """Return the targets that crashed under a content, without those of the same failure.

        A target that crashed under a quarantined content counts only for that content.
        """
        known = self.records.crashes_of(content)
        counted = known if content in self._quarantined else self._unexplained(content)
        return [crash.target for crash in _independent(known[each] for each in counted)]

    def note_crash(self, crash: Crash, now: float) -> bool:
        """Record a crash; return whether it is new and counts."""
        if not self.records.note_crash(crash, now):
            return False
        self._check_at = min(self._check_at, now + SETTLE_S)
        if len(self._survivals) > MAX_CONTENTS:
            kept = [each for each in self._survivals if self.records.crashes_of(each)]
            self._survivals = Counter({each: self._survivals[each] for each in kept})
        return True

    def note_survived(self, content: ContentId, run: SurvivedRun) -> bool:
        """Record that a target survived a content; return whether this clears it of its crashes.

        A target may crash at any time of a run, so a run proves nothing if it was shorter than
        those that targets crashed under. One that did not reach its end counts against one crash.
        """
        known = self.records.crashes_of(content)
        if not known or run.lasted_s < self.records.run_before_crash_s(content):
            return False
        self._survivals[content] += 1
        if not run.is_whole and self._survivals[content] < len(known):
            return False
        return self.note_served(content, run.at)

    def note_served(self, content: ContentId, at: float) -> bool:
        """Record that a content was cleared; return whether this adds to what is known."""
        self._survivals.pop(content, None)
        return content not in self._quarantined and self.records.note_served(content, at)

    def note_service(self, contents: Iterable[ContentId], at: float) -> None:
        """Record that a target served a request with these contents, and so without others."""
        self._services.append(_Service(frozenset(contents), at))

    def quarantine(self, content: ContentId, now: float) -> bool:
        """Quarantine a content; return False if it already is."""
        if content in self._quarantined:
            return False
        self._quarantined[content] = now + QUARANTINE_S
        return True

    def lift_quarantine(self, content: ContentId) -> bool:
        """End the quarantine of a content and drop its crashes; return whether it had one.

        The quarantine explained the crashes, so they do not count against others later either.
        """
        if self._quarantined.pop(content, None) is None:
            self.records.forget(content)
            return False
        for target in list(self.records.crashes_of(content)):
            self.records.forget_target(target)
        return True

    def expired_quarantines(self, now: float) -> list[ContentId]:
        """Return the contents whose quarantine has expired."""
        return [content for content, until in self._quarantined.items() if until <= now]

    def quarantine_left(self, content: ContentId, now: float) -> float:
        """Return the remaining time of a content's quarantine, in seconds; 0 without one."""
        return max(0.0, self._quarantined.get(content, now) - now)

    def status(self, content: ContentId, now: float) -> CrashStatus:
        """Return whether a content is clear, suspected or quarantined."""
        if self.quarantine_left(content, now) > 0:
            return CrashStatus.QUARANTINED
        if self.is_suspect(content, len(self._unexplained(content))):
            return CrashStatus.SUSPECT
        return CrashStatus.CLEAR

    def is_suspect(self, content: ContentId, crashes: int) -> bool:
        """Return whether a content with so many crashes is suspected, unless targets served it."""
        if is_part(content) and self.records.was_served(content):
            return False
        return crashes >= SUSPECT_CRASHES

    def settled_at(self, content: ContentId) -> float:
        """Return when all reports on the last crash under a content have arrived."""
        crashes = self.records.crashes_of(content).values()
        return max((crash.received_at for crash in crashes), default=-math.inf) + SETTLE_S

    def quarantine_culprits(self, now: float) -> list[ContentId]:
        """Detect contents that crash targets, quarantine them, and return them."""
        found: list[ContentId] = []
        if now < self._check_at:
            return found
        while culprits := self._find_culprits(now):
            for content in culprits:
                self.quarantine(content, now)
            found += culprits
        self._check_at = min(self._settling_times(now), default=math.inf)
        return found

    def _settling_times(self, now: float) -> Iterator[float]:
        """Yield when the reports on each recent crash will be complete."""
        for content in self.records.contents:
            for crash in self.records.crashes_of(content).values():
                if crash.received_at + SETTLE_S > now:
                    yield crash.received_at + SETTLE_S

    def _find_culprits(self, now: float) -> list[ContentId]:
        """Return the content that explains the most crashes, if no other explains them as well.

        Return all tied contents from `TIED_CRASHES` on, and an empty list for an undecided tie.
        """
        candidates = {
            content: targets
            for content in self.records.contents
            if content not in self._quarantined and (targets := self._unexplained(content))
        }
        due = [content for content in candidates if self._is_due(content, candidates[content], now)]
        due.sort(key=lambda content: len(candidates[content]), reverse=True)
        for content in due:
            targets = candidates[content]
            rivals = [
                other
                for other, others in candidates.items()
                if other != content
                and others & targets
                and self._is_rival(other, content, candidates)
            ]
            if not rivals:
                return [content]
            if len(targets) >= TIED_CRASHES and self._are_inseparable(content, rivals, candidates):
                return [content, *(rival for rival in rivals if rival in due)]
        return []

    def _are_inseparable(
        self,
        content: ContentId,
        rivals: Iterable[ContentId],
        candidates: dict[ContentId, set[TargetId]],
    ) -> bool:
        """Return whether to quarantine rivals together, as further crashes may not part them.

        The quarantine of a part may refuse many requests, so only parts that always come together
        are. The others are parted once a target serves one of them.
        """
        if not is_part(content):
            return not any(is_part(rival) for rival in rivals)
        targets = candidates[content]
        return not self._is_in_use(content) and all(
            self._covers(content, rival, targets & candidates[rival])
            and self._covers(rival, content, targets & candidates[rival])
            for rival in rivals
        )

    def _is_due(self, content: ContentId, targets: Collection[TargetId], now: float) -> bool:
        """Return whether enough targets crashed under a content, with all reports on them in.

        A part in use has to be on more crashes, while requests without it are served.
        """
        known = self.records.crashes_of(content)
        settled = [known[each] for each in targets if known[each].received_at + SETTLE_S <= now]
        crashes = len(_independent(settled))
        if not self._is_in_use(content):
            return crashes >= QUARANTINE_CRASHES
        return crashes >= TIED_CRASHES and self._are_others_served(content)

    def _is_rival(
        self,
        other: ContentId,
        content: ContentId,
        candidates: dict[ContentId, set[TargetId]],
    ) -> bool:
        """Return whether `other` may have caused the crashes under `content` instead.

        A more specific content is a rival from `QUARANTINE_CRASHES` on if it was on most of the
        crashes, and a more general one never is.
        """
        targets, others = candidates[content], candidates[other]
        shared = targets & others
        if self._is_more_general(other, content, shared):
            return False
        if self._is_more_general(content, other, shared):
            return len(others) >= max(QUARANTINE_CRASHES, SPECIFIC_SHARE * len(targets))
        if self._is_in_use(other) and not self._is_in_use(content):
            return False
        return len(others) >= len(targets)

    def _is_more_general(
        self, other: ContentId, content: ContentId, targets: Iterable[TargetId]
    ) -> bool:
        """Return whether `other` was in all requests with `content` on these targets and in more.

        A part is more general than the only request that it was in.
        """
        if not self._covers(other, content, targets):
            return False
        if is_part(other) is not is_part(content):
            return is_part(other)
        return not self._covers(content, other, targets)

    def _covers(self, general: ContentId, content: ContentId, targets: Iterable[TargetId]) -> bool:
        """Return whether all requests with `content` on these targets had `general` as well."""
        wide, narrow = self.records.crashes_of(general), self.records.crashes_of(content)
        return all(narrow[each].requests.keys() <= wide[each].requests.keys() for each in targets)

    def _is_in_use(self, content: ContentId) -> bool:
        """Return whether a content is a part that was served, or that many requests have."""
        if not is_part(content):
            return False
        known = self.records.crashes_of(content).values()
        requests = sum(len(crash.requests) for crash in known)
        return self.records.was_served(content) or requests > WIDESPREAD_REQUESTS * len(known)

    def _are_others_served(self, part: ContentId) -> bool:
        """Return whether requests for the same model without a part were served since its crash."""
        since = min(crash.at for crash in self.records.crashes_of(part).values())
        scope = scope_of(part)
        return any(
            service.at > since
            and part not in service.contents
            and any(each.startswith(scope) for each in service.contents)
            for service in self._services
        )

    def _unexplained(self, content: ContentId) -> set[TargetId]:
        """Return the targets that crashed under a content and not under a quarantined one.

        If there is one, crashes under quarantined requests with the content count as well: one
        request with a crashing part may be quarantined before the part is.
        """
        known = self.records.crashes_of(content)
        culprits = {target: self._culprits_on(target, content) for target in known}
        if all(culprits.values()):
            return set()
        return {
            target
            for target, others in culprits.items()
            if all(
                not is_part(other) and self._covers(content, other, (target,)) for other in others
            )
        }

    def _culprits_on(self, target: TargetId, content: ContentId) -> list[ContentId]:
        """Return the quarantined contents other than `content` that were on a crashed target."""
        return [
            other
            for other in self._quarantined
            if other != content and target in self.records.crashes_of(other)
        ]


def _independent(crashes: Iterable[ContentCrash]) -> list[ContentCrash]:
    """Return the crashes that do not come from the same failure as the previous one.

    Targets that crash together because their host or place fails count once: a frequently repeated
    lookup may be running on all of them. A request that crashes its target after a while may run
    on several at a time, which then crash one after the other.
    """
    found: list[ContentCrash] = []
    for crash in sorted(crashes, key=lambda each: each.at):
        if not found or crash.began_at >= found[-1].at or crash.at >= found[-1].at + SAME_FAILURE_S:
            found.append(crash)
    return found
