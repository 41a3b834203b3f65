"""Names of the platform occur only in the adapter, and the product does not import the adapter."""

import re
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
SOURCES = sorted((ROOT / "src").rglob("*.py"))
WIRE_NAMES = re.compile(
    r"X-(Attempt|Response-Seal|Not-Executed|Expected|Deadline-Remaining|Key\b|Tenant|Model\b)"
    r"|rows-(tx|get|feed)|SchemaVersion|stage-(put|get)|LACEWINGGW_BOOT|ApiKeys|TargetLatencyMs"
    r"|AfterRevision|ItemCount|FencingToken|TrafficSplit|ColdRemainingMs|KvTotalTokens",
    re.IGNORECASE,
)
ADAPTER = re.compile(r"^\s*(from|import) lacewinggw_platform", re.MULTILINE)


def test_the_product_contains_no_platform_names():
    found = {path.name: WIRE_NAMES.findall(path.read_text()) for path in SOURCES}
    assert {name for name, names in found.items() if names} == set()


def test_the_product_does_not_import_the_adapter():
    assert [path.name for path in SOURCES if ADAPTER.search(path.read_text())] == []


def test_the_adapter_is_small():
    lines = sum(len(path.read_text().splitlines()) for path in (ROOT / "platform").rglob("*.py"))
    assert lines < 800
