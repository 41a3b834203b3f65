"""Check with other entries whether this entry's routes are still current.

An entry that knows of a newer version asks what that version changes, if it does not arrive soon.

A few entries read the store often. The others ask them, which causes no load on the store and lets
an entry keep serving while the store rejects its calls. Ages in a reply count from the sending of
the question, so no clocks are compared, and a delayed reply yields a higher age, never a lower one.
"""

import asyncio
from collections.abc import Callable, Iterable

from lacewinggw.background import Background
from lacewinggw.clock import Clock
from lacewinggw.decisions.routereaders import (
    CONFIRMED_MAX_AGE_S,
    LocalEntry,
    PeerEntry,
    choose_peers_to_query,
    is_route_reader,
)
from lacewinggw.decisions.routingview import RoutingView
from lacewinggw.decisions.targetlist import DueVersion
from lacewinggw.errors import LacewingError
from lacewinggw.frontend.entryupdates import apply_difference, apply_evacuated
from lacewinggw.frontend.evacuations import EvacuationMonitor, EvacuationSource
from lacewinggw.frontend.leavingtargets import LeavingSource, LeavingTargets
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.ids import HostId, ModelName, TargetId
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics
from lacewinggw.wire.peers import PeerNode
from lacewinggw.wire.validation import require_valid

# Most versions arrive within this time after they are announced, and need no question.
DIFFERENCE_DELAY_S = 0.25
DIFFERENCE_LEAD_S = 0.3  # before the cached routes may handle no changed request any more
DIFFERENCE_HOLDERS = 2  # asked at a time
CHECK_INTERVAL_S = 0.8  # the age of the routes stays within the reader's poll time plus this
ANSWER_TIMEOUT_S = 0.5  # answers between regions take some ms, or some 100 ms over a full link
MS_PER_S = 1000.0

log = get_logger(__name__)

OnAnswer = Callable[[PeerEntry, messages.EntryUpdate], None]


def apply_answer(view: RoutingView, update: messages.EntryUpdate, sent_at: float) -> None:
    """Apply another entry's answer to a question that was sent at `sent_at`.

    An entry that has just started may overestimate the age of the versions that it finds. Such a
    guess is accepted only by an entry that has no routes yet either: entries that were running when
    the version appeared know its age better.

    Raise `ProtocolViolation` if the answer is invalid.
    """
    require_valid(update)
    for target in update.leaving:
        view.mark_leaving(TargetId(target))
    apply_evacuated(view, update, sent_at)
    is_starting = view.routes is None
    for named in update.named:
        due = DueVersion(ModelName(named.model), named.version)
        if not named.is_guess:
            view.require_version(due, sent_at - named.age_ms / MS_PER_S)
        elif is_starting:
            view.require_version(due, sent_at, old=True)
    view.confirm_version(
        update.routes_version,
        sent_at - update.routes_age_ms / MS_PER_S,
        sent_at - update.routes_seen_age_ms / MS_PER_S,
    )
    for difference in update.differences:
        apply_difference(view, difference, sent_at)


class FreshnessChecker:
    """Asks other entries how old their routes are, and what newer ones change.

    `on_answer` is called with each answer once it is applied.
    """

    def __init__(
        self,
        node: PeerNode,
        local_entry: LocalEntry,
        view: RoutingView,
        leaving_targets: LeavingTargets,
        evacuations: EvacuationMonitor,
        others: Callable[[], Iterable[PeerEntry]],
        on_answer: OnAnswer,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._node = node
        self._local_entry = local_entry
        self._view = view
        self._leaving_targets = leaving_targets
        self._evacuations = evacuations
        self._others = others
        self._on_answer = on_answer
        self._clock = clock
        self._answers = metrics.counter("vouching", outcome="answered")
        self._failures = metrics.counter("vouching", outcome="failed")
        self._holders: dict[HostId, PeerEntry] = {}  # announced newer routes, not asked yet
        self._has_holder = asyncio.Event()
        self._loop = Background("vouching", self._run)
        self._difference_loop = Background("asking for differences", self._ask_holders)

    async def start(self) -> None:
        """Start asking."""
        self._loop.start()
        self._difference_loop.start()

    async def close(self) -> None:
        """Stop asking."""
        await self._loop.close()
        await self._difference_loop.close()

    def note_announced(self, entry: PeerEntry) -> None:
        """Ask an entry that has announced routes what they change, if that is not known."""
        if self._view.lacks_difference:
            self._holders[entry.host] = entry
            self._has_holder.set()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._is_up_to_date and not self._view.lacks_difference:
                continue
            asked = choose_peers_to_query(self._local_entry, self._others())
            await asyncio.gather(*(self._ask(entry) for entry in asked))

    async def _ask_holders(self) -> None:
        """Ask entries that announced newer routes, until it is known what these change."""
        while True:
            await self._has_holder.wait()
            self._has_holder.clear()
            await asyncio.sleep(self._difference_delay_s)
            while self._holders and self._view.lacks_difference:
                hosts = sorted(self._holders, key=self._is_remote)[:DIFFERENCE_HOLDERS]
                asked = [self._holders.pop(host) for host in hosts]
                await asyncio.gather(*(self._ask(entry) for entry in asked))
            self._holders.clear()

    def _is_remote(self, host: HostId) -> bool:
        return self._holders[host].place != self._local_entry.place

    @property
    def _difference_delay_s(self) -> float:
        left_s = self._view.rules.apply_s - self._view.routes_observed_age_s(self._clock())
        return min(DIFFERENCE_DELAY_S, max(0.0, left_s - DIFFERENCE_LEAD_S))

    @property
    def _is_up_to_date(self) -> bool:
        """Whether this entry reads the store for its place and the store answers."""
        fresh = self._view.routes_observed_age_s(self._clock()) < CONFIRMED_MAX_AGE_S
        return fresh and is_route_reader(self._local_entry, self._others())

    async def _ask(self, entry: PeerEntry) -> None:
        routes = self._view.routes
        question = messages.AskUpdate(
            routes.version if routes else 0, wants_routes=False, wants_difference=True
        )
        sent_at = self._clock()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                link = await self._node.link(entry.address)
            update = await link.call(question, ANSWER_TIMEOUT_S)
            apply_answer(self._view, update, sent_at)
        except (LacewingError, TimeoutError, OSError) as error:
            self._failures.add()
            log.debug("entry_did_not_vouch", entry=entry.host, error=error)
            return
        self._leaving_targets.publish_new(LeavingSource.ENTRY)
        self._evacuations.publish_new(EvacuationSource.ENTRY)
        self._answers.add()
        self._on_answer(entry, update)
