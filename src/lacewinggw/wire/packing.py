"""Compression of routes for transfer between entries, and their division into parts.

Each part shows a receiver behind a slow link that the transfer is making progress.
"""

import zlib
from collections.abc import Sequence

from lacewinggw.errors import ProtocolViolation

PACK_LEVEL = 1  # 350 KB take 3 ms and compress to 35 KB
PART_BYTES = 8192  # 0.13 s over a link between regions with 0.5 Mbit/s available
ROUTES_LIMIT_BYTES = 16 << 20  # the store limits rows to a few MB


def pack_routes(source: bytes) -> bytes:
    """Return compressed routes, about a tenth of their size."""
    return zlib.compress(source, PACK_LEVEL)


def unpack_routes(packed: bytes) -> bytes:
    """Return the input of `pack_routes`.

    Raises `ProtocolViolation` for malformed data and for routes over `ROUTES_LIMIT_BYTES`.
    """
    unpacker = zlib.decompressobj()
    try:
        source = unpacker.decompress(packed, ROUTES_LIMIT_BYTES)
    except zlib.error as error:
        raise ProtocolViolation(f"cannot decompress routes: {error}") from error
    if unpacker.unconsumed_tail:
        raise ProtocolViolation(f"the decompressed routes exceed {ROUTES_LIMIT_BYTES} bytes")
    return source


def split_parts(packed: bytes) -> Sequence[bytes]:
    """Split packed routes into parts of `PART_BYTES`, which the receiver joins again."""
    return [packed[start : start + PART_BYTES] for start in range(0, len(packed), PART_BYTES)]
