"""Generate `src/lacewinggw/generated` from `schema/`: the thrift code, then typed stubs for it.

The thrift compiler writes untyped Python; the stubs, read off each struct's own field table, give
mypy the types. Run by `make schema`; `--check DIR` writes elsewhere and compares.
"""

import filecmp
import importlib
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from thrift.Thrift import TType

ROOT = Path(__file__).resolve().parent.parent
GENERATED = ROOT / "src" / "lacewinggw" / "generated"
SCHEMAS = ("messages", "settings")
SCALARS = {
    TType.BOOL: "bool",
    TType.BYTE: "int",
    TType.I16: "int",
    TType.I32: "int",
    TType.I64: "int",
    TType.DOUBLE: "float",
}


def run_compiler(out: Path) -> None:
    """Run the thrift compiler for each schema, into a package tree below `out`."""
    for name in SCHEMAS:
        source = ROOT / "schema" / f"{name}.thrift"
        command = ["thrift", "--gen", "py:slots,enum", "-out", str(out), str(source)]
        subprocess.run(command, check=True)


def type_name(kind: int, details: Any) -> str:
    """Return the annotation for one field of the given thrift type."""
    if kind == TType.STRING:
        return "bytes" if details == "BINARY" else "str"
    if kind == TType.STRUCT:
        return str(details[0].__name__)
    if kind in (TType.LIST, TType.SET):
        container = "list" if kind == TType.LIST else "set"
        return f"{container}[{type_name(details[0], details[1])}]"
    if kind == TType.MAP:
        return f"dict[{type_name(details[0], details[1])}, {type_name(details[2], details[3])}]"
    return SCALARS[kind]


def struct_lines(struct: Any) -> Iterator[str]:
    """Yield the stub of one struct: its attributes, constructor and codec methods."""
    fields = [spec for spec in struct.thrift_spec or () if spec is not None]
    yield f"class {struct.__name__}:"
    parameters = ["self"]
    for _, kind, name, details, _ in fields:
        annotation = type_name(kind, details)
        yield f"    {name}: {annotation}"
        parameters.append(f"{name}: {annotation} | None = ...")
    yield "    thrift_spec: ClassVar[tuple[Any, ...]]"
    yield f"    def __init__({', '.join(parameters)}) -> None: ..."
    yield "    def read(self, iprot: Any) -> None: ..."
    yield "    def write(self, oprot: Any) -> None: ..."
    yield "    def validate(self) -> None: ..."


def enum_lines(enum: Any) -> Iterator[str]:
    """Yield the stub of one enumeration."""
    yield f"class {enum.__name__}(IntEnum):"
    for member in enum:
        yield f"    {member.name} = {member.value}"


def stub_text(module: Any) -> str:
    """Return the whole stub file of a generated `ttypes` module."""
    lines = ["from enum import IntEnum", "from typing import Any, ClassVar", ""]
    for value in vars(module).values():
        if not isinstance(value, type) or value.__module__ != module.__name__:
            continue
        is_struct = hasattr(value, "thrift_spec")
        lines.extend(struct_lines(value) if is_struct else enum_lines(value))
        lines.append("")
    return "\n".join(lines)


def write_stubs(package_root: Path) -> None:
    """Import each generated module below `package_root` and write its stub beside it."""
    sys.path.insert(0, str(package_root / "lacewinggw" / "generated"))
    for name in SCHEMAS:
        module = importlib.import_module(f"{name}.ttypes")
        stub = package_root / "lacewinggw" / "generated" / name / "ttypes.pyi"
        stub.write_text(stub_text(module))


def generate() -> Path:
    """Generate everything into a fresh folder and return the generated package's path."""
    out = Path(tempfile.mkdtemp(prefix="schema-"))
    run_compiler(out)
    write_stubs(out)
    for cache in out.rglob("__pycache__"):
        shutil.rmtree(cache)
    return out / "lacewinggw" / "generated"


def differing_files(fresh: Path) -> list[str]:
    """Name the files that differ between the committed code and a fresh generation."""
    names = [str(path.relative_to(fresh)) for path in fresh.rglob("*.py*") if path.is_file()]
    _, mismatch, errors = filecmp.cmpfiles(fresh, GENERATED, names, shallow=False)
    return sorted(mismatch + errors)


def main() -> int:
    """Generate into the source tree, or with `--check` compare against it."""
    fresh = generate()
    if "--check" in sys.argv:
        differing = differing_files(fresh)
        for name in differing:
            print(f"generated/{name} does not match schema/: run `make schema` and commit it")
        return 1 if differing else 0
    shutil.rmtree(GENERATED, ignore_errors=True)
    shutil.copytree(fresh, GENERATED)
    return 0


if __name__ == "__main__":
    sys.exit(main())
