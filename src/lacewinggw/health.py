"""Responses of `/metrics` and `/healthz`; the caller serves them on its HTTP listener."""

import json
from collections.abc import Callable
from dataclasses import dataclass

from lacewinggw.metrics import Metrics

METRICS_PATH = "/metrics"
HEALTH_PATH = "/healthz"
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
JSON_TYPE = "application/json"
STATUS_READY = 200
STATUS_NOT_READY = 503


@dataclass(frozen=True)
class Readiness:
    """Whether a process can serve, the `reason` if it cannot, and its applied `revision`."""

    ready: bool
    reason: str = ""
    revision: int = 0


@dataclass(frozen=True)
class Page:
    """A complete HTTP response."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True)
class Health:
    """The metrics and health pages of one process.

    `readiness` is called for each response; a process is ready only with a configuration.
    """

    metrics: Metrics
    readiness: Callable[[], Readiness]

    def page(self, path: str) -> Page | None:
        """Return the response for `path`, or None when it is neither page."""
        match path:
            case "/metrics":
                return Page(STATUS_READY, METRICS_TYPE, self.metrics.render().encode())
            case "/healthz":
                return _health_page(self.readiness())
            case _:
                return None


def _health_page(readiness: Readiness) -> Page:
    status = STATUS_READY if readiness.ready else STATUS_NOT_READY
    fields: dict[str, bool | int | str] = {"ready": readiness.ready, "revision": readiness.revision}
    if readiness.reason:
        fields["reason"] = readiness.reason
    return Page(status, JSON_TYPE, json.dumps(fields).encode() + b"\n")
