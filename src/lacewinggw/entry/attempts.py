"""One attempt at a request: offered to one agent, with reconnection after lost connections."""

import asyncio
import math
from collections.abc import AsyncGenerator
from dataclasses import dataclass

from lacewinggw.decisions.atmostonce import RETENTION_S, run_id
from lacewinggw.entry.answers import AnswerProgress
from lacewinggw.errors import (
    AgentLost,
    AnswerIncomplete,
    ConnectionLost,
    DeadlinePassed,
    HolderGone,
    LacewingError,
    Unreachable,
)
from lacewinggw.generated.messages.ttypes import (
    Cancel,
    Credit,
    Finish,
    Offer,
    Pieces,
    RequestHead,
    Standing,
    Withdraw,
    Withdrawal,
)
from lacewinggw.wire.peers import OutgoingCall, PeerLink, PeerNode

LINK_TIMEOUT_S = 2.0
WITHDRAW_TIMEOUT_S = 0.5
RECONNECT_PAUSES_S = (0.0, 0.05, 0.2, 0.5, 1.0)
MS_PER_S = 1000.0
CREDITS_PER_WINDOW = 4  # credit is returned each time 1/4 of the window has been used


@dataclass(frozen=True)
class CallerRequest:
    """A caller's request, parsed and admitted; `deadline` is loop time, in seconds.

    `is_first_attempt` is set when the caller declares that it never sent its key before.
    """

    head: RequestHead
    body: bytes
    digest: str
    deadline: float
    resumable: bool = True
    is_first_attempt: bool = False


@dataclass
class AgentEndpoint:
    """The agent that an attempt goes to: its address, and its incarnation once connected."""

    address: str
    incarnation: str = ""


async def open_link(node: PeerNode, address: str, timeout_s: float = LINK_TIMEOUT_S) -> PeerLink:
    """Return a link to an agent; raise `Unreachable` if it cannot be connected in time."""
    try:
        async with asyncio.timeout(timeout_s):
            return await node.link(address)
    except (LacewingError, TimeoutError) as error:
        raise Unreachable(f"the agent at {address} cannot be reached: {error}") from error


class Attempt:
    """One run of a request at one agent.

    For an unrepeatable request, a lost connection is reopened to the same incarnation and the run
    resumes there from the next missing piece, so it starts at most once. `offered` is set once the
    offer was sent, `finish` once the answer is complete.
    """

    def __init__(
        self,
        node: PeerNode,
        agent: AgentEndpoint,
        request: CallerRequest,
        nonce: str,
        window: int,
    ) -> None:
        self.agent = agent
        self.offered = False
        self.finish: Finish | None = None
        self._node = node
        self._request = request
        self._nonce = nonce
        self._credit_step = max(1, window // CREDITS_PER_WINDOW)
        self._offered_at = 0.0
        self._received_at = -math.inf
        self._call: OutgoingCall | None = None

    @property
    def received_at(self) -> float:
        """When pieces of the answer arrived last, by the loop's clock; minus infinity before."""
        return self._received_at

    async def batches(self, progress: AnswerProgress) -> AsyncGenerator[list[bytes], None]:
        """Yield verified pieces as they are received; return once the answer is complete."""
        progress.begin_attempt()
        losses = 0
        while True:
            try:
                async for pieces in self._offer_and_receive(progress):
                    yield pieces
                return
            except ConnectionLost as error:
                if self._request.head.repeatable:
                    raise
                if losses == len(RECONNECT_PAUSES_S):
                    raise AgentLost(f"the agent was lost after the offer: {error}") from error
                await self._pause_before_reconnect(RECONNECT_PAUSES_S[losses])
                losses += 1

    def fail_connection(self, reason: str) -> None:
        """Fail the connection as lost if an answer is pending on it."""
        if self._call is not None:
            self._call.send_follow_up(Cancel(reason))
            self._call.enqueue_reply(ConnectionLost(reason))

    async def withdraw(self) -> Standing:
        """Prevent the run if it has not started; return the status that the agent can prove.

        More than `RETENTION_S` after the offer, the agent may have forgotten the run, so its reply
        proves nothing.
        """
        if not self.offered:
            return Standing.NEVER_STARTED
        loop = asyncio.get_running_loop()
        request = Withdraw(self._nonce, self._run_id(), self.agent.incarnation)
        try:
            async with asyncio.timeout(WITHDRAW_TIMEOUT_S):
                link = await self._node.link(self.agent.address)
                reply = await link.call(request, WITHDRAW_TIMEOUT_S)
        except (LacewingError, TimeoutError):
            return Standing.UNKNOWN
        too_late = loop.time() - self._offered_at > RETENTION_S
        if too_late or not isinstance(reply, Withdrawal):
            return Standing.UNKNOWN
        return Standing(reply.standing)

    async def _pause_before_reconnect(self, pause_s: float) -> None:
        left_s = self._request.deadline - asyncio.get_running_loop().time()
        if left_s <= pause_s:
            raise DeadlinePassed("the deadline passed while the agent was unreachable")
        await asyncio.sleep(pause_s)

    def _run_id(self) -> str:
        return run_id("", self._request.head.request_id, self._request.head.attempt)

    async def _offer_and_receive(
        self, progress: AnswerProgress
    ) -> AsyncGenerator[list[bytes], None]:
        loop = asyncio.get_running_loop()
        link = await self._connect()
        request = self._request
        request.head.deadline_ms = int((request.deadline - loop.time()) * MS_PER_S)
        request.head.resume_from = progress.pieces
        self._offered_at = self._offered_at or loop.time()
        call = self._call = link.start_call(Offer(request.head, request.body, self._nonce))
        self.offered = True
        passed = DeadlinePassed("the deadline passed before the answer was complete")
        timer = loop.call_at(self._request.deadline, call.enqueue_reply, passed)
        try:
            async for pieces in self._receive(call, progress):
                yield pieces
        except (DeadlinePassed, GeneratorExit):
            call.send_follow_up(Cancel("the entry gave up"))
            raise
        finally:
            self._call = None
            timer.cancel()
            call.abandon()

    async def _connect(self) -> PeerLink:
        """Return a link to the agent; after the offer it must still be the same incarnation."""
        left_s = self._request.deadline - asyncio.get_running_loop().time()
        try:
            link = await open_link(self._node, self.agent.address, min(left_s, LINK_TIMEOUT_S))
        except Unreachable as error:
            if not self.offered and not self.agent.incarnation:
                raise
            raise ConnectionLost(error.reason) from error
        incarnation = link.remote.incarnation
        if self.agent.incarnation and incarnation != self.agent.incarnation:
            raise HolderGone("the agent was replaced after the request was offered")
        self.agent.incarnation = incarnation
        return link

    async def _receive(
        self, call: OutgoingCall, progress: AnswerProgress
    ) -> AsyncGenerator[list[bytes], None]:
        unacknowledged = 0
        async for message in call.replies():
            match message:
                case Pieces():
                    self._received_at = asyncio.get_running_loop().time()
                    pieces = progress.add_pieces(message)
                    yield pieces
                    unacknowledged += len(pieces)
                    if unacknowledged >= self._credit_step:
                        call.send_follow_up(Credit(unacknowledged))
                        unacknowledged = 0
                case Finish():
                    progress.close(message)
                    self.finish = message
                    return
                case _:
                    kind = type(message).__name__
                    raise AnswerIncomplete(f"received a {kind} instead of an answer")
        raise AnswerIncomplete("the answer ended without a final message")
