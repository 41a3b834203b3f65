"""Malformed and unauthenticated input on the listener for peer connections."""

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
    """Attack a listener; return its response and the reply to a valid peer's later call."""
    network = MemoryNetwork()
    server, valid_peer = node(network, "server"), node(network, "valid_peer")
    await server.start(ADDRESS)
    stream = await network.connect(ADDRESS)
    attack(stream)
    received = await asyncio.wait_for(stream.read(1 << 20), 60.0)
    done = await valid_peer.call(ADDRESS, messages.Done("hello"), 5.0)
    await valid_peer.close()
    await server.close()
    return received, done


@given(st.one_of(st.binary(min_size=1, max_size=100), damaged_frames()), st.booleans())
def test_malformed_input_does_not_disturb_the_listener(data: bytes, framed: bool) -> None:
    sent = len(data).to_bytes(4, "big") + data if framed else data

    def attack(stream: Stream) -> None:
        stream.write(sent)

    received, done = run_virtual(with_server(attack))
    assert b"Traceback" not in received
    assert done.note == "fine"


def test_frame_length_over_the_limit_is_rejected_before_the_frame_is_read() -> None:
    def attack(stream: Stream) -> None:
        stream.write((1 << 31).to_bytes(4, "big"))

    _, done = run_virtual(with_server(attack))
    assert done.note == "fine"


async def connect_with(key: str) -> None:
    network = MemoryNetwork()
    server, intruder = node(network, "server"), node(network, "intruder", key)
    await server.start(ADDRESS)
    try:
        await intruder.call(ADDRESS, messages.Done(), 5.0)
    finally:
        assert not server.links
        await intruder.close()
        await server.close()


def test_wrong_fleet_key_gets_no_link() -> None:
    with pytest.raises((BadFleetKey, ConnectionLost)):
        run_virtual(connect_with("another key"))


async def call_without_proof(message: object) -> bytes:
    """Send a request in place of the handshake's proof; return all bytes received."""
    network = MemoryNetwork()
    server = node(network, "server")
    await server.start(ADDRESS)
    stream = await network.connect(ADDRESS)
    stream.write(encode_frame(0, FrameKind.NOTIFY, 0, SAMPLES[0]))
    stream.write(encode_frame(1, FrameKind.REQUEST, 0, message))
    received = b""
    while data := await asyncio.wait_for(stream.read(1 << 20), 60.0):
        received += data
    await server.close()
    return received


def test_call_before_authentication_is_not_handled() -> None:
    received = run_virtual(call_without_proof(messages.Done("let me in")))
    assert b"fine" not in received


async def replayed_handshake() -> bool:
    """Record a valid peer's handshake and replay it; return whether the server accepted it."""
    network = MemoryNetwork()
    server, valid_peer = node(network, "server"), node(network, "valid_peer")
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
    await valid_peer.call("10.0.0.9:7000", messages.Done(), 5.0)
    await valid_peer.close()
    before = len(server.links)
    stream = await network.connect(ADDRESS)
    stream.write(b"".join(recorded))
    await asyncio.sleep(1.0)
    accepted = len(server.links) > before
    await server.close()
    return accepted


def test_replayed_handshake_is_rejected() -> None:
    assert not run_virtual(replayed_handshake())


async def failing_call() -> messages.Failure:
    network = MemoryNetwork()
    server, valid_peer = node(network, "server"), node(network, "valid_peer")
    await server.start(ADDRESS)
    try:
        await valid_peer.call(ADDRESS, messages.FetchSnapshot(0), 5.0)
    except ProtocolViolation as error:
        return error.to_failure()
    finally:
        await valid_peer.close()
        await server.close()
    raise AssertionError("the call succeeded")


def test_failing_handler_sends_no_traceback() -> None:
    failure = run_virtual(failing_call())
    assert "Traceback" not in failure.reason
    assert failure.code
