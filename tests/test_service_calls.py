"""Calls to services of the platform over links with little bandwidth.

With a time limit for the whole answer, a read never finished over a link on which the answer took
longer, and restarted each time; `fleet/test_narrow_border.py` shows the effect on a fleet.
"""

import asyncio

import pytest

from lacewinggw.clients.calls import decode_json
from lacewinggw.clients.objects import ObjectClient
from lacewinggw.errors import BadPlatformAnswer, PlatformUnavailable
from lacewinggw.lab.memory import MemoryNetwork
from lacewinggw.lab.objects import ObjectStandIn
from lacewinggw.wire.http import Response

pytestmark = pytest.mark.looptime

SERVICE_IP = "10.0.0.1"
CLIENT_IP = "10.0.0.2"
TIMEOUT_S = 1.0
BORDER_BYTES_PER_S = 500_000
DATA = bytes(range(256)) * 8192  # 2 MB take four seconds


async def start(network: MemoryNetwork) -> tuple[ObjectStandIn, ObjectClient]:
    """Start a service and its client on the two sides of a border with little bandwidth."""
    network.part_regions({SERVICE_IP: "north", CLIENT_IP: "south"}, BORDER_BYTES_PER_S)
    service = ObjectStandIn(network.view(SERVICE_IP), f"{SERVICE_IP}:80")
    await service.start()
    local_client = ObjectClient(network.view(SERVICE_IP), service.address, TIMEOUT_S)
    await local_client.put("snapshot", DATA)
    await local_client.close()
    return service, ObjectClient(network.view(CLIENT_IP), service.address, TIMEOUT_S)


async def test_an_answer_that_takes_longer_than_the_limit_is_read_while_data_arrives() -> None:
    service, client = await start(MemoryNetwork())
    began = asyncio.get_running_loop().time()
    assert await client.get("snapshot") == DATA
    assert 4.0 < asyncio.get_running_loop().time() - began < 5.0
    await client.close()
    await service.close()


async def test_a_stalled_answer_fails_within_the_limit() -> None:
    network = MemoryNetwork()
    service, client = await start(network)
    reading = asyncio.ensure_future(client.get("snapshot"))
    await asyncio.sleep(2.0)
    network.hold(SERVICE_IP)
    began = asyncio.get_running_loop().time()
    with pytest.raises(PlatformUnavailable):
        await reading
    assert asyncio.get_running_loop().time() - began < TIMEOUT_S + 0.1
    await client.close()
    await service.close()


# Guards against JSON that is nested too deeply, whose error nothing handled.
def test_json_that_is_nested_too_deeply_is_a_malformed_response() -> None:
    with pytest.raises(BadPlatformAnswer):
        decode_json(Response(200, {}, b"[" * 100_000), "store", lambda value: value)
