"""Remote calls between lacewinggw processes, multiplexed on one connection in both directions.

A `PeerNode` listens, connects and keeps one `PeerLink` per address and lane. Either side of a link
may call the other. A call has any number of replies and one last reply; while it is in progress,
its caller may send follow-ups (credit, cancel). Every frame carries the sender's configuration
revision.
"""

import asyncio
import hashlib
import hmac
import itertools
import secrets
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass

from lacewinggw.errors import (
    BadFleetKey,
    ConnectionLost,
    LacewingError,
    ProtocolViolation,
    TimedOut,
    Unreachable,
    WireError,
)
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.generated.messages.ttypes import FrameKind
from lacewinggw.log import get_logger
from lacewinggw.wire.clients import ClientAdmission, Clients
from lacewinggw.wire.frames import (
    FrameSplitter,
    Message,
    encode_frame,
    encode_struct,
    message_of,
    read_frame,
)
from lacewinggw.wire.network import Listener, Network, Stream
from lacewinggw.wire.readturns import ReadTurns

HANDSHAKE_TIMEOUT_S = 5.0
HANDSHAKE_LIMIT_BYTES = 4096
NONCE_BYTES = 16
NO_CALL = 0  # call number of a frame that expects no reply
MAX_FOLLOW_UPS = 1024
READ_BYTES = 1 << 16
FRAMES_PER_TURN = 32  # handled on a link before other links get their turn

log = get_logger(__name__)


@dataclass(frozen=True)
class Identity:
    """A process's host, role, place, incarnation and peer address ("" if it has none)."""

    host: str
    role: messages.Role
    place: str
    incarnation: str
    address: str = ""

    @classmethod
    def from_hello(cls, hello: messages.Hello) -> "Identity":
        """Return the identity of a received `Hello`, the first message of a connection."""
        role = messages.Role(hello.role)
        return cls(hello.host, role, hello.place, hello.incarnation, hello.address)

    def to_hello(self, nonce: bytes) -> messages.Hello:
        """Return the `Hello` message that carries this identity."""
        return messages.Hello(
            self.host, self.role, self.place, self.incarnation, nonce, self.address
        )


class Exchange:
    """One incoming call or notification, for use by its handler."""

    def __init__(self, link: "PeerLink", call: int, message: Message, wants_reply: bool) -> None:
        self.link = link
        self.message = message
        self.wants_reply = wants_reply
        self.done = not wants_reply
        self._call = call
        self._follow_ups: asyncio.Queue[Message] = asyncio.Queue(MAX_FOLLOW_UPS)

    def reply(self, message: Message) -> None:
        """Send a reply that more replies follow."""
        self.link.send(self._call, FrameKind.REPLY, message)

    def finish(self, message: Message) -> None:
        """Send the last reply; later calls of this method have no effect."""
        if self.done:
            return
        self.done = True
        self.link.send(self._call, FrameKind.LAST, message)

    def finish_without_reply(self) -> None:
        """End without a last reply, because the caller has announced that it expects none."""
        self.done = True

    async def follow_up(self) -> Message:
        """Wait for the caller's next follow-up and return it."""
        return await self._follow_ups.get()

    def enqueue_follow_up(self, message: Message) -> None:
        """Queue a received follow-up; raise `ProtocolViolation` when the queue is full."""
        try:
            self._follow_ups.put_nowait(message)
        except asyncio.QueueFull as error:
            raise ProtocolViolation("too many unread follow-ups on one call") from error


Handler = Callable[[Exchange], Awaitable[None]]


Reply = tuple[Message, bool]  # a message, and whether it is the last reply


def _merge_pieces(before: Reply | LacewingError, after: Reply | LacewingError) -> bool:
    """Append consecutive `Pieces` to the previous ones; return False if that is not possible."""
    match before, after:
        case (
            (messages.Pieces() as first, False),
            (messages.Pieces() as second, False),
        ) if second.first == first.first + len(first.pieces):
            if second.weights_digest and second.weights_digest != first.weights_digest:
                return False
            first.pieces.extend(second.pieces)
            return True
    return False


class OutgoingCall:
    """One outgoing call in progress, for use by its caller.

    `replies` yields every reply including the last; `result` returns only the last. Consecutive
    `Pieces` that are queued unread are merged into one reply.
    """

    def __init__(self, link: "PeerLink", call: int) -> None:
        self._link = link
        self._call = call
        self._replies: deque[Reply | LacewingError] = deque()
        self._arrival: asyncio.Future[None] | None = None
        self._ended = False

    def send_follow_up(self, message: Message) -> None:
        """Send a follow-up to the handler of this call, unless the call has ended."""
        if not self._ended:
            self._link.send(self._call, FrameKind.FOLLOW, message)

    async def replies(self) -> AsyncIterator[Message]:
        """Yield each reply; raise the typed error that the peer sent, or `ConnectionLost`."""
        while not self._ended:
            if not self._replies:
                self._arrival = asyncio.get_running_loop().create_future()
                await self._arrival
            item = self._replies.popleft()
            if isinstance(item, LacewingError):
                self.abandon()
                raise item
            message, last = item
            if last:
                self.abandon()
            if isinstance(message, messages.Failure):
                raise LacewingError.from_failure(message)
            yield message

    async def result(self, timeout_s: float) -> Message:
        """Return the last reply; raise `TimedOut` after `timeout_s` seconds."""
        last: Message = None
        try:
            async with asyncio.timeout(timeout_s):
                async for message in self.replies():
                    last = message
        except TimeoutError as error:
            self.send_follow_up(messages.Cancel("timed out"))
            raise TimedOut(f"no reply from {self._link.remote.host}") from error
        finally:
            self.abandon()
        return last

    def abandon(self) -> None:
        """Stop receiving replies; later ones are discarded."""
        self._ended = True
        self._link.remove_call(self._call)

    def enqueue_reply(self, item: Reply | LacewingError) -> None:
        """Queue a received reply, or the error for a lost connection."""
        if self._replies and _merge_pieces(self._replies[-1], item):
            return
        self._replies.append(item)
        if self._arrival is not None and not self._arrival.done():
            self._arrival.set_result(None)


class PeerLink:
    """One authenticated connection to another process."""

    def __init__(self, node: "PeerNode", stream: Stream, remote: Identity) -> None:
        self.remote = remote
        self.revision = 0
        self.closed = asyncio.Event()
        self._node = node
        self._stream = stream
        self._call_numbers = itertools.count(1)
        self._calls: dict[int, OutgoingCall] = {}
        self._exchanges: dict[int, tuple[Exchange, asyncio.Task[None]]] = {}
        self._unsent: list[bytes] = []

    def notify(self, message: Message) -> None:
        """Send a message that has no reply; it is dropped silently if the link is closed."""
        self.send(NO_CALL, FrameKind.NOTIFY, message)

    def start_call(self, message: Message) -> OutgoingCall:
        """Start a call; raise `ConnectionLost` when the link is already closed."""
        if self.closed.is_set():
            raise ConnectionLost(f"the link to {self.remote.host} is closed")
        number = next(self._call_numbers)
        call = OutgoingCall(self, number)
        self._calls[number] = call
        self.send(number, FrameKind.REQUEST, message)
        return call

    async def call(self, message: Message, timeout_s: float) -> Message:
        """Make a call with one reply and return it.

        Raises the typed error that the peer sent, `TimedOut` or `ConnectionLost`. After the last
        two the peer may have executed the call.
        """
        return await self.start_call(message).result(timeout_s)

    def send(self, call: int, kind: FrameKind, message: Message) -> None:
        """Queue a frame; frames queued in one iteration of the event loop are sent in one write."""
        if not self.closed.is_set():
            self.queue(encode_frame(call, kind, self._node.revision(), message))

    def queue(self, frame: bytes) -> None:
        """Queue an encoded frame, unless the link is closed."""
        if self.closed.is_set():
            return
        if not self._unsent:
            asyncio.get_running_loop().call_soon(self._flush)
        self._unsent.append(frame)

    async def drain(self) -> None:
        """Wait until the send buffer is below its limit, so that a fast sender cannot fill memory.

        Raises `ConnectionLost` when the connection fails.
        """
        self._flush()
        try:
            await self._stream.drain()
        except OSError as error:
            raise ConnectionLost(f"the link to {self.remote.host} was lost") from error

    def remove_call(self, call: int) -> None:
        """Remove a call that has ended."""
        self._calls.pop(call, None)

    def close(self) -> None:
        """Send queued frames, then close; calls in progress raise `ConnectionLost`."""
        if self.closed.is_set():
            return
        self._flush()
        self._end()

    async def run(self) -> None:
        """Read and dispatch frames until the link is closed."""
        try:
            splitter = FrameSplitter()
            while data := await self._stream.read(READ_BYTES):
                for number, frame in enumerate(splitter.feed(data), 1):
                    self._dispatch(frame)
                    if number % FRAMES_PER_TURN == 0:
                        await self._node.turns.wait()
                        if self.closed.is_set():
                            return
                if len(data) == READ_BYTES:
                    await asyncio.sleep(0)  # more data is waiting: let handlers run first
        except (OSError, EOFError, TimeoutError):
            pass
        except WireError as error:
            log.warning("peer_protocol_violation", peer=self.remote.host, reason=error.reason)
        finally:
            self._end()

    def _flush(self) -> None:
        if not self._unsent or self.closed.is_set():
            return
        data = b"".join(self._unsent)
        self._unsent.clear()
        self._node.sent_bytes += len(data)
        try:
            self._stream.write(data)
        except OSError:
            self._end()

    def _end(self) -> None:
        if self.closed.is_set():
            return
        self.closed.set()
        self._stream.close()
        for call in list(self._calls.values()):
            call.enqueue_reply(ConnectionLost(f"the link to {self.remote.host} was lost"))
        for _, task in list(self._exchanges.values()):
            task.cancel()

    def _dispatch(self, frame: messages.Frame) -> None:
        message = message_of(frame)
        if frame.revision and frame.revision > self.revision:
            self.revision = frame.revision
            self._node.report_revision(self, frame.revision)
        match frame.kind:
            case FrameKind.REPLY | FrameKind.LAST:
                call = self._calls.get(frame.call)
                if call is not None:
                    call.enqueue_reply((message, frame.kind == FrameKind.LAST))
            case FrameKind.NOTIFY if self._handle_notification(message):
                return
            case FrameKind.REQUEST | FrameKind.NOTIFY:
                self._start_handler(frame, message)
            case FrameKind.FOLLOW:
                running = self._exchanges.get(frame.call)
                if running is not None:
                    running[0].enqueue_follow_up(message)
            case _:
                raise ProtocolViolation(f"a frame of unknown kind {frame.kind}")

    def _handle_notification(self, message: Message) -> bool:
        """Handle a notification synchronously; return False if it is left to the handler.

        Most messages that an idle process receives are notifications, and a task for each costs
        more than handling it.
        """
        if self._node.on_notification is None:
            return False
        try:
            return self._node.on_notification(self, message)
        except LacewingError as error:
            log.info("peer_notice_refused", peer=self.remote.host, error=error)
        except Exception:
            kind = type(message).__name__
            log.exception("peer-handler-failed", peer=self.remote.host, message=kind)
        return True

    def _start_handler(self, frame: messages.Frame, message: Message) -> None:
        wants_reply = frame.kind == FrameKind.REQUEST
        exchange = Exchange(self, frame.call, message, wants_reply)
        task = asyncio.get_running_loop().create_task(self._handle(exchange))
        key = frame.call if wants_reply else -next(self._call_numbers)
        self._exchanges[key] = (exchange, task)
        task.add_done_callback(lambda _: self._exchanges.pop(key, None))

    async def _handle(self, exchange: Exchange) -> None:
        try:
            await self._node.handler(exchange)
            if not exchange.done:
                exchange.finish(messages.Done())
        except LacewingError as error:
            exchange.finish(error.to_failure())
        except Exception as error:
            kind = type(exchange.message).__name__
            log.exception("peer-handler-failed", peer=self.remote.host, message=kind)
            exchange.finish(
                ProtocolViolation(f"the handler of {kind} raised {error!r}").to_failure()
            )


class PeerNode:
    """The peer endpoint of this process: its listener, its links and its handler.

    node = PeerNode(network, identity, fleet_key, handler, revision=lambda: 0)
    await node.start("10.0.0.1:7000")
    link = await node.link("10.0.0.2:7000")
    reply = await link.call(messages.FetchLog(0, 100), timeout_s=2.0)

    `on_notification` handles notifications synchronously, and returns False for those that it
    leaves to `handler`. `admission` limits the incoming
    connections that have not shown the fleet's key.
    """

    def __init__(
        self,
        network: Network,
        identity: Identity,
        fleet_key: str,
        handler: Handler,
        revision: Callable[[], int] = lambda: 0,
        on_revision: Callable[[PeerLink, int], None] | None = None,
        on_link: Callable[[PeerLink], None] | None = None,
        on_notification: Callable[[PeerLink, Message], bool] | None = None,
        admission: ClientAdmission | None = None,
    ) -> None:
        self.identity = identity
        self.sent_bytes = 0
        self.handler = handler
        self.revision = revision
        self.on_notification = on_notification
        self.turns = ReadTurns()
        self._network = network
        self._admission = admission or Clients.unlimited().page_admission("peers")
        self._key = fleet_key.encode()
        self._on_revision = on_revision
        self._on_link = on_link
        self._listener: Listener | None = None
        self._links: dict[tuple[str, str], PeerLink] = {}
        self._opening: dict[tuple[str, str], asyncio.Task[PeerLink]] = {}
        self._all_links: dict[PeerLink, None] = {}  # the oldest first
        self._tasks: set[asyncio.Task[None]] = set()
        self._closing = False

    @property
    def address(self) -> str:
        """The bound address of the listener."""
        assert self._listener is not None, "call start() first"
        return self._listener.address

    @property
    def links(self) -> Sequence[PeerLink]:
        """All open links, incoming and outgoing, the oldest first."""
        return tuple(self._all_links)

    async def start(self, address: str) -> None:
        """Listen at `address`, and add the bound address to this node's identity."""
        self._listener = await self._network.listen(address, self._accept)
        identity = self.identity
        self.identity = Identity(
            identity.host, identity.role, identity.place, identity.incarnation, self.address
        )

    async def stop_listening(self) -> None:
        """Accept no new links; open links stay open."""
        if self._listener is not None:
            await self._listener.close()

    async def close(self) -> None:
        """Close the listener and every link."""
        self._closing = True
        await self.stop_listening()
        for task in list(self._opening.values()):
            task.cancel()
        for link in list(self._all_links):
            link.close()
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=HANDSHAKE_TIMEOUT_S)

    async def link(self, address: str, lane: str = "") -> PeerLink:
        """Return an open link to `address`, connecting if there is none.

        Lanes are separate connections, so that bulk data on one does not delay calls on another.
        Raises `Unreachable` when connecting fails, `ConnectionLost` when the handshake breaks off,
        and `BadFleetKey` when the peer's key differs.
        """
        key = (address, lane)
        existing = self._links.get(key)
        if existing is not None and not existing.closed.is_set():
            return existing
        opening = self._opening.get(key)
        if opening is None:
            opening = asyncio.get_running_loop().create_task(self._connect(address))
            self._opening[key] = opening
            opening.add_done_callback(lambda _: self._opening.pop(key, None))
        link = await asyncio.shield(opening)
        self._links[key] = link
        return link

    def find_open_link(self, address: str) -> PeerLink | None:
        """Return the open link to `address`, or None if there is none."""
        link = self._links.get((address, ""))
        return None if link is None or link.closed.is_set() else link

    def notify_if_open(self, address: str, message: Message) -> None:
        """Send a notification on the link to `address` if one is open."""
        link = self._links.get((address, ""))
        if link is not None:
            link.notify(message)

    def notify_all(self, links: Iterable[PeerLink], message: Message) -> None:
        """Send a notification on all of `links` that are open; it is encoded only once."""
        frame = encode_frame(NO_CALL, FrameKind.NOTIFY, self.revision(), message)
        for link in links:
            link.queue(frame)

    async def call(
        self, address: str, message: Message, timeout_s: float, lane: str = ""
    ) -> Message:
        """Make a call to `address`, connecting first if there is no open link."""
        link = await self.link(address, lane)
        return await link.call(message, timeout_s)

    def report_revision(self, link: PeerLink, revision: int) -> None:
        """Call `on_revision` if the `revision` received on `link` is newer than this process's."""
        if self._on_revision is not None and revision > self.revision():
            self._on_revision(link, revision)

    async def _connect(self, address: str) -> PeerLink:
        try:
            stream = await self._network.connect(address)
        except (OSError, TimeoutError) as error:
            raise Unreachable(f"cannot connect to {address}: {error}") from error
        remote = await self._handshake(stream, address)
        return self._run_link(stream, remote)

    async def _accept(self, stream: Stream) -> None:
        client = self._admission.admit(lambda _: stream.abort())
        if client is None:
            stream.abort()
            return
        try:
            remote = await self._handshake(stream, "an incoming connection")
        except LacewingError as error:
            log.warning("peer_refused", code=error.code, reason=error.reason)
            return
        finally:
            self._admission.remove(client)
        link = self._run_link(stream, remote)
        await link.closed.wait()

    def _run_link(self, stream: Stream, remote: Identity) -> PeerLink:
        link = PeerLink(self, stream, remote)
        if self._closing:
            link.close()
            return link
        self._all_links[link] = None
        task = asyncio.get_running_loop().create_task(link.run())
        self._tasks.add(task)

        def ended(task: asyncio.Task[None]) -> None:
            self._tasks.discard(task)
            self._all_links.pop(link, None)

        task.add_done_callback(ended)
        if self._on_link is not None:
            self._on_link(link)
        return link

    async def _handshake(self, stream: Stream, peer_name: str) -> Identity:
        nonce = secrets.token_bytes(NONCE_BYTES)
        hello = self.identity.to_hello(nonce)
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                stream.write(encode_frame(0, FrameKind.NOTIFY, 0, hello))
                remote_hello = await self._read_handshake(stream, messages.Hello)
                proof = messages.Proof(self._compute_proof(remote_hello.nonce, hello))
                stream.write(encode_frame(0, FrameKind.NOTIFY, 0, proof))
                answer = await self._read_handshake(stream, messages.Proof)
        except (OSError, EOFError, TimeoutError) as error:
            stream.close()
            raise ConnectionLost(f"{peer_name} broke off the handshake: {error!r}") from error
        except LacewingError:
            stream.close()
            raise
        if remote_hello.incarnation == self.identity.incarnation:
            stream.close()
            raise BadFleetKey(f"{peer_name} sent back this process's own handshake")
        if not hmac.compare_digest(answer.digest or b"", self._compute_proof(nonce, remote_hello)):
            stream.close()
            raise BadFleetKey(f"{peer_name} does not have this fleet's key")
        return Identity.from_hello(remote_hello)

    async def _read_handshake(self, stream: Stream, kind: type[Message]) -> Message:
        message = message_of(await read_frame(stream, HANDSHAKE_LIMIT_BYTES))
        if not isinstance(message, kind):
            raise ProtocolViolation(f"expected a {kind.__name__} in the handshake")
        return message

    def _compute_proof(self, nonce: bytes | None, hello: messages.Hello) -> bytes:
        return hmac.digest(self._key, (nonce or b"") + encode_struct(hello), hashlib.sha256)
