"""Pages for operators at an entry of a declared fleet: health, metrics and evacuated zones."""

from lacewinggw.frontend.evacuations import EvacuationMonitor
from lacewinggw.health import Health
from lacewinggw.wire.http import Request, Response, json_response
from lacewinggw.wire.pages import HealthPages

EVACUATIONS_PATH = "/v1/evacuations"
OK = 200


class OperatorPages:
    """Serves `/v1/evacuations`, `/metrics` and `/healthz`."""

    def __init__(self, health: Health, evacuations: EvacuationMonitor) -> None:
        self._health_pages = HealthPages(health)
        self._evacuations = evacuations

    async def handle(self, request: Request) -> Response:
        """Answer a request on the operator address."""
        if request.path == EVACUATIONS_PATH:
            return json_response(OK, {"zones": self._zones()})
        return await self._health_pages.handle(request)

    def _zones(self) -> list[dict[str, str | int | float]]:
        return [
            {
                "zone": zone.place,
                "since_s": round(zone.since_s, 3),
                "source": zone.source.value,
                "targets": zone.load.targets,
                "running": zone.load.in_flight,
                "reported": zone.load.reported,
            }
            for zone in self._evacuations.zones
        ]
