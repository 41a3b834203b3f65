"""Learn from other entries how new the knowledge of the routes is, and what is newer.

A few entries read the store often; the others ask them, which costs the store nothing and keeps an
entry serving that the store turns away. The age of what a reply tells counts from the sending of
the question, so no clocks are compared and a reply that was held up proves less, never more.
"""

import asyncio
import zlib
from collections.abc import Callable, Iterable, Sequence
from contextlib import suppress
from dataclasses import dataclass

from lacewinggw.background import Background
from lacewinggw.clock import Clock
from lacewinggw.decisions.knowledge import Knowledge
from lacewinggw.decisions.routes import RouteTable
from lacewinggw.decisions.targetlist import DueVersion
from lacewinggw.errors import LacewingError, ProtocolViolation
from lacewinggw.frontend.neighbours import READERS_PER_PLACE, KnownEntry, reading_order
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.ids import HostId, ModelName, Place, TargetId
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics
from lacewinggw.wire.peers import PeerLink, PeerNode
from lacewinggw.wire.soundness import require_sound

ASK_S = 0.8  # between questions: an age then stays within the reader's wait and this
ANSWER_S = 0.5  # between regions an answer takes some ms, over a full link some 100
ASKED = 2  # entries: the reader of this place and one of another
# Routes that are read, or vouched for, are not older than this: one wait of the reader that proved
# them when it began, the next one in progress, and the time between two questions.
VOUCHED_S = 3.4
PACK_LEVEL = 1  # 350 KB take 3 ms, and come out at 35
ROUTES_LIMIT_BYTES = 16 << 20  # a store takes rows of some MB at most
MS_PER_S = 1000.0
FAR_PAUSE_S = 0.1  # so that newer routes come from this place if anybody here has them too

log = get_logger(__name__)

DecodeRoutes = Callable[[bytes], RouteTable]


@dataclass(frozen=True)
class Self:
    """This entry's host and place."""

    host: HostId
    place: Place


def is_reader(me: Self, others: Iterable[KnownEntry]) -> bool:
    """Tell whether this entry reads the routes, for the others of its place."""
    near = [entry.host for entry in others if entry.place == me.place]
    before = [host for host in near if reading_order(host) < reading_order(me.host)]
    return len(before) < READERS_PER_PLACE


def choose_asked(me: Self, others: Iterable[KnownEntry]) -> list[KnownEntry]:
    """Return the entries to ask: the first reader of this place, and one of another place.

    One whose own routes are old, as the store turns it away, comes after the others.
    """
    order = sorted(
        others, key=lambda entry: (entry.routes_age_s > VOUCHED_S, reading_order(entry.host))
    )
    near = [entry for entry in order if entry.place == me.place]
    far = [entry for entry in order if entry.place != me.place]
    return [*near[:1], *far[: ASKED - len(near[:1])]]


def pack_routes(source: bytes) -> bytes:
    """Return routes as they travel between entries: a tenth of their size."""
    return zlib.compress(source, PACK_LEVEL)


def unpack_routes(packed: bytes) -> bytes:
    """Return what `pack_routes` was given; raise `ProtocolViolation` for anything else."""
    unpacker = zlib.decompressobj()
    try:
        source = unpacker.decompress(packed, ROUTES_LIMIT_BYTES)
    except zlib.error as error:
        raise ProtocolViolation(f"routes that are not packed: {error}") from error
    if unpacker.unconsumed_tail:
        raise ProtocolViolation(f"routes of more than {ROUTES_LIMIT_BYTES} bytes")
    return source


class Voucher:
    """Asks other entries, and takes what they answer into the knowledge."""

    def __init__(
        self,
        node: PeerNode,
        me: Self,
        knowledge: Knowledge,
        decode: DecodeRoutes,
        others: Callable[[], Iterable[KnownEntry]],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._answers = metrics.counter("vouching", outcome="answered")
        self._failures = metrics.counter("vouching", outcome="failed")
        self._heard_version = 0
        self._node = node
        self._me = me
        self._knowledge = knowledge
        self._decode = decode
        self._others = others
        self._clock = clock
        self._wake = asyncio.Event()
        self._newer_at: KnownEntry | None = None
        self._loop = Background("vouching", self._run)

    async def start(self) -> None:
        """Begin to ask."""
        self._loop.start()

    async def close(self) -> None:
        """Stop asking."""
        await self._loop.close()

    def note_news(self, entry: KnownEntry, news: messages.EntryNews) -> None:
        """Ask an entry at once if it has pushed that it knows newer routes or versions."""
        if not self._is_newer(news):
            return
        if news.routes_version > self._heard_version:
            self._heard_version = news.routes_version
            log.info("routes_heard_of", version=news.routes_version, entry=entry.host)
        if self._newer_at is None or entry.place == self._me.place:
            self._newer_at = entry
        self._wake.set()

    def _is_newer(self, news: messages.EntryNews) -> bool:
        routes = self._knowledge.routes
        if routes is None or news.routes_version > routes.version:
            return True
        known = {(model, due.version) for model, due in self._knowledge.named}
        return any((each.model, each.version) not in known for each in news.named)

    async def _run(self) -> None:
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(ASK_S):
                    await self._wake.wait()
            self._wake.clear()
            await self._ask_newer()
            if self._knows_enough:
                continue
            await self._ask_all(choose_asked(self._me, self._others()))

    async def _ask_newer(self) -> None:
        """Ask the entry that said that it knows something newer; one far off a little later."""
        entry = self._newer_at
        if entry is None:
            return
        if entry.place != self._me.place:
            await asyncio.sleep(FAR_PAUSE_S)
        entry, self._newer_at = self._newer_at or entry, None
        await self._ask(entry, wants_routes=True)

    async def _ask_all(self, asked: Sequence[KnownEntry]) -> None:
        """Ask the first one for newer routes, the others only how old theirs are.

        Routes are large, some hundred KB, and borders narrow: only if the first one, which is of
        this place, says nothing, they are had from another.
        """
        if not asked:
            return
        first, *rest = asked
        answered, *_ = await asyncio.gather(
            self._ask(first, wants_routes=True),
            *(self._ask(entry, wants_routes=False) for entry in rest),
        )
        if not answered and rest:
            await self._ask(rest[0], wants_routes=True)

    @property
    def _knows_enough(self) -> bool:
        """Whether this entry reads the store for its place, and the store answers it."""
        fresh = self._knowledge.routes_age(self._clock()) < VOUCHED_S
        return fresh and is_reader(self._me, self._others())

    async def _ask(self, entry: KnownEntry, wants_routes: bool) -> bool:
        """Ask an entry; return whether it answered."""
        routes = self._knowledge.routes
        question = messages.AskNews(routes.version if routes else 0, wants_routes)
        sent_at = self._clock()
        try:
            link: PeerLink = await asyncio.wait_for(self._node.link(entry.address), ANSWER_S)
            news = await link.call(question, ANSWER_S)
            self._take(news, entry, sent_at)
            if not wants_routes:
                self.note_news(entry, news)
        except (LacewingError, TimeoutError, OSError) as error:
            self._failures.add()
            log.debug("entry_did_not_vouch", entry=entry.host, error=error)
            return False
        self._answers.add()
        return True

    def _take(self, news: messages.EntryNews, entry: KnownEntry, sent_at: float) -> None:
        require_sound(news)
        knowledge = self._knowledge
        for target in news.leaving:
            knowledge.note_leaving(TargetId(target))
        for named in news.named:
            due = DueVersion(ModelName(named.model), named.version)
            knowledge.take_due(due, sent_at - named.age_ms / MS_PER_S)
        if news.routes:
            table = self._decode(unpack_routes(news.routes))
            if knowledge.take_routes(table):
                log.info(
                    "routes_taken",
                    version=table.version,
                    source="entry",
                    entry=entry.host,
                    bytes=len(news.routes),
                    age_ms=round((self._clock() - sent_at) * MS_PER_S) + news.routes_age_ms,
                )
        if knowledge.routes is not None and news.routes_version >= knowledge.routes.version:
            knowledge.prove_routes(sent_at - news.routes_age_ms / MS_PER_S)
