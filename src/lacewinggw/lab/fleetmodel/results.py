"""What a played pattern came to, in shares and seconds."""

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass

from lacewinggw.lab.fleetmodel.callers import Story
from lacewinggw.lab.fleetmodel.profile import FleetProfile, LoadPattern

WINDOW_S = 2.0
WORST_WINDOWS = 2
USUAL_SHARE = 0.95  # of refusals, first events and gaps, within whose time they are said to come


@dataclass(frozen=True)
class PatternResult:
    """Shares from 0 to 1: of worth earned, of requests on time, late, and never served.

    `worst` is the share of worth in the worst two windows of two seconds, `first_s` the median
    time to the first event of those that were served, `refused_again` the share that came back
    after a refusal and was not served. `refusal_s` is within how long 95 of 100 refusals came.
    `rejected` is the share of offers that an engine refused because it was full. 95 of 100 first
    events came within `first_95_s`, and 95 of 100 requests had no longer gap than `gap_95_s`.
    `far` is the share of offers to another place.
    """

    earned: float
    on_time: float
    late: float
    unserved: float
    worst: float
    first_s: float
    refused_again: float
    refusal_s: float
    rejected: float
    first_95_s: float
    gap_95_s: float
    far: float


@dataclass(frozen=True)
class GroupResult:
    """Shares from 0 to 1 of the requests of one kind, or of one account."""

    requests: int
    on_time: float
    served: float
    earned: float


def compare_groups(
    profile: FleetProfile, pattern: LoadPattern, stories: Sequence[Story], began: float
) -> dict[str, GroupResult]:
    """Return the shares of each kind and each account over the part of the pattern that counts."""
    groups: dict[str, list[Story]] = {}
    for story in _counted(pattern, stories, began):
        groups.setdefault(story.kind.name, []).append(story)
        if story.account is not None:
            groups.setdefault(story.account.name, []).append(story)
    return {
        name: GroupResult(
            len(group),
            sum(story.is_on_time(profile.gap_s) for story in group) / len(group),
            sum(story.whole for story in group) / len(group),
            _earned(profile, group),
        )
        for name, group in sorted(groups.items())
    }


def _counted(pattern: LoadPattern, stories: Sequence[Story], began: float) -> list[Story]:
    counted = pattern.counted
    return [story for story in stories if counted.begin_s <= story.asked_at - began < counted.end_s]


def sum_up(
    profile: FleetProfile,
    pattern: LoadPattern,
    stories: Sequence[Story],
    rejected: float,
    began: float,
    far: float = 0.0,
) -> PatternResult:
    """Return the shares over the part of the pattern that counts."""
    kept = _counted(pattern, stories, began)
    on_time = sum(story.is_on_time(profile.gap_s) for story in kept) / len(kept)
    served = sum(story.whole for story in kept) / len(kept)
    again = sum(story.refusals > 0 and not story.whole for story in kept) / len(kept)
    return PatternResult(
        earned=_earned(profile, kept),
        on_time=on_time,
        late=served - on_time,
        unserved=1.0 - served,
        worst=_worst(profile, kept),
        first_s=statistics.median(story.first_s for story in kept if story.first_s is not None),
        refused_again=again,
        refusal_s=_refusal_s(kept),
        rejected=rejected,
        first_95_s=_usual([story.first_s for story in kept if story.first_s is not None]),
        gap_95_s=_usual([story.longest_gap_s for story in kept if story.whole]),
        far=far,
    )


def _refusal_s(stories: Sequence[Story]) -> float:
    return _usual([held_s for story in stories for held_s in story.held_s])


def _usual(values: Sequence[float]) -> float:
    """Return the value within which 95 of 100 lie."""
    ordered = sorted(values)
    return ordered[math.floor(USUAL_SHARE * (len(ordered) - 1))] if ordered else 0.0


def _earned(profile: FleetProfile, stories: Sequence[Story]) -> float:
    owed = sum(story.kind.worth * story.size for story in stories)
    return sum(_worth(profile, story) for story in stories) / owed


def _worth(profile: FleetProfile, story: Story) -> float:
    if not story.whole:
        return 0.0
    kind = story.kind
    return story.size * (kind.worth if story.is_on_time(profile.gap_s) else kind.late_worth)


def _worst(profile: FleetProfile, stories: Sequence[Story]) -> float:
    windows: dict[int, list[Story]] = {}
    for story in stories:
        windows.setdefault(math.floor(story.asked_at / WINDOW_S), []).append(story)
    shares = sorted(_earned(profile, each) for each in windows.values())
    return statistics.fmean(shares[:WORST_WINDOWS])
