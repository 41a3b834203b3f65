"""When an agent sends heartbeats, and to which entries."""

import asyncio

import pytest

from lacewinggw.agent.heartbeats import HeartbeatSender
from lacewinggw.generated.messages.ttypes import Heartbeat, Watch

pytestmark = pytest.mark.looptime


class Link:
    """A link that records the messages sent on it."""

    def __init__(self):
        self.closed = asyncio.Event()
        self.sent = []

    def notify(self, message):
        self.sent.append(message.sequence)


async def start_sender():
    sender = HeartbeatSender(lambda sequence: Heartbeat(sequence=sequence), 1.0)
    await sender.start()
    return sender


async def test_each_watcher_receives_heartbeats_at_its_own_interval():
    sender = await start_sender()
    frequent, infrequent = Link(), Link()
    sender.handle_watch(frequent, Watch("entry-1"))
    sender.handle_watch(infrequent, Watch("entry-2", 10_000))
    await asyncio.sleep(60)
    await sender.close()
    assert 50 <= len(frequent.sent) <= 61
    assert 5 <= len(infrequent.sent) <= 7


async def test_a_change_is_sent_to_all_watchers_at_once():
    sender = await start_sender()
    infrequent = Link()
    sender.handle_watch(infrequent, Watch("entry-2", 10_000))
    await asyncio.sleep(0.5)
    for _ in range(20):
        sender.note_change()
    await asyncio.sleep(0.01)
    await sender.close()
    assert len(infrequent.sent) == 2


async def test_nothing_is_sent_to_a_watcher_that_stopped_or_whose_link_closed():
    sender = await start_sender()
    stopped, gone = Link(), Link()
    for link in (stopped, gone):
        sender.handle_watch(link, Watch("entry-1"))
    sender.handle_watch(stopped, Watch("entry-1", stop=True))
    gone.closed.set()
    await asyncio.sleep(5)
    await sender.close()
    assert (len(stopped.sent), len(gone.sent)) == (1, 1)
