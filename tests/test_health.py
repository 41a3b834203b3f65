"""Responses of /metrics and /healthz."""

import json

from lacewinggw.health import Health, Readiness
from lacewinggw.metrics import Metrics


def test_not_ready_includes_the_reason() -> None:
    page = Health(Metrics(), lambda: Readiness(False, "no configuration yet")).page("/healthz")
    assert page is not None
    assert page.status == 503
    assert json.loads(page.body) == {
        "ready": False,
        "revision": 0,
        "reason": "no configuration yet",
    }


def test_readiness_is_checked_for_each_response() -> None:
    answers = iter([Readiness(False, "no configuration yet"), Readiness(True, revision=7)])
    health = Health(Metrics(), lambda: next(answers))
    statuses = [page.status for page in (health.page("/healthz"), health.page("/healthz")) if page]
    assert statuses == [503, 200]


def test_metrics_page_is_prometheus_text() -> None:
    page = Health(Metrics(), lambda: Readiness(True)).page("/metrics")
    assert page is not None
    assert page.status == 200
    assert page.content_type.startswith("text/plain; version=0.0.4")
    assert b"# TYPE lacewinggw_refusals_total counter\n" in page.body


def test_other_paths_return_none() -> None:
    assert Health(Metrics(), lambda: Readiness(True)).page("/") is None
