"""Lookup of the manifest of a release, at the neighbours or at the origin."""

import asyncio
import hashlib
import random
from collections.abc import Callable

from lacewinggw.agent.downloads import WeightSource
from lacewinggw.errors import LacewingError, ManifestMismatch
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.ids import Digest
from lacewinggw.wire.peers import PeerLink

RETRY_INTERVAL_S = 0.2
MAX_RETRY_INTERVAL_S = 5.0
CALL_TIMEOUT_S = 2.0
ORIGIN_DELAY_S = 3.0


class ManifestFinder:
    """Fetches manifests from neighbours that announced them, or from the origin.

    The hosts that are first at the origin ask it at once. After a failure, each waits longer the
    later its turn is, but at most `retry_limit_s` if it is the first: when the origin returns, its
    link is not to carry the same manifest to all of them. The other hosts wait `ORIGIN_DELAY_S` to
    twice that before each request to the origin. A manifest is accepted only if `check` returns it;
    usually, if its chunk hashes give the digest.
    """

    def __init__(
        self,
        origin: WeightSource,
        rng: random.Random,
        check: "CheckManifest",
        retry_limit_s: float = MAX_RETRY_INTERVAL_S,
    ) -> None:
        self._retry_limit_s = min(retry_limit_s, MAX_RETRY_INTERVAL_S)
        self._check = check
        self.last_error = ""
        self._origin = origin
        self._rng = rng
        self._holders: dict[Digest, asyncio.Queue[PeerLink]] = {}

    def add_holder(self, digest: Digest, link: PeerLink) -> None:
        """Record that the peer of a link has the manifest of a digest being looked up."""
        holders = self._holders.get(digest)
        if holders is not None:
            holders.put_nowait(link)

    async def find(
        self, digest: Digest, turn_at_origin: Callable[[], int | None]
    ) -> messages.Manifest:
        """Return the manifest of `digest`, retrying until one is found."""
        self._holders[digest] = asyncio.Queue()
        try:
            return await self._find(digest, turn_at_origin)
        finally:
            del self._holders[digest]

    async def _find(
        self, digest: Digest, turn_at_origin: Callable[[], int | None]
    ) -> messages.Manifest:
        loop = asyncio.get_running_loop()
        origin_at = loop.time() + ORIGIN_DELAY_S * (1.0 + self._rng.random())
        pause_s = RETRY_INTERVAL_S
        while True:
            turn = turn_at_origin()
            try:
                if turn is not None or loop.time() >= origin_at:
                    origin_at = loop.time() + ORIGIN_DELAY_S * (1.0 + self._rng.random())
                    return self._check(await self._origin.manifest_by_digest(digest), digest)
            except LacewingError as error:
                self._record_error(error)
                limit_s = min((1 + (turn or 0)) * self._retry_limit_s, MAX_RETRY_INTERVAL_S)
                pause_s = min(2 * pause_s, limit_s)
            try:
                return await self._ask_holder(digest, pause_s * (0.5 + self._rng.random()))
            except (LacewingError, TimeoutError) as error:
                self._record_error(error)

    async def _ask_holder(self, digest: Digest, timeout_s: float) -> messages.Manifest:
        async with asyncio.timeout(timeout_s):
            link = await self._holders[digest].get()
        reply = await link.call(messages.FetchManifest(digest), CALL_TIMEOUT_S)
        self.last_error = ""
        return self._check(reply.manifest, digest)

    def _record_error(self, error: Exception) -> None:
        if isinstance(error, LacewingError):
            self.last_error = str(error)


CheckManifest = Callable[[messages.Manifest, Digest], messages.Manifest]


def check_named_manifest(manifest: messages.Manifest, digest: Digest) -> messages.Manifest:
    """Return a manifest whose digest field is `digest`; otherwise raise `ManifestMismatch`.

    This is for fleets where a release is identified by name. The chunk hashes are those that the
    operators' origin gave to one of this fleet's processes.
    """
    if manifest.digest != digest or len(manifest.chunk_sizes) != len(manifest.chunk_hashes):
        raise ManifestMismatch(f"received a manifest of {manifest.digest} instead of {digest}")
    return manifest


def check_manifest(manifest: messages.Manifest, digest: Digest) -> messages.Manifest:
    """Return a manifest whose hashes give the digest; otherwise raise `ManifestMismatch`."""
    found = hashlib.sha256(b"".join(manifest.chunk_hashes)).hexdigest()
    if found != digest or len(manifest.chunk_sizes) != len(manifest.chunk_hashes):
        raise ManifestMismatch(f"received a manifest of {found} instead of {digest}")
    return manifest
