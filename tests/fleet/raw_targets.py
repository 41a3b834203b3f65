"""A target whose answers are written byte by byte, for answers that HTTP servers would not send."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from declared_fleet import DeclaredFleet
from platform_standins import target_row

from lacewinggw.wire.network import Listener, Stream

READ_BYTES = 1 << 16


@dataclass
class RawRequest:
    """A request as a raw target received it; header names are in lower case."""

    path: str
    headers: dict[str, str]

    @property
    def attempt_id(self) -> str:
        """The id that an answer repeats."""
        return self.headers.get("x-attempt-id", "")


Answer = Callable[[Stream, RawRequest], Awaitable[None]]


@dataclass
class RawTarget:
    """A target that reads the head of a request, lets `answer` write, and closes the connection."""

    name: str
    answer: Answer
    requests: list[RawRequest] = field(default_factory=list)
    sent_bytes: list[int] = field(default_factory=list)  # noted by `answer`
    _listener: Listener | None = None

    async def start(self, fleet: DeclaredFleet, service: str, ip: str) -> None:
        """Listen, and list the target in the store."""
        address = f"{ip}:8080"
        self._listener = await fleet.network.view(ip).listen(address, self._accept)
        fleet.store.put("servers", self.name, target_row(service, address))

    async def close(self) -> None:
        """Stop listening; open connections stay open."""
        assert self._listener is not None, "call start() first"
        await self._listener.close()

    async def _accept(self, stream: Stream) -> None:
        received = b""
        while b"\r\n\r\n" not in received:
            data = await stream.read(READ_BYTES)
            if not data:
                return  # a probe
            received += data
        first, *lines = received.partition(b"\r\n\r\n")[0].decode().split("\r\n")
        pairs = (line.split(": ", 1) for line in lines)
        request = RawRequest(first.split()[1], {name.lower(): value for name, value in pairs})
        self.requests.append(request)
        try:
            await self.answer(stream, request)
        except (OSError, asyncio.IncompleteReadError):
            stream.abort()
        else:
            stream.close()
