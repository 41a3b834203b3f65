"""Chunk indexes as bitmaps: the least significant bit of the first byte stands for chunk 0."""

from collections.abc import Iterable

BITS = 8


def encode_bitmap(indexes: Iterable[int], count: int) -> bytes:
    """Return the bitmap of `indexes` among `count` chunks."""
    bits = bytearray((count + BITS - 1) // BITS)
    for index in indexes:
        bits[index // BITS] |= 1 << index % BITS
    return bytes(bits)


def decode_bitmap(bitmap: bytes) -> list[int]:
    """Return the indexes that a bitmap stands for; some may be beyond the last chunk."""
    return [
        at * BITS + bit for at, byte in enumerate(bitmap) for bit in range(BITS) if byte >> bit & 1
    ]
