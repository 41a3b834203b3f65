"""Background loops: restart after an error, and close."""

import asyncio

import pytest

from lacewinggw.background import Background

pytestmark = pytest.mark.looptime


async def test_failed_loop_is_restarted():
    begun = []

    async def run():
        begun.append(asyncio.get_running_loop().time())
        if len(begun) < 3:
            raise ValueError("not foreseen")
        await asyncio.sleep(60)

    loop = Background("test", run)
    loop.start()
    await asyncio.sleep(10)
    assert len(begun) == 3
    await loop.close()
    await loop.close()


async def test_close_cancels_the_loop():
    ended = []

    async def run():
        try:
            await asyncio.sleep(60)
        finally:
            ended.append(True)

    loop = Background("test", run)
    loop.start()
    await asyncio.sleep(1)
    await loop.close()
    assert ended == [True]
    assert len(asyncio.all_tasks()) == 1
