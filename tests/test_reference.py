"""The generated pages of docs/ are in step with the code and the schema."""

import importlib.util
from pathlib import Path
from types import ModuleType

import pytest

ROOT = Path(__file__).resolve().parent.parent


def load_tool(name: str) -> ModuleType:
    """Import a script of tools/, which is no package."""
    spec = importlib.util.spec_from_file_location(name, ROOT / "tools" / f"{name}.py")
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


@pytest.mark.parametrize("page", ["errors", "settings"])
def test_page_is_in_step(page: str) -> None:
    text = getattr(load_tool("reference"), f"{page}_text")()
    assert (ROOT / "docs" / f"{page.upper()}.md").read_text() == text, "run `make docs`"


def test_each_setting_has_a_meaning() -> None:
    comments = load_tool("reference").schema_comments()
    fields = {field: comment for field, comment in comments.items() if field[0] != "Settings"}
    assert len(fields) > 50
    assert [field for field, comment in fields.items() if not comment] == []
