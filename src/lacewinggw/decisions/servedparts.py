"""The prompt parts that targets have served recently, as evidence for when a target crashes.

A part that is on every crash because all prompts have it was also served just before, while one
that crashes every target was never served. Most parts are seen once, so only the latest are kept.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from lacewinggw.ids import ContentId

MAX_PARTS = 4096


@dataclass
class ServedParts:
    """Remembers when each part was last served, in seconds by one clock.

    served.note(parts, now)
    served.last_at(part)  # None if it is not among the latest
    """

    _last_at: "OrderedDict[ContentId, float]" = field(default_factory=OrderedDict)

    def note(self, parts: Iterable[ContentId], at: float) -> None:
        """Record that a request with these parts was served."""
        for part in parts:
            self._last_at[part] = at
            self._last_at.move_to_end(part)
        while len(self._last_at) > MAX_PARTS:
            self._last_at.popitem(last=False)

    def last_at(self, part: ContentId) -> float | None:
        """Return when a part was last served; None if that is not known."""
        return self._last_at.get(part)
