"""Request slots from agents over this entry's links to them."""

from lacewinggw.decisions.slots import SlotRequest
from lacewinggw.decisions.targetload import TargetLoad
from lacewinggw.errors import LacewingError
from lacewinggw.frontend.slots import SlotAnswer
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.generated.messages.ttypes import SlotState
from lacewinggw.ids import Address
from lacewinggw.wire.peers import OutgoingCall, PeerNode

MS_PER_S = 1000
US_PER_S = 1_000_000
MAX_INT32 = (1 << 31) - 1
ANSWERS: dict[int, SlotAnswer] = {
    SlotState.GRANTED: SlotAnswer.GRANTED,
    SlotState.QUEUED: SlotAnswer.QUEUED,
    SlotState.DECLINED: SlotAnswer.DECLINED,
    SlotState.OVERTAKEN: SlotAnswer.OVERTAKEN,
    SlotState.EXCESS: SlotAnswer.EXCESS,
}


class AgentSlots:
    """Requests slots from the agents of targets; agents listen on the same port as entries.

    call = slots.ask(load, request)  # None while there is no link
    if call is not None and await call.answer() is SlotAnswer.GRANTED: ...
    """

    def __init__(self, node: PeerNode, port: str) -> None:
        self._node = node
        self._port = port

    def ask(self, load: TargetLoad, request: SlotRequest) -> "AgentSlotCall | None":
        """Request a slot of a target; return None if there is no link to its agent."""
        host = load.entry.address.rpartition(":")[0]
        link = self._node.find_open_link(Address(f"{host}:{self._port}"))
        if link is None:
            return None
        question = messages.AskSlot(
            slots=load.entry.slots,
            rank=request.rank,
            late=request.is_late,
            wait_ms=_to_int32(request.wait_s * MS_PER_S),
            reading_us=_to_int32(request.prefill_s * US_PER_S),
            suspect=request.suspect or "",
            waited_us=_to_int32(request.waited_s * US_PER_S),
            account=request.account,
            service_us=_to_int32(request.service_s * US_PER_S),
        )
        return AgentSlotCall(link.start_call(question))

    def report_gap(self, load: TargetLoad, gap_s: float, declared_s: float) -> None:
        """Report a long gap between two events of a target to its agent, if there is a link."""
        host = load.entry.address.rpartition(":")[0]
        gap = messages.TargetGap(_to_int32(gap_s * US_PER_S), _to_int32(declared_s * US_PER_S))
        self._node.notify_if_open(Address(f"{host}:{self._port}"), gap)


def _to_int32(amount: float) -> int:
    """Return an amount as a message holds it; callers' headers may lead to larger estimates."""
    return round(min(max(0.0, amount), MAX_INT32))


class AgentSlotCall:
    """One pending request for a slot at an agent."""

    def __init__(self, call: OutgoingCall) -> None:
        self._call = call
        self._answers = call.replies()

    async def answer(self) -> SlotAnswer:
        """Return the agent's next answer; LOST if the link broke or the answer is unknown."""
        try:
            reply = await anext(self._answers)
        except (LacewingError, StopAsyncIteration):
            return SlotAnswer.LOST
        if not isinstance(reply, messages.SlotUpdate):
            return SlotAnswer.LOST
        return ANSWERS.get(reply.state, SlotAnswer.LOST)

    def end(self) -> None:
        """Give the slot back, or leave the agent's queue."""
        self._call.send_follow_up(messages.Cancel("done"))
        self._call.abandon()
