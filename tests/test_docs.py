"""Documentation: every page is in its index, and no link is broken."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
LINK = re.compile(r"\]\((?!https?:)(?P<path>[^)#]+)")
PAGES = sorted([*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")])


def relative(path: Path) -> str:
    """Return the path from the root, as a test's id."""
    return str(path.relative_to(ROOT))


@pytest.mark.parametrize("page", PAGES, ids=relative)
def test_links_are_not_broken(page: Path) -> None:
    links = LINK.findall(page.read_text())
    assert [link for link in links if not (page.parent / link).exists()] == []


@pytest.mark.parametrize("folder", ["design", "operators"])
def test_each_page_is_in_the_index(folder: str) -> None:
    index = ROOT / "docs" / folder / "README.md"
    pages = [path.name for path in index.parent.glob("*.md") if path != index]
    missing = [name for name in sorted(pages) if f"({name})" not in index.read_text()]
    assert missing == [], f"add a row for it to docs/{folder}/README.md"
