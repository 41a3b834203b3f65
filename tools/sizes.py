"""Print how much code there is of each kind, and what has grown large; run by `make sizes`.

Lines count when they hold code: no blanks, no comments, no docstrings, nothing generated. With
`--check`, exit with 1 when the tests are a third or more of all code.
"""

import ast
import io
import sys
import tokenize
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TEST_SHARE_LIMIT = 1 / 3
LARGE_MODULE = 400
LARGE_FUNCTION = 40
SHOWN = 10
LAYOUT = {
    tokenize.COMMENT,
    tokenize.NL,
    tokenize.NEWLINE,
    tokenize.INDENT,
    tokenize.DEDENT,
    tokenize.ENDMARKER,
}


@dataclass(frozen=True)
class Piece:
    """A module or function, and its lines of code."""

    name: str
    lines: int


def docstring_lines(tree: ast.AST) -> set[int]:
    """Return the numbers of all lines that docstrings take."""
    found: set[int] = set()
    for node in ast.walk(tree):
        if not isinstance(node, ast.Module | ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
            continue
        if ast.get_docstring(node, clean=False) is not None:
            text = node.body[0]
            found.update(range(text.lineno, (text.end_lineno or text.lineno) + 1))
    return found


def code_lines(source: str) -> set[int]:
    """Return the numbers of the lines that hold code."""
    found: set[int] = set()
    for token in tokenize.generate_tokens(io.StringIO(source).readline):
        if token.type not in LAYOUT:
            found.update(range(token.start[0], token.end[0] + 1))
    return found - docstring_lines(ast.parse(source))


def functions(name: str, source: str) -> Iterator[Piece]:
    """Yield each function of a module, with its lines of code."""
    lines = code_lines(source)
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            own = lines & set(range(node.lineno, (node.end_lineno or node.lineno) + 1))
            yield Piece(f"{name}:{node.lineno} {node.name}", len(own))


def group_of(path: Path) -> str:
    """Return the kind of code that a module is, by where it lies."""
    parts = path.relative_to(ROOT).parts
    if parts[0] != "src":
        return parts[0]
    return f"src/{parts[2]}" if len(parts) > 3 else "src (base)"


def modules() -> list[Path]:
    """Return all modules of ours."""
    found = (path for folder in ("src", "tests", "tools") for path in (ROOT / folder).rglob("*.py"))
    return sorted(path for path in found if "generated" not in path.parts)


def print_largest(title: str, pieces: list[Piece], limit: int) -> None:
    """Print the largest pieces over a limit."""
    large = sorted((piece for piece in pieces if piece.lines > limit), key=lambda p: -p.lines)
    print(f"\n{title} over {limit} lines: {len(large)}")
    for piece in large[:SHOWN]:
        print(f"  {piece.lines:6} {piece.name}")


def main() -> int:
    """Print the report."""
    groups: dict[str, int] = {}
    sized: list[Piece] = []
    inner: list[Piece] = []
    for path in modules():
        source = path.read_text()
        name = str(path.relative_to(ROOT))
        sized.append(Piece(name, len(code_lines(source))))
        inner.extend(functions(name, source))
        groups[group_of(path)] = groups.get(group_of(path), 0) + sized[-1].lines
    total = sum(groups.values())
    for group, lines in sorted(groups.items()):
        print(f"{lines:8} {lines / total:6.1%} {group}")
    print(f"{total:8}        all")
    print_largest("modules", sized, LARGE_MODULE)
    print_largest("functions", inner, LARGE_FUNCTION)
    too_many = groups.get("tests", 0) >= total * TEST_SHARE_LIMIT
    if too_many:
        print("\nthe tests are a third or more of all code")
    return 1 if too_many and "--check" in sys.argv else 0


if __name__ == "__main__":
    sys.exit(main())
