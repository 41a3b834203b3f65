"""Fuzz tests of manifests from a faulty or hostile origin.

A malformed manifest must raise an error with a code and never be accepted in part.
"""

import hashlib
import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from virtual import run_virtual

from lacewinggw.clients.weights import WeightsClient, manifest_to_json, release_digest
from lacewinggw.errors import LacewingError
from lacewinggw.generated.messages.ttypes import Manifest
from lacewinggw.ids import Digest, ReleaseName
from lacewinggw.lab.memory import MemoryNetwork
from lacewinggw.wire.http import Request, Response
from lacewinggw.wire.httpserver import HttpServer

IP = "10.0.0.1"
HASHES = [hashlib.sha256(bytes([number])).digest() for number in range(3)]
GOOD = Manifest("market-7", release_digest(HASHES), HASHES, [4, 4, 2])

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=12,
)
invalid_fields = st.dictionaries(
    st.sampled_from(["name", "digest", "chunk_hashes", "chunk_sizes"]), json_values, min_size=1
)


def fetch_manifest(body: bytes) -> Manifest:
    """Return the manifest read from an origin that answers every request with `body`."""

    async def run() -> Manifest:
        network = MemoryNetwork()

        async def answer(request: Request) -> Response:
            return Response(200, {"content-type": "application/json"}, body)

        server = HttpServer(network.view(IP), f"{IP}:0", answer)
        await server.start()
        client = WeightsClient(network, server.address, "origin", 5.0)
        try:
            await client.manifest(ReleaseName("market-7"))
            return await client.manifest_by_digest(Digest(GOOD.digest))
        finally:
            await client.close()
            await server.close()

    return run_virtual(run())


def encode(**changes: Any) -> bytes:
    return json.dumps({**manifest_to_json(GOOD), **changes}).encode()


def test_valid_manifest_is_accepted() -> None:
    assert fetch_manifest(encode()) == GOOD


@given(st.binary(max_size=200) | json_values.map(lambda value: json.dumps(value).encode()))
def test_input_that_is_no_manifest_is_rejected(body: bytes) -> None:
    with pytest.raises(LacewingError):
        fetch_manifest(body)


@given(invalid_fields)
def test_manifest_with_invalid_fields_is_rejected_or_keeps_the_same_weights(
    changes: dict[str, Any],
) -> None:
    try:
        accepted = fetch_manifest(encode(**changes))
    except LacewingError:
        return
    assert (accepted.digest, accepted.chunk_hashes) == (GOOD.digest, GOOD.chunk_hashes)
    assert len(accepted.chunk_sizes) == len(HASHES)
    assert all(size > 0 for size in accepted.chunk_sizes)


@pytest.mark.parametrize(
    "changes",
    [
        {"chunk_sizes": [4, 4]},
        {"chunk_sizes": [4, 4, 0]},
        {"chunk_sizes": [4, 4, -2]},
        {"chunk_hashes": [chunk_hash.hex() for chunk_hash in reversed(HASHES)]},
        {"chunk_hashes": ["zz"] * 3},
        {"digest": "0" * 64},
    ],
    ids=["sizes short", "size zero", "size negative", "order", "not hex", "digest"],
)
def test_inconsistent_manifest_is_rejected(changes: dict[str, Any]) -> None:
    with pytest.raises(LacewingError):
        fetch_manifest(encode(**changes))
