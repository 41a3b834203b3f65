"""Routes as they travel between entries: packed, and in parts.

Parts show a receiver behind a narrow link that the rest is on its way.
"""

import zlib
from collections.abc import Sequence

from lacewinggw.errors import ProtocolViolation

PACK_LEVEL = 1  # 350 KB take 3 ms, and come out at 35
PART_BYTES = 8192  # 0.13 s over a border that has 0.5 Mbit/s left for it
ROUTES_LIMIT_BYTES = 16 << 20  # a store takes rows of some MB at most


def pack_routes(source: bytes) -> bytes:
    """Return routes as they travel between entries: a tenth of their size."""
    return zlib.compress(source, PACK_LEVEL)


def unpack_routes(packed: bytes) -> bytes:
    """Return what `pack_routes` was given; raise `ProtocolViolation` for anything else."""
    unpacker = zlib.decompressobj()
    try:
        source = unpacker.decompress(packed, ROUTES_LIMIT_BYTES)
    except zlib.error as error:
        raise ProtocolViolation(f"routes that are not packed: {error}") from error
    if unpacker.unconsumed_tail:
        raise ProtocolViolation(f"routes of more than {ROUTES_LIMIT_BYTES} bytes")
    return source


def split_parts(packed: bytes) -> Sequence[bytes]:
    """Return packed routes in parts, to be joined by whoever gets them."""
    return [packed[start : start + PART_BYTES] for start in range(0, len(packed), PART_BYTES)]
