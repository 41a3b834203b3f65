"""Calls between peer nodes, on the in-memory network under virtual time."""

import asyncio

import pytest

from lacewinggw.errors import BadFleetKey, ConnectionLost, Draining, TimedOut, Unreachable
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.lab.memory import MemoryNetwork
from lacewinggw.wire.peers import Identity, PeerNode

pytestmark = pytest.mark.looptime

SERVER, CLIENT = "10.0.0.1", "10.0.0.2"


def make_node(network, ip, handler, key="key", revision=0, **hooks):
    identity = Identity(f"host-{ip}", messages.Role.ENTRY, "kgn-hall-a", f"incarnation-{ip}")
    return PeerNode(network.view(ip), identity, key, handler, lambda: revision, **hooks)


async def reject_calls(exchange):
    raise AssertionError("nobody calls this side")


async def start_pair(handler, **hooks):
    network = MemoryNetwork()
    server = make_node(network, SERVER, handler)
    client = make_node(network, CLIENT, reject_calls, **hooks)
    await server.start(f"{SERVER}:0")
    return network, server, client


async def test_call_returns_the_last_reply():
    async def handler(exchange):
        exchange.reply(messages.Done("one"))
        exchange.finish(messages.Done("two"))

    _, server, client = await start_pair(handler)
    link = await client.link(server.address)
    assert link.remote.host == "host-10.0.0.1"
    replies = [reply.note async for reply in link.start_call(messages.FetchLog(0, 1)).replies()]
    assert replies == ["one", "two"]
    await client.close()
    await server.close()


async def test_typed_error_is_raised_at_the_caller():
    async def handler(exchange):
        raise Draining("host-1 is leaving", retry_after_ms=250)

    _, server, client = await start_pair(handler)
    with pytest.raises(Draining) as caught:
        await client.call(server.address, messages.FetchLog(0, 1), timeout_s=1.0)
    assert caught.value.retry_after_ms == 250
    await client.close()
    await server.close()


async def test_wrong_fleet_key_is_rejected():
    network, server, _ = await start_pair(reject_calls)
    intruder = make_node(network, "10.0.0.9", reject_calls, key="another")
    with pytest.raises((BadFleetKey, ConnectionLost)):
        await intruder.link(server.address)
    assert not server.links
    await intruder.close()
    await server.close()


async def test_reflected_handshake_is_rejected():
    network, server, _ = await start_pair(reject_calls)

    async def reflect(stream):
        while data := await stream.read(4096):
            stream.write(data)

    reflector = await network.view("10.0.0.8").listen("10.0.0.8:0", reflect)
    with pytest.raises(BadFleetKey):
        await server.link(reflector.address)
    await server.close()


async def test_call_that_times_out_sends_cancel_to_its_handler():
    follow_ups = []

    async def handler(exchange):
        follow_ups.append(await exchange.follow_up())

    _, server, client = await start_pair(handler)
    with pytest.raises(TimedOut):
        await client.call(server.address, messages.FetchLog(0, 1), timeout_s=2.0)
    await asyncio.sleep(0.1)
    assert isinstance(follow_ups[0], messages.Cancel)
    await client.close()
    await server.close()


async def test_lost_link_fails_calls_and_a_new_link_works():
    async def handler(exchange):
        if exchange.message.after == 0:
            await asyncio.sleep(60)

    network, server, client = await start_pair(handler)
    link = await client.link(server.address)
    call = asyncio.create_task(link.call(messages.FetchLog(0, 1), timeout_s=30.0))
    await asyncio.sleep(0.1)
    network.cut(SERVER, CLIENT)
    with pytest.raises(ConnectionLost):
        await call
    with pytest.raises(Unreachable):
        await client.link(server.address)
    network.heal(SERVER, CLIENT)
    assert isinstance(
        await client.call(server.address, messages.FetchLog(1, 1), timeout_s=1.0), messages.Done
    )
    await client.close()
    await server.close()


async def test_higher_revision_is_reported():
    seen = []
    network = MemoryNetwork()
    server = make_node(network, SERVER, reject_calls, revision=7)
    client = make_node(
        network,
        CLIENT,
        reject_calls,
        revision=3,
        on_revision=lambda link, number: seen.append(number),
    )
    await server.start(f"{SERVER}:0")
    link = await client.link(server.address)
    assert not seen
    with pytest.raises(Exception, match="nobody calls|failed"):
        await link.call(messages.FetchLog(0, 1), timeout_s=1.0)
    assert seen == [7]
    await client.close()
    await server.close()


async def test_notification_is_handled_synchronously_and_its_failure_keeps_the_link():
    notified = []

    def on_notification(link, message):
        notified.append((link.remote.host, message.note))
        if message.note == "bad":
            raise ValueError("cannot be read")
        return message.note != "later"

    handled = []

    async def handle(exchange):
        handled.append(exchange.message.note)

    network = MemoryNetwork()
    alpha = make_node(network, "10.0.0.1", handle, on_notification=on_notification)
    await alpha.start("10.0.0.1:7000")
    beta = make_node(network, "10.0.0.2", handle)
    link = await beta.link("10.0.0.1:7000")
    for note in ("good", "bad", "later", "good"):
        link.notify(messages.Done(note))
    await asyncio.sleep(0.1)
    assert [note for _, note in notified] == ["good", "bad", "later", "good"]
    assert handled == ["later"] and not link.closed.is_set()
    await beta.close()
    await alpha.close()
