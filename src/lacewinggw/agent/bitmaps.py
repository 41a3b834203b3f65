"""Chunk indexes as bitmaps: the least significant bit of the first byte stands for chunk 0."""

from collections.abc import Iterable

BITS_PER_BYTE = 8


def encode_bitmap(indexes: Iterable[int], count: int) -> bytes:
    """Return the bitmap of `indexes` among `count` chunks."""
    bits = bytearray((count + BITS_PER_BYTE - 1) // BITS_PER_BYTE)
    for index in indexes:
        bits[index // BITS_PER_BYTE] |= 1 << index % BITS_PER_BYTE
    return bytes(bits)


def decode_bitmap(bitmap: bytes) -> list[int]:
    """Return the indexes of the set bits; some may be beyond the last chunk."""
    return [
        byte_index * BITS_PER_BYTE + bit
        for byte_index, byte in enumerate(bitmap)
        for bit in range(BITS_PER_BYTE)
        if byte >> bit & 1
    ]
