"""Reservations at agents: obtain one, and run a request with the one in a ticket."""

from collections.abc import AsyncGenerator
from contextlib import aclosing

from lacewinggw.decisions.outcomes import AttemptContext, final_error
from lacewinggw.entry.answers import AnswerProgress
from lacewinggw.entry.attempts import AgentEndpoint, Attempt, CallerRequest, open_link
from lacewinggw.entry.requests import RequestContext
from lacewinggw.entry.tickets import Ticket
from lacewinggw.errors import (
    ConnectionLost,
    DeadlinePassed,
    HolderGone,
    LacewingError,
    TicketExpired,
    Unreachable,
    WireError,
)
from lacewinggw.generated.messages.ttypes import (
    Finish,
    RequestHead,
    Reservation,
    Reserve,
    Standing,
)

RESERVE_TIMEOUT_S = 2.0


async def reserve(
    context: RequestContext, address: str, head: RequestHead, remaining_s: float
) -> Reservation:
    """Return a reservation from an agent, which runs nothing yet; raise the agent's refusal."""
    timeout_s = min(remaining_s, RESERVE_TIMEOUT_S)
    link = await open_link(context.node, address, timeout_s)
    try:
        reply = await link.call(Reserve(head), timeout_s)
    except WireError as error:
        raise Unreachable(f"no reservation from {address}: {error.reason}") from error
    if not isinstance(reply, Reservation):
        raise Unreachable(f"{address} replied to a reservation with {type(reply).__name__}")
    return reply


class ReservedRun:
    """A request that can start only with one given reservation.

    All uses of a reservation get the same run. "Not run" is therefore returned only if it is final:
    a refusal that leaves the reservation usable is withdrawn first.
    """

    def __init__(
        self, context: RequestContext, request: CallerRequest, agent: AgentEndpoint, nonce: str
    ) -> None:
        self.progress = AnswerProgress(request.digest)
        self.finish: Finish | None = None
        self._attempt = Attempt(context.node, agent, request, nonce, context.window)

    @classmethod
    def from_ticket(
        cls, context: RequestContext, request: CallerRequest, ticket: Ticket
    ) -> "ReservedRun":
        """Return a request that uses the reservation in a ticket."""
        return cls(
            context, request, AgentEndpoint(ticket.address, ticket.incarnation), ticket.nonce
        )

    async def batches(self) -> AsyncGenerator[list[bytes], None]:
        """Yield the pieces of the answer; raise the final error if there is no answer."""
        try:
            async with aclosing(self._attempt.batches(self.progress)) as batches:
                async for pieces in batches:
                    yield pieces
        except LacewingError as error:
            raise await self._final_error(error) from error
        self.finish = self._attempt.finish

    async def _final_error(self, error: LacewingError) -> LacewingError:
        if isinstance(error, DeadlinePassed):
            if await self._attempt.withdraw() is Standing.NEVER_STARTED:
                error = TicketExpired("the deadline passed before the request could start")
        elif isinstance(error, ConnectionLost):
            error = HolderGone(f"the agent that holds the reservation is lost: {error.reason}")
        return final_error(error, AttemptContext(repeatable=False, delivered=self.progress.pieces))
