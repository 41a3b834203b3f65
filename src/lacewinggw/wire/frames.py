"""Frames between lacewinggw processes: a length, then a thrift `Frame` in the compact protocol."""

from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from lacewinggw.errors import FrameTooLarge, ProtocolViolation
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.wire.network import Stream

LENGTH_BYTES = 4
FRAME_LIMIT_BYTES = 20 << 20
CONTAINER_LIMIT = 1 << 20

Message = Any

_PROTOCOLS = TCompactProtocolAcceleratedFactory(
    string_length_limit=FRAME_LIMIT_BYTES, container_length_limit=CONTAINER_LIMIT, fallback=False
)
_FIELD_OF_KIND = {spec[3][0]: spec[2] for spec in messages.Body.thrift_spec if spec is not None}
_FIELDS = tuple(_FIELD_OF_KIND.values())


def encode_struct(struct: Any) -> bytes:
    """Encode one thrift struct in the compact protocol."""
    buffer = TMemoryBuffer()
    struct.write(_PROTOCOLS.getProtocol(buffer))
    return bytes(buffer.getvalue())


def decode_struct(struct: Any, data: bytes) -> Any:
    """Fill `struct` from bytes in the compact protocol, and return it.

    Raises `ProtocolViolation` when the bytes are not one whole struct.
    """
    try:
        struct.read(_PROTOCOLS.getProtocol(TMemoryBuffer(data)))
    except (TException, EOFError, TypeError, ValueError, OverflowError, MemoryError) as error:
        kind = type(struct).__name__
        raise ProtocolViolation(f"bytes that are not a {kind}: {error}") from error
    return struct


def encode_frame(call: int, kind: messages.FrameKind, revision: int, message: Message) -> bytes:
    """Encode one frame, its length in front."""
    body = messages.Body()
    setattr(body, _FIELD_OF_KIND[type(message)], message)
    payload = encode_struct(messages.Frame(call, kind, revision, body))
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


def decode_frame(payload: bytes) -> messages.Frame:
    """Decode one frame, without its length; raise `ProtocolViolation` when it is malformed."""
    frame: messages.Frame = decode_struct(messages.Frame(), payload)
    if frame.call is None or frame.kind is None or frame.body is None:
        raise ProtocolViolation("a frame without call, kind or body")
    return frame


def message_of(frame: messages.Frame) -> Message:
    """Return the one message that the frame carries."""
    body = frame.body
    for name in _FIELDS:
        message = getattr(body, name)
        if message is not None:
            return message
    raise ProtocolViolation("a frame with an unknown message")


async def read_frame(stream: Stream, limit_bytes: int = FRAME_LIMIT_BYTES) -> messages.Frame:
    """Read the next frame; raise `FrameTooLarge` before it costs memory."""
    size = int.from_bytes(await stream.readexactly(LENGTH_BYTES), "big")
    if size > limit_bytes:
        raise FrameTooLarge(f"a frame of {size} bytes is over the limit of {limit_bytes}")
    return decode_frame(await stream.readexactly(size))
