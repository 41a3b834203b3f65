"""Stand-in of the platform's object store: whole values under keys, no comparison."""

from typing import Any

from lacewinggw.lab.standin import LOOPBACK, RateMeter, StandIn, refused
from lacewinggw.wire.http import Request, Response, json_response
from lacewinggw.wire.network import Network

OBJECTS = "/objects/"


class ObjectStandIn(StandIn):
    """Objects in memory, with counts of reads and writes."""

    def __init__(self, network: Network, address: str = LOOPBACK, seed: int = 0) -> None:
        super().__init__(network, address, seed)
        self.objects: dict[str, bytes] = {}
        self.reads = RateMeter()
        self.writes = RateMeter()

    def stats(self) -> dict[str, Any]:
        """Return counts, and the bytes held."""
        return {
            "reads": self.reads.stats(),
            "writes": self.writes.stats(),
            "objects": len(self.objects),
            "bytes": sum(map(len, self.objects.values())),
        }

    async def answer(self, request: Request) -> Response:
        """Answer one read, write or listing."""
        (self.reads if request.method == "GET" else self.writes).add()
        key = request.path.removeprefix(OBJECTS)
        match request.method, request.path:
            case "GET", "/objects":
                prefix = request.query.get("prefix", "")
                keys = sorted(key for key in self.objects if key.startswith(prefix))
                return json_response(200, {"keys": keys})
            case "GET", path if path.startswith(OBJECTS):
                if key not in self.objects:
                    return refused(404, f"no object {key}")
                return Response(200, {}, self.objects[key])
            case "PUT", path if path.startswith(OBJECTS):
                self.objects[key] = request.body
                return self.written(json_response(200, {}))
            case "DELETE", path if path.startswith(OBJECTS):
                self.objects.pop(key, None)
                return self.written(json_response(200, {}))
        return refused(404, f"no {request.method} {request.path}")
