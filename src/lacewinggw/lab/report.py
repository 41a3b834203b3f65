"""lacewinggw-lab report: the kept results of experiments as one HTML page of plots.

Usage:
  lacewinggw-lab report [--results FOLDER] [--out FILE]
  lacewinggw-lab report --help

Options:
  --results FOLDER  Where the results lie, a JSON object a file [default: bench/results].
  --out FILE        Where the page goes [default: bench/results/report.html].
  -h --help         Show this text.

A plot without results is left out and named at the end of the page; a file that is no result of an
experiment is named there too.
"""

import json
import sys
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from html import escape
from pathlib import Path

from docopt import DocoptExit, docopt

from lacewinggw.lab.plots import PLOTS, Drawing, Result

BAD_INPUT = 2

PAGE = """<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>lacewinggw: measured</title>
<style>
body {{ font: 15px/1.5 sans-serif; max-width: 60em; margin: 2em auto; padding: 0 1em; }}
svg {{ max-width: 100%; height: auto; }}
code {{ font-size: 85%; }}
</style>
</head>
<body>
<h1>lacewinggw: measured</h1>
{sections}
{missing}
</body>
</html>
"""


@dataclass(frozen=True)
class Unread:
    """A file that holds no result, and why."""

    name: str
    reason: str


def run(arguments: list[str]) -> int:
    """Write the page; return the exit code."""
    try:
        options = docopt(__doc__ or "", ["report", *arguments])
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    folder = Path(options["--results"])
    if not folder.is_dir():
        print(f"{folder} is no folder; name the results' with --results", file=sys.stderr)
        return BAD_INPUT
    results, unread = read_results(folder)
    Path(options["--out"]).write_text(make_page(results, unread), encoding="utf-8")
    print(f"{options['--out']}: {len(results)} results")
    return 0


def read_results(folder: Path) -> tuple[list[Result], list[Unread]]:
    """Return the results of a folder by name, and the files that hold none."""
    results: list[Result] = []
    unread: list[Unread] = []
    for path in sorted(folder.glob("*.json")):
        try:
            content = json.loads(path.read_text(encoding="utf-8"))
        except (OSError, ValueError) as error:
            unread.append(Unread(path.name, str(error)))
            continue
        if isinstance(content, dict):
            results.append(Result(path.stem, content))
        else:
            unread.append(Unread(path.name, "not a JSON object"))
    return results, unread


def make_page(results: Sequence[Result], unread: Sequence[Unread] = ()) -> str:
    """Return the page: each plot that has results, and what could not be shown."""
    drawings = {title: draw(results) for title, draw in PLOTS.items()}
    sections = "\n".join(
        _section(title, drawing) for title, drawing in drawings.items() if drawing is not None
    )
    empty = [title for title, drawing in drawings.items() if drawing is None]
    return PAGE.format(sections=sections, missing=_missing(empty, unread))


def _section(title: str, drawing: Drawing) -> str:
    commands = "<br>\n".join(f"<code>{escape(command)}</code>" for command in drawing.commands)
    note = escape(drawing.note)
    return f"<h2>{escape(title)}</h2>\n<p>{note}</p>\n{drawing.svg}\n<p>{commands}</p>"


def _missing(empty: Sequence[str], unread: Sequence[Unread]) -> str:
    lines = "\n".join(f"<li>{escape(line)}</li>" for line in _missing_lines(empty, unread))
    return f"<h2>Not shown</h2>\n<ul>\n{lines}\n</ul>" if lines else ""


def _missing_lines(empty: Sequence[str], unread: Sequence[Unread]) -> Iterator[str]:
    for title in empty:
        yield f"{title}: no results"
    for each in unread:
        yield f"{each.name}: {each.reason}"
