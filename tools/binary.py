"""Build dist/lacewinggw, one executable file that holds the product and its libraries.

The file is a zip archive with a start line for Python, built by shiv from the pinned versions, the
same bytes from the same tree. docs/design/binary.md has the ways weighed. Run by `make binary`.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
OUTPUT = ROOT / "dist" / "lacewinggw"
PACKAGED = ("src", "pyproject.toml")
INTERPRETER = "/usr/bin/env -S python3.11 -sE"
EPOCH = "315532800"  # 1980-01-01, the earliest time that a zip archive can hold
UNWANTED = (
    "bin",
    "*.dist-info/RECORD",
    "*.dist-info/direct_url.json",
    "**/__pycache__",
    # pbr, which hdrhistogram asks for, brings setuptools; neither imports it when run.
    "setuptools*",
    "_distutils_hack",
    "distutils-precedence.pth",
)


def copy_sources(target: Path) -> None:
    """Copy what the package is built from, so that the build leaves nothing in the tree."""
    for name in PACKAGED:
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(source, target / name, ignore=shutil.ignore_patterns("*.egg-info"))
        else:
            shutil.copy(source, target / name)


def install(sources: Path, site: Path) -> None:
    """Install the package and its pinned dependencies into the folder `site`."""
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--disable-pip-version-check"]
    command += ["--no-compile", "--constraint", str(ROOT / "constraints.txt")]
    command += ["--target", str(site), str(sources)]
    subprocess.run(command, check=True)


def remove_unwanted(site: Path) -> None:
    """Remove what the product does not run, and what differs from build to build."""
    for pattern in UNWANTED:
        for path in list(site.glob(pattern)):
            shutil.rmtree(path) if path.is_dir() else path.unlink()


def build(site: Path, output: Path) -> None:
    """Pack the folder `site` into one executable file."""
    output.parent.mkdir(parents=True, exist_ok=True)
    command = [sys.executable, "-m", "shiv.cli", "--reproducible", "--compressed"]
    command += ["--site-packages", str(site), "--python", INTERPRETER]
    command += ["--entry-point", "lacewinggw.cli:main", "--output-file", str(output)]
    subprocess.run(command, check=True, env={**os.environ, "SOURCE_DATE_EPOCH": EPOCH})


def main() -> int:
    """Build the file and print where it is and how large."""
    with tempfile.TemporaryDirectory(prefix="binary-") as scratch:
        sources = Path(scratch, "sources")
        sources.mkdir()
        site = Path(scratch, "site")
        copy_sources(sources)
        install(sources, site)
        remove_unwanted(site)
        build(site, OUTPUT)
    print(f"{OUTPUT.relative_to(ROOT)}: {OUTPUT.stat().st_size / 2**20:.1f} MiB")
    return 0


if __name__ == "__main__":
    sys.exit(main())
