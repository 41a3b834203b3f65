"""Whether a target is proven to have loaded its weights from intact pieces.

The failure it guards against: an order without a response may be accepted seconds later, by a
target that paused or on a host that stood still, when the checks of its pieces are outdated. The
target then serves bad weights, and nothing else would notice.

Pieces that are read back intact after the target has accepted the order prove that they were
intact at that time as well, as a bad piece does not become intact again.
"""

from enum import Enum


class _State(Enum):
    PROVEN = "proven"
    UNPROVEN = "unproven"
    SPOILT = "spoilt"  # a piece was bad after the order was accepted


class LoadProof:
    """What is proven of the version that was ordered last.

    proof.note_sent(version)
    proof.note_begun(is_in_time=False)
    if proof.needs_read_back(held): ...  # read all pieces back
    proof.note_read_back(is_intact=True)
    """

    def __init__(self) -> None:
        self._version: int | None = None
        self._state = _State.PROVEN

    def note_sent(self, version: int) -> None:
        """Record that an order was sent; of earlier orders for the version one may be accepted."""
        if version != self._version or self._state is _State.SPOILT:
            self._version, self._state = version, _State.PROVEN

    def note_begun(self, is_in_time: bool) -> None:
        """Record that the target accepted the order sent last, and no earlier one."""
        self._state = _State.PROVEN if is_in_time else _State.UNPROVEN

    def note_no_response(self) -> None:
        """Record that the target may accept the order sent last at any time."""
        self._state = _State.UNPROVEN

    def needs_read_back(self, held: int | None) -> bool:
        """Return whether the pieces of the version that the target holds must be read back."""
        return self._state is _State.UNPROVEN and held == self._version

    def note_read_back(self, is_intact: bool) -> None:
        """Record whether all pieces were intact after the target had loaded them."""
        self._state = _State.PROVEN if is_intact else _State.SPOILT

    def is_usable(self, held: int | None) -> bool:
        """Return whether requests may run on the version that the target holds."""
        return self._state is _State.PROVEN or held != self._version
