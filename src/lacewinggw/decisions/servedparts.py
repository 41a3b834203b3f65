"""The prompt parts that targets have survived recently, as evidence for when a target crashes.

A part that is on every crash because all prompts have it was also served just before, while one
that crashes every target was never served. Most parts are seen once, so only the latest are kept.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from lacewinggw.decisions.crashes import SurvivedRun
from lacewinggw.ids import ContentId

MAX_PARTS = 4096


@dataclass
class ServedParts:
    """Remembers the longest run of each part, and the end of its last one.

    served.note(parts, run)
    served.last_run(part)  # None if it is not among the latest
    """

    _runs: "OrderedDict[ContentId, SurvivedRun]" = field(default_factory=OrderedDict)

    def note(self, parts: Iterable[ContentId], run: SurvivedRun) -> None:
        """Record that a target survived a request with these parts."""
        for part in parts:
            known = self._runs.get(part, run)
            longest_s = max(known.lasted_s, run.lasted_s)
            self._runs[part] = SurvivedRun(longest_s, run.at, known.is_whole or run.is_whole)
            self._runs.move_to_end(part)
        while len(self._runs) > MAX_PARTS:
            self._runs.popitem(last=False)

    def last_run(self, part: ContentId) -> SurvivedRun | None:
        """Return the longest run of a part, as of its last one; None if that is not known."""
        return self._runs.get(part)
