"""HTTP handler for the health and metrics pages of a process."""

from lacewinggw.errors import UnknownPath
from lacewinggw.health import Health, Page
from lacewinggw.wire.http import Request, Response
from lacewinggw.wire.problems import problem_body, problem_headers


def _to_response(page: Page) -> Response:
    return Response(page.status, {"content-type": page.content_type}, page.body)


class HealthPages:
    """Serves `/metrics` and `/healthz`."""

    def __init__(self, health: Health) -> None:
        self._health = health

    def find(self, request: Request) -> Response | None:
        """Return the page at the request's path, or None if the path is another."""
        page = self._health.page(request.path)
        return None if page is None else _to_response(page)

    async def handle(self, request: Request) -> Response:
        """Answer a request on a listener that serves only these pages, and 404 for other paths."""
        page = self.find(request)
        if page is not None:
            return page
        error = UnknownPath(f"no page at {request.path}", remedy="request /metrics or /healthz")
        return Response(error.http_status, problem_headers(error), problem_body(error))
