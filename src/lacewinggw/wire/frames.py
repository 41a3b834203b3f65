"""Frames between lacewinggw processes.

A frame is a big-endian length, then a thrift `Frame` in the compact protocol.
"""

from collections.abc import Iterator
from typing import Any

from thrift.protocol import fastbinary
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from lacewinggw.errors import FrameTooLarge, ProtocolViolation
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.wire.network import Stream

LENGTH_BYTES = 4
FRAME_LIMIT_BYTES = 20 << 20
CONTAINER_LIMIT = 1 << 20

Message = Any

_HOT_FIELDS = ("pieces", "finish", "offer", "credit", "chunk_data", "fetch_chunk", "heartbeat")
_FIELD_OF_KIND = {spec[3][0]: spec[2] for spec in messages.Body.thrift_spec if spec is not None}
_FIELDS = (*_HOT_FIELDS, *(name for name in _FIELD_OF_KIND.values() if name not in _HOT_FIELDS))


class _Source:
    """Input of thrift's C decoder, which reads the buffer and the size limits as attributes."""

    __slots__ = ("trans",)

    string_length_limit = FRAME_LIMIT_BYTES
    container_length_limit = CONTAINER_LIMIT

    def __init__(self, data: bytes) -> None:
        self.trans = TMemoryBuffer(data)


def encode_struct(struct: Any) -> bytes:
    """Encode one thrift struct in the compact protocol."""
    kind = type(struct)
    encoded: bytes = fastbinary.encode_compact(struct, [kind, kind.thrift_spec])
    return encoded


def decode_struct(struct: Any, data: bytes) -> Any:
    """Fill `struct` from bytes in the compact protocol and return it.

    Raises `ProtocolViolation` when the bytes are not one complete struct.
    """
    kind = type(struct)
    try:
        fastbinary.decode_compact(struct, _Source(data), [kind, kind.thrift_spec])
    except (TException, EOFError, TypeError, ValueError, OverflowError, MemoryError) as error:
        raise ProtocolViolation(f"cannot decode a {kind.__name__}: {error}") from error
    return struct


def encode_frame(call: int, kind: messages.FrameKind, revision: int, message: Message) -> bytes:
    """Return one encoded frame, prefixed with its length."""
    body = messages.Body()
    setattr(body, _FIELD_OF_KIND[type(message)], message)
    payload = encode_struct(messages.Frame(call, kind, revision, body))
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


def decode_frame(payload: bytes) -> messages.Frame:
    """Decode one frame without its length; raise `ProtocolViolation` when it is malformed."""
    frame: messages.Frame = decode_struct(messages.Frame(), payload)
    if frame.call is None or frame.kind is None or frame.body is None:
        raise ProtocolViolation("the frame lacks its call, kind or body")
    return frame


def message_of(frame: messages.Frame) -> Message:
    """Return the message in a frame's body; raise `ProtocolViolation` when its type is unknown."""
    body = frame.body
    for name in _FIELDS:
        message = getattr(body, name)
        if message is not None:
            return message
    raise ProtocolViolation("the frame contains no message of a known type")


async def read_frame(stream: Stream, limit_bytes: int = FRAME_LIMIT_BYTES) -> messages.Frame:
    """Read the next frame; raise `FrameTooLarge` before an oversized one is read into memory."""
    size = int.from_bytes(await stream.readexactly(LENGTH_BYTES), "big")
    if size > limit_bytes:
        raise FrameTooLarge(f"a frame of {size} bytes exceeds the limit of {limit_bytes}")
    return decode_frame(await stream.readexactly(size))


class FrameSplitter:
    """Splits a stream of bytes into frames.

    splitter = FrameSplitter()
    for frame in splitter.feed(data): ...
    """

    def __init__(self, limit_bytes: int = FRAME_LIMIT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[messages.Frame]:
        """Yield each frame that `data` completes.

        Raises `FrameTooLarge` as soon as the length of an oversized frame is known, before its
        bytes are buffered, and `ProtocolViolation` for a malformed frame.
        """
        buffer = self._buffer
        buffer += data
        start = 0
        try:
            while len(buffer) - start >= LENGTH_BYTES:
                begin = start + LENGTH_BYTES
                size = int.from_bytes(buffer[start:begin], "big")
                if size > self._limit_bytes:
                    raise FrameTooLarge(f"a frame of {size} bytes exceeds {self._limit_bytes}")
                if len(buffer) < begin + size:
                    return
                start = begin + size
                yield decode_frame(bytes(buffer[begin:start]))
        finally:
            del buffer[:start]
