"""Tables of the operators' language: rows with named columns, filtered, ordered and printed."""

import fnmatch
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import TypeAlias

from lacewinggw.errors import UnknownColumn
from lacewinggw.operators.language import nearest
from lacewinggw.operators.statements import Comparison, Condition, Show, ShowCount, Word

Cell: TypeAlias = str | int | float
Row: TypeAlias = dict[str, Cell]

GAP = "  "


@dataclass(frozen=True)
class Table:
    """Rows that all have the same columns."""

    columns: tuple[str, ...]
    rows: list[Row] = field(default_factory=list)


def select(table: Table, show: Show) -> Table:
    """Return the rows and columns that a `show` asks for."""
    rows = _filtered(table, show.conditions)
    if show.order is not None:
        column = _known_column(table, show.order)
        rows = sorted(rows, key=lambda row: _sort_key(row[column]), reverse=show.descending)
    if show.limit is not None:
        rows = rows[: show.limit]
    columns = tuple(_known_column(table, word) for word in show.columns) or table.columns
    return Table(columns, [{column: row[column] for column in columns} for row in rows])


def count(table: Table, show: ShowCount) -> Table:
    """Return how many rows there are, in all or for each value of one column."""
    rows = _filtered(table, show.conditions)
    if show.by is None:
        return Table(("count",), [{"count": len(rows)}])
    column = _known_column(table, show.by)
    counts = Counter(row[column] for row in rows)
    ordered = sorted(counts, key=_sort_key)
    return Table((column, "count"), [{column: each, "count": counts[each]} for each in ordered])


def render(table: Table) -> str:
    """Return a table as text with aligned columns and a heading."""
    if not table.rows:
        return "nothing\n"
    heading = [column.replace("_", " ") for column in table.columns]
    cells = [[_text(row[column]) for column in table.columns] for row in table.rows]
    widths = [max(map(len, each)) for each in zip(heading, *cells, strict=True)]
    lines = [_line(heading, widths), *(_line(row, widths) for row in cells)]
    return "".join(f"{line}\n" for line in lines)


def _line(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return GAP.join(padded).rstrip()


def _text(cell: Cell) -> str:
    if isinstance(cell, float):
        return f"{cell:.3g}" if abs(cell) < 1000 else f"{cell:.0f}"
    return str(cell) if cell != "" else "-"


def _filtered(table: Table, conditions: Iterable[Condition]) -> list[Row]:
    rows = table.rows
    for condition in conditions:
        column = _known_column(table, condition.column)
        rows = [row for row in rows if _holds(row[column], condition)]
    return rows


def _known_column(table: Table, word: Word) -> str:
    if word.text in table.columns:
        return word.text
    close = nearest(word.text, table.columns)
    raise UnknownColumn(
        f"at character {word.position + 1}: there is no column {word.text!r}, "
        f"only {', '.join(table.columns)}",
        remedy=f"did you mean {close!r}?" if close else "",
    )


def _holds(cell: Cell, condition: Condition) -> bool:
    value = condition.value
    if condition.comparison is Comparison.LIKE:
        return fnmatch.fnmatchcase(str(cell), f"*{value}*" if "*" not in str(value) else str(value))
    left, right = _comparable(cell, value)
    match condition.comparison:
        case Comparison.EQUAL:
            return left == right
        case Comparison.UNEQUAL:
            return left != right
        case Comparison.LESS:
            return left < right
        case Comparison.AT_MOST:
            return left <= right
        case Comparison.MORE:
            return left > right
        case Comparison.AT_LEAST:
            return left >= right


def _comparable(cell: Cell, value: str | float) -> tuple[tuple[int, float, str], ...]:
    """Return both sides so that numbers compare as numbers and all else as text."""
    if isinstance(cell, int | float) and isinstance(value, int | float):
        return (0, float(cell), ""), (0, float(value), "")
    right = f"{value:g}" if isinstance(value, float) else value
    return (1, 0.0, str(cell)), (1, 0.0, right)


def _sort_key(cell: Cell) -> tuple[int, float, str]:
    if isinstance(cell, int | float):
        return (0, float(cell), "")
    return (1, 0.0, cell)
