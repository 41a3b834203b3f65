"""Bytes from strangers on the listener for our own processes."""

import asyncio
import tracemalloc
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st
from virtual import run_virtual

from lacewinggw.errors import BadFleetKey, ConnectionLost, ProtocolViolation
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.generated.messages.ttypes import FrameKind, Role
from lacewinggw.lab.memory import MemoryNetwork
from lacewinggw.wire.frames import decode_frame, encode_frame, message_of
from lacewinggw.wire.network import Stream
from lacewinggw.wire.peers import Exchange, Identity, PeerNode

ADDRESS = "10.0.0.1:7000"
MEMORY_LIMIT_BYTES = 32 << 20

SAMPLES = [
    messages.Hello("host", Role.AGENT, "place", "incarnation", b"nonce", "10.0.0.1:1"),
    messages.Have("digest", 1, bitmap=b"\xff" * 8, added=[1, 2, 3]),
    messages.LogNews([messages.LogEntry(1, "c", "author", 0, 0, [], "words")], 1),
    messages.Pieces(0, [b"one", b"two"]),
    messages.Failure("LW-6002", "reason", "remedy", 100, "not-run"),
]


def payload_of(message: object) -> bytes:
    return encode_frame(7, FrameKind.REQUEST, 3, message)[4:]


@st.composite
def damaged_frames(draw: st.DrawFn) -> bytes:
    payload = bytearray(payload_of(draw(st.sampled_from(SAMPLES))))
    for _ in range(draw(st.integers(1, 4))):
        payload[draw(st.integers(0, len(payload) - 1))] = draw(st.integers(0, 255))
    return bytes(payload[: draw(st.integers(1, len(payload)))])


@given(st.one_of(st.binary(max_size=200), damaged_frames()))
def test_bytes_are_a_frame_or_a_protocol_violation(payload: bytes) -> None:
    try:
        message_of(decode_frame(payload))
    except ProtocolViolation as error:
        assert error.remedy


@given(damaged_frames())
def test_damaged_frame_costs_little_memory(payload: bytes) -> None:
    tracemalloc.start()
    try:
        decode_frame(payload)
    except ProtocolViolation:
        pass
    finally:
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
    assert peak < MEMORY_LIMIT_BYTES


async def answer_done(exchange: Exchange) -> None:
    if isinstance(exchange.message, messages.FetchSnapshot):
        raise RuntimeError("a secret of the handler")
    exchange.finish(messages.Done("fine"))


def node(network: MemoryNetwork, name: str, key: str = "key") -> PeerNode:
    identity = Identity(name, Role.AGENT, "place", f"incarnation-{name}")
    return PeerNode(network, identity, key, answer_done)


async def with_server(attack: Callable[[Stream], None]) -> tuple[bytes, messages.Done]:
    """Attack a listener, then return what it answered and that a friend is still served."""
    network = MemoryNetwork()
    server, friend = node(network, "server"), node(network, "friend")
    await server.start(ADDRESS)
    stream = await network.connect(ADDRESS)
    attack(stream)
    answered = await asyncio.wait_for(stream.read(1 << 20), 60.0)
    done = await friend.call(ADDRESS, messages.Done("hello"), 5.0)
    await friend.close()
    await server.close()
    return answered, done


@given(st.one_of(st.binary(min_size=1, max_size=100), damaged_frames()), st.booleans())
def test_stranger_does_not_disturb_the_listener(data: bytes, framed: bool) -> None:
    sent = len(data).to_bytes(4, "big") + data if framed else data

    def attack(stream: Stream) -> None:
        stream.write(sent)

    answered, done = run_virtual(with_server(attack))
    assert b"Traceback" not in answered
    assert done.note == "fine"


def test_announced_size_over_the_limit_is_refused_before_it_is_read() -> None:
    def attack(stream: Stream) -> None:
        stream.write((1 << 31).to_bytes(4, "big"))

    _, done = run_virtual(with_server(attack))
    assert done.note == "fine"


async def connect_with(key: str) -> None:
    network = MemoryNetwork()
    server, stranger = node(network, "server"), node(network, "stranger", key)
    await server.start(ADDRESS)
    try:
        await stranger.call(ADDRESS, messages.Done(), 5.0)
    finally:
        assert not server.links
        await stranger.close()
        await server.close()


def test_wrong_fleet_key_gets_no_link() -> None:
    with pytest.raises((BadFleetKey, ConnectionLost)):
        run_virtual(connect_with("another key"))


async def call_without_proof(message: object) -> bytes:
    """Send a request in place of the proof, and return everything that comes back."""
    network = MemoryNetwork()
    server = node(network, "server")
    await server.start(ADDRESS)
    stream = await network.connect(ADDRESS)
    stream.write(encode_frame(0, FrameKind.NOTIFY, 0, SAMPLES[0]))
    stream.write(encode_frame(1, FrameKind.REQUEST, 0, message))
    answered = b""
    while data := await asyncio.wait_for(stream.read(1 << 20), 60.0):
        answered += data
    await server.close()
    return answered


def test_call_before_the_proof_is_not_handled() -> None:
    answered = run_virtual(call_without_proof(messages.Done("let me in")))
    assert b"fine" not in answered


async def replayed_greeting() -> bool:
    """Record a friend's greeting and send it again; return whether the server let it in."""
    network = MemoryNetwork()
    server, friend = node(network, "server"), node(network, "friend")
    recorded: list[bytes] = []
    await server.start(ADDRESS)

    async def relay(stream: Stream) -> None:
        onward = await network.connect(ADDRESS)

        async def forward(source: Stream, sink: Stream, keep: bool) -> None:
            while data := await source.read(1 << 16):
                if keep:
                    recorded.append(data)
                sink.write(data)

        await asyncio.gather(forward(stream, onward, True), forward(onward, stream, False))

    await network.listen("10.0.0.9:7000", relay)
    await friend.call("10.0.0.9:7000", messages.Done(), 5.0)
    await friend.close()
    before = len(server.links)
    stream = await network.connect(ADDRESS)
    stream.write(b"".join(recorded))
    await asyncio.sleep(1.0)
    let_in = len(server.links) > before
    await server.close()
    return let_in


def test_replayed_greeting_is_refused() -> None:
    assert not run_virtual(replayed_greeting())


async def failing_call() -> messages.Failure:
    network = MemoryNetwork()
    server, friend = node(network, "server"), node(network, "friend")
    await server.start(ADDRESS)
    try:
        await friend.call(ADDRESS, messages.FetchSnapshot(0), 5.0)
    except ProtocolViolation as error:
        return error.to_failure()
    finally:
        await friend.close()
        await server.close()
    raise AssertionError("the call went through")


def test_failing_handler_sends_no_traceback() -> None:
    failure = run_virtual(failing_call())
    assert "Traceback" not in failure.reason
    assert failure.code
