"""Rate limits of targets: taken from their answers, told to other entries, and kept."""

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
# The end of a limit is told so long: entries send updates twice a second.
END_ANNOUNCED_S = 5.0

log = get_logger(__name__)


class TargetRates:
    """Keeps what this entry sends to targets within its share of their rate limits.

    `listed` gives the entries on the store's list, None while it is not here. `passes_on` says
    whether this entry tells other places what those of its own have seen, and `on_change` is called
    when the others are to be told at once: a limit is there, or over.

        asked_at = rates.read_clock()
        ...
        rates.note_answer(load, facts, asked_at)
    """

    def __init__(
        self,
        pool: TargetPool,
        me: LocalEntry,
        listed_entries: Callable[[], Sequence[PeerEntry] | None],
        is_forwarder: Callable[[], bool],
        on_change: Callable[[], None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._pool = pool
        self._me = me
        self._listed_entries = listed_entries
        self._is_forwarder = is_forwarder
        self._on_change = on_change
        self._clock = clock
        self._changes = metrics.counter("target_limit_changes")
        metrics.read_gauge("targets_limited", lambda: len(self._limited()))

    def read_clock(self) -> float:
        """Return the time by the clock that observations count on, in seconds."""
        return self._clock()

    def note_answer(self, load: TargetLoad, facts: AnswerFacts, asked_at: float) -> None:
        """Take what a target's answer to a request sent at `asked_at` says of its limit."""
        if facts.limit_per_s is None and not facts.sealed:
            return  # it need not come from the work that the target limits
        before = load.rate.per_s
        if load.rate.note_answer(facts.limit_per_s, asked_at, self._clock()):
            self._note_change(load, before)

    def apply_updates(self, entry: PeerEntry, updates: Iterable[messages.TargetLimit]) -> None:
        """Take what another entry tells; what is said of an unknown target comes again."""
        for limit in updates:
            load = self._pool.loads.get(TargetId(limit.target))
            if load is None:
                continue
            near = entry.place == self._me.place and not limit.passed_on
            per_s = limit.per_s if limit.limited else None
            seen_at = self._clock() - limit.age_ms / MS_PER_S
            before = load.rate.per_s
            if load.rate.note_update(per_s, seen_at, LimitSource.NEAR if near else LimitSource.FAR):
                self._note_change(load, before)

    def compose_updates(self) -> list[messages.TargetLimit]:
        """Return what this entry tells others: limits in force, and those that ended lately."""
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
        """Share the limits anew: the list of entries has changed."""
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
        # Another number is told with the next update: a target may name a new one in each answer.
        if (before is None) != (load.rate.per_s is None):
            self._on_change()

    def _share(self, load: TargetLoad) -> None:
        """Work out what this entry may send to a target."""
        per_s, entry = load.rate.per_s, load.entry
        if per_s is None:
            load.allowance = None
            return
        now = asyncio.get_running_loop().time()
        share = entry_share(
            self._me.host, entry.target, entry.place, per_s, self._listed_entries() or ()
        )
        if load.allowance is None:
            load.allowance = Allowance(share, now)
        else:
            load.allowance.set_share(share, now)
