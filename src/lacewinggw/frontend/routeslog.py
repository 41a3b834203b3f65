"""Log the steps by which a change of the routes takes effect in an entry.

A change is confirmed by the store, becomes known from another entry, arrives, is decoded, and is
then in force. The steps tell what made a change late.
"""

from lacewinggw.clock import Clock
from lacewinggw.decisions.routes import RouteTable
from lacewinggw.ids import HostId
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics

MS_PER_S = 1000

log = get_logger(__name__)


class RoutesLog:
    """Logs versions of the routes as they become known and as they come into force."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._behind = metrics.latency("routes_behind")
        self._decoding = metrics.latency("routes_decoding")
        self._known_at: dict[int, float] = {}  # by versions that are known and not in force

    def note_known(self, version: int, entry: HostId) -> None:
        """Record that another entry announced a version; log it the first time."""
        if version in self._known_at:
            return
        self._known_at[version] = self._clock()
        log.info("routes_heard_of", version=version, entry=entry)

    def note_taken(
        self,
        table: RouteTable,
        size_bytes: int,
        age_s: float,
        entry: HostId | None = None,
        decode_s: float = 0.0,
    ) -> None:
        """Log that a version is in force.

        It arrived in `size_bytes`, from `entry` or else from the store, and was confirmed to be the
        newest `age_s` ago.
        """
        now = self._clock()
        behind_s = now - min(self._known_at.values(), default=now)
        self._known_at = {
            version: at for version, at in self._known_at.items() if version > table.version
        }
        self._behind.record(behind_s)
        if entry is not None:
            self._decoding.record(decode_s)
        log.info(
            "routes_taken",
            version=table.version,
            source="store" if entry is None else "entry",
            entry=entry,
            routes=len(table.routes),
            bytes=size_bytes,
            age_ms=round(age_s * MS_PER_S),
            behind_ms=round(behind_s * MS_PER_S),
            decode_ms=round(decode_s * MS_PER_S, 1),
        )
