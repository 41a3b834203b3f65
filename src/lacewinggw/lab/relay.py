"""A relay before a listener, so that connections can be cut without ending a process."""

import asyncio

from lacewinggw.wire.network import Listener, Network, Stream

READ_BYTES = 1 << 16


class Relay:
    """Passes bytes between whoever connects to it and one address.

    relay = Relay(network, "127.0.0.1:0", "127.0.0.2:7000")
    await relay.start()
    relay.cut()          # every connection is lost; new ones are taken
    await relay.close()
    """

    def __init__(self, network: Network, listen: str, address: str) -> None:
        self._network = network
        self._listen = listen
        self._address = address
        self._listener: Listener | None = None
        self._streams: set[Stream] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """The bound address."""
        assert self._listener is not None, "start() comes first"
        return self._listener.address

    async def start(self) -> None:
        """Listen."""
        self._listener = await self._network.listen(self._listen, self._accept)

    def cut(self) -> int:
        """Lose every connection, and return how many there were."""
        count = len(self._streams) // 2
        for stream in list(self._streams):
            stream.close()
        return count

    async def close(self) -> None:
        """Stop listening and lose every connection."""
        if self._listener is not None:
            await self._listener.close()
        self.cut()
        if self._tasks:
            await asyncio.wait(set(self._tasks))

    async def _accept(self, near: Stream) -> None:
        try:
            far = await self._network.connect(self._address)
        except (OSError, TimeoutError):
            return
        both = {near, far}
        self._streams |= both
        loop = asyncio.get_running_loop()
        ways = [loop.create_task(self._pass(*way)) for way in ((near, far), (far, near))]
        self._tasks.update(ways)
        await asyncio.wait(ways)
        self._tasks.difference_update(ways)
        self._streams -= both

    async def _pass(self, source: Stream, sink: Stream) -> None:
        try:
            while data := await source.read(READ_BYTES):
                sink.write(data)
                await sink.drain()
        except (OSError, TimeoutError):
            pass
        finally:
            source.close()
            sink.close()
