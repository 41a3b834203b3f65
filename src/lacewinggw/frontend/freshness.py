"""Learn from other entries how new the knowledge of the routes is.

A few entries read the store often; the others ask them, which costs the store nothing and keeps an
entry serving that the store turns away. The age of what a reply tells counts from the sending of
the question, so no clocks are compared and a reply that was held up proves less, never more.
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
from lacewinggw.frontend.leavingtargets import LeavingSource, LeavingTargets
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.ids import ModelName, TargetId
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics
from lacewinggw.wire.peers import PeerNode
from lacewinggw.wire.soundness import require_sound

CHECK_INTERVAL_S = 0.8  # between questions: an age then stays within the reader's wait and this
ANSWER_TIMEOUT_S = 0.5  # between regions an answer takes some ms, over a full link some 100
MS_PER_S = 1000.0

log = get_logger(__name__)

OnAnswer = Callable[[PeerEntry, messages.EntryUpdate], None]


def apply_answer(knowledge: RoutingView, update: messages.EntryUpdate, sent_at: float) -> None:
    """Take what another entry answered to a question that was sent at a moment.

    Who has just started counts versions that it finds named as older than they may be. Such a guess
    is taken only by one that has just started as well: others were there and know better.

    Raise `ProtocolViolation` for an answer that is not sound.
    """
    require_sound(update)
    for target in update.leaving:
        knowledge.mark_leaving(TargetId(target))
    starts = knowledge.routes is None
    for named in update.named:
        due = DueVersion(ModelName(named.model), named.version)
        if not named.is_guess:
            knowledge.require_version(due, sent_at - named.age_ms / MS_PER_S)
        elif starts:
            knowledge.require_version(due, sent_at, old=True)
    knowledge.confirm_version(
        update.routes_version,
        sent_at - update.routes_age_ms / MS_PER_S,
        sent_at - update.routes_seen_age_ms / MS_PER_S,
    )


class FreshnessChecker:
    """Asks other entries how old their routes are; `on_heard` is told of each answer."""

    def __init__(
        self,
        node: PeerNode,
        me: LocalEntry,
        knowledge: RoutingView,
        leaving_targets: LeavingTargets,
        others: Callable[[], Iterable[PeerEntry]],
        on_answer: OnAnswer,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._node = node
        self._me = me
        self._knowledge = knowledge
        self._leaving_targets = leaving_targets
        self._others = others
        self._on_answer = on_answer
        self._clock = clock
        self._answers = metrics.counter("vouching", outcome="answered")
        self._failures = metrics.counter("vouching", outcome="failed")
        self._loop = Background("vouching", self._run)

    async def start(self) -> None:
        """Begin to ask."""
        self._loop.start()

    async def close(self) -> None:
        """Stop asking."""
        await self._loop.close()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._is_up_to_date:
                continue
            asked = choose_peers_to_query(self._me, self._others())
            await asyncio.gather(*(self._ask(entry) for entry in asked))

    @property
    def _is_up_to_date(self) -> bool:
        """Whether this entry reads the store for its place, and the store answers it."""
        fresh = self._knowledge.routes_observed_age_s(self._clock()) < CONFIRMED_MAX_AGE_S
        return fresh and is_route_reader(self._me, self._others())

    async def _ask(self, entry: PeerEntry) -> None:
        routes = self._knowledge.routes
        question = messages.AskUpdate(routes.version if routes else 0, wants_routes=False)
        sent_at = self._clock()
        try:
            link = await asyncio.wait_for(self._node.link(entry.address), ANSWER_TIMEOUT_S)
            update = await link.call(question, ANSWER_TIMEOUT_S)
            apply_answer(self._knowledge, update, sent_at)
        except (LacewingError, TimeoutError, OSError) as error:
            self._failures.add()
            log.debug("entry_did_not_vouch", entry=entry.host, error=error)
            return
        self._leaving_targets.publish_new(LeavingSource.ENTRY)
        self._answers.add()
        self._on_answer(entry, update)
