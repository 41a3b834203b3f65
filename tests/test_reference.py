"""The generated pages of docs/ match the code and the schema."""

import importlib.util
from pathlib import Path
from types import ModuleType

import pytest

from lacewinggw.metrics import RetryReason

ROOT = Path(__file__).resolve().parent.parent


def load_tool(name: str) -> ModuleType:
    """Import a script from tools/, which is not a package."""
    spec = importlib.util.spec_from_file_location(name, ROOT / "tools" / f"{name}.py")
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


@pytest.mark.parametrize("page", ["ERRORS", "SETTINGS", "operators/METRICS"])
def test_page_is_up_to_date(page: str) -> None:
    name = page.rpartition("/")[2].lower()
    text = getattr(load_tool("reference"), f"{name}_text")()
    assert (ROOT / "docs" / f"{page}.md").read_text() == text, "run `make docs`"


def test_each_retry_reason_is_explained() -> None:
    assert len(list(load_tool("reference").retry_rows())) == len(RetryReason)


def test_each_setting_has_a_meaning() -> None:
    comments = load_tool("reference").schema_comments()
    fields = {field: comment for field, comment in comments.items() if field[0] != "Settings"}
    assert len(fields) > 50
    assert [field for field, comment in fields.items() if not comment] == []
