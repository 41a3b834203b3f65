"""The build for the platform: beside processes that start, cut off midway, kept from elsewhere."""

import os
import shutil
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
IMPORT = "import lacewinggw, lacewinggw.fleet.fields, xxhash; print(lacewinggw.__file__)"
STARTS = 12
BROKEN = "raise ImportError('cannot be imported here')\n"
OTHER_ABI = "import sysconfig\nsysconfig.get_config_vars()['SOABI'] = 'cpython-311-other-machine'\n"


@pytest.fixture
def checkout(tmp_path):
    """A checkout without dependencies to install: those of the tests are imported instead."""
    for name in ("src", "platform", "deploy"):
        shutil.copytree(
            ROOT / name, tmp_path / name, ignore=shutil.ignore_patterns("__pycache__", "*.egg-info")
        )
    (tmp_path / "deploy" / "requirements.txt").write_text("")
    return tmp_path


def environment(**variables):
    """Return the environment of a build, whose `python3` has the libraries of these tests."""
    path = f"{Path(sys.executable).parent}{os.pathsep}{os.environ['PATH']}"
    return {**os.environ, "PATH": path, **variables}


def run_build(checkout, **variables):
    command = ["sh", "deploy/build.sh"]
    env = environment(**variables)
    return subprocess.run(command, cwd=checkout, env=env, capture_output=True, text=True)


def build(checkout, **variables):
    result = run_build(checkout, **variables)
    assert result.returncode == 0, result.stderr


def start(checkout):
    """Import the product as a process that starts now does, with what only it has installed."""
    env = environment(PYTHONPATH=str(checkout / "target" / "deps"))
    command = [sys.executable, "-c", IMPORT]
    return subprocess.run(command, env=env, capture_output=True, text=True)


def is_built(result, checkout):
    """Return whether a start succeeded, with the built product and none that is installed."""
    return result.returncode == 0 and result.stdout.startswith(str(checkout / "target"))


def change(checkout, text):
    with (checkout / "src" / "lacewinggw" / "units.py").open("a") as source:
        source.write(f"\n# {text}\n")


def test_processes_that_start_beside_a_build_find_the_product(checkout):
    build(checkout)
    for number in range(3):
        change(checkout, f"build {number}")
        running = subprocess.Popen(["sh", "deploy/build.sh"], cwd=checkout, env=environment())
        results = [start(checkout) for _ in range(STARTS)]
        assert running.wait(60) == 0
        assert all(is_built(each, checkout) for each in results)


@pytest.mark.parametrize("after_s", [0.05, 0.2, 0.5])
def test_a_build_that_is_cut_off_leaves_the_one_before(checkout, after_s):
    build(checkout)
    change(checkout, "cut off")
    command = ["sh", "deploy/build.sh"]
    running = subprocess.Popen(command, cwd=checkout, env=environment(), start_new_session=True)
    time.sleep(after_s)
    os.killpg(running.pid, signal.SIGKILL)
    running.wait(60)
    assert is_built(start(checkout), checkout)
    build(checkout)
    assert "cut off" in (checkout / "target/deps/lacewinggw/units.py").read_text()


def test_what_is_unchanged_is_not_built_again(checkout):
    build(checkout)
    marked = checkout / "target" / "deps" / "lacewinggw" / "marked"
    marked.write_text("")
    build(checkout)
    assert marked.exists()


def test_a_folder_of_an_earlier_way_of_building_is_replaced(checkout):
    (checkout / "target" / "deps" / "lacewinggw").mkdir(parents=True)
    build(checkout)
    assert (checkout / "target" / "deps").is_symlink() and is_built(start(checkout), checkout)


def test_builds_do_not_pile_up(checkout):
    for number in range(5):
        change(checkout, f"build {number}")
        build(checkout)
    names = [each.name for each in (checkout / "target" / "builds").iterdir()]
    assert len([name for name in names if not name.startswith("dependencies")]) == 3


def test_the_linked_build_is_kept_beside_builds_with_later_times(checkout):
    for number in range(3):
        change(checkout, f"build {number}")
        build(checkout)
    later = time.time() + 3600
    for each in (checkout / "target" / "builds").iterdir():
        os.utime(each, (later, later))
    change(checkout, "newest")
    build(checkout)
    assert is_built(start(checkout), checkout)


def dependencies(checkout):
    return list((checkout / "target" / "builds").glob("dependencies-*"))


def break_import(folder):
    """Have a library fail on import, as its native code of another machine does."""
    (folder / "xxhash").mkdir(exist_ok=True)
    (folder / "xxhash" / "__init__.py").write_text(BROKEN)


# Guards against processes that cannot start: native code was taken over from another machine.
def test_dependencies_of_another_machine_are_not_used(checkout, tmp_path_factory):
    elsewhere = tmp_path_factory.mktemp("elsewhere")
    (elsewhere / "sitecustomize.py").write_text(OTHER_ABI)
    build(checkout, PYTHONPATH=str(elsewhere))
    (kept,) = dependencies(checkout)
    break_import(kept)
    break_import(checkout / "target" / "deps")
    build(checkout)
    assert is_built(start(checkout), checkout)
    change(checkout, "on this machine")
    build(checkout)
    assert is_built(start(checkout), checkout)


@pytest.mark.parametrize("is_changed", [False, True])
def test_kept_dependencies_that_cannot_be_imported_are_installed_again(checkout, is_changed):
    build(checkout)
    break_import(dependencies(checkout)[0])
    break_import(checkout / "target" / "deps")
    if is_changed:
        change(checkout, "changed")
    build(checkout)
    assert is_built(start(checkout), checkout)


# Guards against a build that succeeds although no process of it can start.
def test_a_build_that_cannot_be_imported_is_not_linked(checkout):
    build(checkout)
    change(checkout, "broken")
    source = checkout / "src" / "lacewinggw" / "units.py"
    whole = source.read_text()
    source.write_text(BROKEN)
    result = run_build(checkout)
    assert result.returncode != 0 and "cannot be imported here" in result.stderr
    assert is_built(start(checkout), checkout)
    source.write_text(whole)
    build(checkout)
    assert "broken" in (checkout / "target/deps/lacewinggw/units.py").read_text()


# Guards against an environment of another machine or folder, whose tools run other code or none.
def test_a_kept_environment_of_another_machine_is_made_again(tmp_path):
    shutil.copy(ROOT / "Makefile", tmp_path)
    for name in ("pyproject.toml", "constraints.txt"):
        (tmp_path / name).write_text("")

    # The tests run under make themselves, whose flags and level its children get.
    env = {name: value for name, value in os.environ.items() if not name.startswith("MAKE")}

    def commands(**variables):
        command = ["make", "--dry-run", "venv", "VENV=.venv", *map("=".join, variables.items())]
        return subprocess.run(command, cwd=tmp_path, env=env, capture_output=True, text=True).stdout

    first = commands()
    assert "venv --clear .venv" in first
    (tmp_path / ".venv").mkdir()
    (tmp_path / first.split()[-1]).touch()
    assert "--clear" not in commands()
    assert "--clear" in commands(PYTHON_ABI="cpython-311-other-machine")
