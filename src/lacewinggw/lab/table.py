"""Stand-in of the platform's transactional table service.

Rows are strings under string keys, each with a version that a compare-and-set names. Versions come
from one rising counter, so a row deleted and made anew never has a version seen before.
"""

import bisect
import json
from dataclasses import dataclass
from typing import Any

from lacewinggw.lab.standin import LOOPBACK, RateMeter, StandIn, refused
from lacewinggw.wire.http import Request, Response, json_response
from lacewinggw.wire.network import Network

ROWS = "/rows/"
SCAN_LIMIT = 1000
READS_PER_S = 2000
WRITES_PER_S = 500


@dataclass(frozen=True)
class StoredRow:
    """One row as kept."""

    key: str
    version: int
    value: str

    def to_json(self) -> dict[str, Any]:
        """Return the row as it travels."""
        return {"key": self.key, "version": self.version, "value": self.value}


class TableStandIn(StandIn):
    """Rows under compare-and-set, with capacity limits and faults."""

    def __init__(
        self,
        network: Network,
        address: str = LOOPBACK,
        seed: int = 0,
        reads_per_s: int = READS_PER_S,
        writes_per_s: int = WRITES_PER_S,
    ) -> None:
        super().__init__(network, address, seed)
        self.reads = RateMeter()
        self.writes = RateMeter()
        self.refused = 0
        self._reads_per_s = reads_per_s
        self._writes_per_s = writes_per_s
        self._rows: dict[str, StoredRow] = {}
        self._keys: list[str] = []
        self._version = 0

    @property
    def rows(self) -> dict[str, StoredRow]:
        """All rows by key, for checkers."""
        return self._rows

    def stats(self) -> dict[str, Any]:
        """Return counts of reads, writes and refusals."""
        return {
            "reads": self.reads.stats(),
            "writes": self.writes.stats(),
            "refused": self.refused,
            "rows": len(self._rows),
        }

    def put(self, key: str, value: str, if_version: int | None) -> tuple[bool, StoredRow | None]:
        """Write one row; return whether the comparison held, and the row as it now is."""
        current = self._rows.get(key)
        if if_version is not None and if_version != (current.version if current else 0):
            return False, current
        self._version += 1
        row = StoredRow(key, self._version, value)
        if current is None:
            bisect.insort(self._keys, key)
        self._rows[key] = row
        return True, row

    def scan(self, prefix: str, after: str, limit: int) -> list[StoredRow]:
        """Return rows in the order of their keys, those after `after` only."""
        start = bisect.bisect_left(self._keys, prefix)
        if after:
            start = max(start, bisect.bisect_right(self._keys, after))
        found = []
        for key in self._keys[start : start + limit]:
            if not key.startswith(prefix):
                break
            found.append(self._rows[key])
        return found

    async def answer(self, request: Request) -> Response:
        """Answer one read or write, unless the capacity of this second is used up."""
        is_read = request.method == "GET"
        meter = self.reads if is_read else self.writes
        if meter.current() >= (self._reads_per_s if is_read else self._writes_per_s):
            self.refused += 1
            return refused(429, "over the capacity of the table service", 1.0)
        meter.add()
        match request.method, request.path:
            case "GET", "/rows":
                return self._answer_scan(request.query)
            case "GET", path if path.startswith(ROWS):
                return self._answer_get(path.removeprefix(ROWS))
            case "PUT", path if path.startswith(ROWS):
                asked = json.loads(request.body)
                return self.written(self._answer_put({"key": path.removeprefix(ROWS), **asked}))
            case "DELETE", path if path.startswith(ROWS):
                return self.written(self._answer_delete(path.removeprefix(ROWS), request.query))
            case "POST", "/batch":
                return self.written(self._answer_batch(json.loads(request.body)))
        return refused(404, f"no {request.method} {request.path}")

    def _answer_scan(self, query: dict[str, str]) -> Response:
        limit = min(int(query.get("limit", SCAN_LIMIT)), SCAN_LIMIT)
        rows = self.scan(query.get("prefix", ""), query.get("after", ""), limit)
        return json_response(200, {"rows": [row.to_json() for row in rows]})

    def _answer_get(self, key: str) -> Response:
        row = self._rows.get(key)
        return json_response(200, row.to_json()) if row else refused(404, f"no row {key}")

    def _answer_put(self, asked: dict[str, Any]) -> Response:
        result = self._put_asked(asked)
        return json_response(result["status"], result)

    def _put_asked(self, asked: dict[str, Any]) -> dict[str, Any]:
        held, row = self.put(asked["key"], asked["value"], asked.get("if_version"))
        return {"status": 200 if held else 409, "row": row.to_json() if row else None}

    def _answer_batch(self, asked: list[dict[str, Any]]) -> Response:
        return json_response(200, {"results": [self._put_asked(each) for each in asked]})

    def _answer_delete(self, key: str, query: dict[str, str]) -> Response:
        current = self._rows.get(key)
        expected = query.get("if_version")
        if current is not None and expected is not None and int(expected) != current.version:
            return json_response(409, {"status": 409, "row": current.to_json()})
        if current is not None:
            del self._rows[key]
            del self._keys[bisect.bisect_left(self._keys, key)]
        return json_response(200, {"status": 200, "row": None})
