"""Verified chunks in memory, keyed by hash so that releases share identical chunks."""

import asyncio
import hashlib
from collections.abc import Iterable

HASH_STEP_BYTES = 1 << 20


class ChunkStore:
    """Holds chunks that match their SHA-256; any other data is rejected."""

    def __init__(self) -> None:
        self._chunks: dict[bytes, bytes] = {}
        self.held_bytes = 0

    def __contains__(self, chunk_hash: bytes) -> bool:
        return chunk_hash in self._chunks

    def get(self, chunk_hash: bytes) -> bytes | None:
        """Return a chunk's bytes, or None when it is not held."""
        return self._chunks.get(chunk_hash)

    async def put(self, chunk_hash: bytes, data: bytes) -> bool:
        """Store a chunk if it matches its hash; return whether it does."""
        if await hash_chunk(data) != chunk_hash:
            return False
        if chunk_hash not in self._chunks:
            self._chunks[chunk_hash] = data
            self.held_bytes += len(data)
        return True

    def keep_only(self, hashes: Iterable[bytes]) -> None:
        """Drop every chunk whose hash is not in `hashes`."""
        for chunk_hash in self._chunks.keys() - set(hashes):
            self.held_bytes -= len(self._chunks.pop(chunk_hash))


async def hash_chunk(data: bytes) -> bytes:
    """Return the SHA-256 of a chunk, yielding to the event loop between steps."""
    digest = hashlib.sha256(data[:HASH_STEP_BYTES])
    for start in range(HASH_STEP_BYTES, len(data), HASH_STEP_BYTES):
        await asyncio.sleep(0)
        digest.update(data[start : start + HASH_STEP_BYTES])
    return digest.digest()
