"""Rate limits of targets: read from their answers, shared with other entries, and enforced."""

import asyncio
from collections.abc import Callable, Iterable, Sequence

from lacewinggw.clock import Clock
from lacewinggw.decisions.dispatch import TargetPool
from lacewinggw.decisions.routereaders import LocalEntry, PeerEntry
from lacewinggw.decisions.targetload import TargetLoad
from lacewinggw.decisions.targetrate import Allowance, LimitSource, entry_share
from lacewinggw.frontend.calls import AnswerFacts
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.ids import TargetId
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics

MS_PER_S = 1000.0
# How long updates include a limit that has ended; entries send updates twice a second.
END_ANNOUNCED_S = 5.0

log = get_logger(__name__)


class TargetRates:
    """Keeps this entry's requests to targets within its share of their rate limits.

    `listed_entries` returns the entries in the store's list, or None until it has been read.
    `is_forwarder` returns whether this entry forwards limits seen by its own place to other places.
    `on_change` is called when the other entries must be notified at once, because a limit has
    started or ended.

        asked_at = rates.read_clock()
        ...
        rates.note_answer(load, facts, asked_at)
    """

    def __init__(
        self,
        pool: TargetPool,
        local_entry: LocalEntry,
        listed_entries: Callable[[], Sequence[PeerEntry] | None],
        is_forwarder: Callable[[], bool],
        on_change: Callable[[], None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._pool = pool
        self._local_entry = local_entry
        self._listed_entries = listed_entries
        self._is_forwarder = is_forwarder
        self._on_change = on_change
        self._clock = clock
        self._changes = metrics.counter("target_limit_changes")
        metrics.read_gauge("targets_limited", lambda: len(self._limited()))

    def read_clock(self) -> float:
        """Return the time in seconds by the clock used for observations."""
        return self._clock()

    def note_answer(self, load: TargetLoad, facts: AnswerFacts, asked_at: float) -> None:
        """Apply the limit in a target's answer to a request that was sent at `asked_at`."""
        if facts.limit_per_s is None and not facts.sealed:
            return  # the answer need not come from the work that the target limits
        before = load.rate.per_s
        if load.rate.note_answer(facts.limit_per_s, asked_at, self._clock()):
            self._note_change(load, before)

    def apply_updates(self, entry: PeerEntry, updates: Iterable[messages.TargetLimit]) -> None:
        """Apply limits from another entry; those of unknown targets are skipped and sent again."""
        for limit in updates:
            load = self._pool.loads.get(TargetId(limit.target))
            if load is None:
                continue
            is_near = entry.place == self._local_entry.place and not limit.passed_on
            per_s = limit.per_s if limit.limited else None
            seen_at = self._clock() - limit.age_ms / MS_PER_S
            before = load.rate.per_s
            if load.rate.note_update(
                per_s, seen_at, LimitSource.NEAR if is_near else LimitSource.FAR
            ):
                self._note_change(load, before)

    def compose_updates(self) -> list[messages.TargetLimit]:
        """Return the limits for other entries: those in force and those that ended recently."""
        now = self._clock()
        return [
            messages.TargetLimit(
                load.entry.target,
                load.rate.per_s is not None,
                load.rate.per_s or 0.0,
                round((now - load.rate.seen_at) * MS_PER_S),
                load.rate.source is not LimitSource.ANSWER,
            )
            for load in self._pool.loads.values()
            if self._is_announced(load, now)
        ]

    def update_shares(self) -> None:
        """Recompute this entry's shares of the limits after the list of entries has changed."""
        for load in self._limited():
            self._share(load)

    def _is_announced(self, load: TargetLoad, now: float) -> bool:
        if load.rate.per_s is None and now - load.rate.seen_at > END_ANNOUNCED_S:
            return False
        match load.rate.source:
            case LimitSource.ANSWER:
                return True
            case LimitSource.NEAR:
                return self._is_forwarder()
            case LimitSource.FAR:
                return False

    def _limited(self) -> list[TargetLoad]:
        return [load for load in self._pool.loads.values() if load.rate.per_s is not None]

    def _note_change(self, load: TargetLoad, before: float | None) -> None:
        self._changes.add()
        self._share(load)
        log.info(
            "target_limit_changed",
            target=load.entry.target,
            per_s=load.rate.per_s,
            before=before,
            source=load.rate.source.value,
            share_per_s=load.allowance.share_per_s if load.allowance else None,
            begun=load.begun,
            in_flight=load.in_flight,
        )
        # A changed value waits for the next update: a target may set a new one in each answer.
        if (before is None) != (load.rate.per_s is None):
            self._on_change()

    def _share(self, load: TargetLoad) -> None:
        """Compute how many requests per second this entry may send to a target."""
        per_s, entry = load.rate.per_s, load.entry
        if per_s is None:
            load.allowance = None
            return
        now = asyncio.get_running_loop().time()
        share = entry_share(
            self._local_entry.host, entry.target, entry.place, per_s, self._listed_entries() or ()
        )
        if load.allowance is None:
            load.allowance = Allowance(share, now)
        else:
            load.allowance.set_share(share, now)
