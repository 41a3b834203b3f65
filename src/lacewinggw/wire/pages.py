"""The health pages of a process on one of its HTTP listeners."""

from lacewinggw.errors import UnknownPath
from lacewinggw.health import Health, Page
from lacewinggw.wire.http import Request, Response
from lacewinggw.wire.problems import problem_body, problem_headers


def _to_response(page: Page) -> Response:
    return Response(page.status, {"content-type": page.content_type}, page.body)


class HealthPages:
    """Answer `/metrics` and `/healthz`, and nothing else."""

    def __init__(self, health: Health) -> None:
        self._health = health

    def find(self, request: Request) -> Response | None:
        """Return the page that a request asks for, or None when it asks for something else."""
        page = self._health.page(request.path)
        return None if page is None else _to_response(page)

    async def handle(self, request: Request) -> Response:
        """Answer a request on a listener that has only these pages."""
        page = self.find(request)
        if page is not None:
            return page
        error = UnknownPath(f"{request.path} is not here", remedy="ask for /metrics or /healthz")
        return Response(error.http_status, problem_headers(error), problem_body(error))
