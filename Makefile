# Each target works in $(VENV), which it makes first when it is missing or out of date.
PYTHON ?= $(shell command -v python3.11 || command -v python3)
VENV ?= .venv
BIN := $(VENV)/bin
# An environment that was kept serves only this version of Python on this kind of machine, and this
# folder, whose sources it links to.
PYTHON_ABI := $(shell $(PYTHON) -c 'import sysconfig; print(sysconfig.get_config_var("SOABI"))')
STAMP := $(VENV)/.made-$(PYTHON_ABI)-$(shell pwd | cksum | cut -d ' ' -f 1)
CHECKED := src platform tests tools
TEST_PROCESSES ?= 8

.PHONY: venv demo test lint format types schema schema-check docs sizes binary clean

venv: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv --clear $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $(STAMP)

# The main job on loopback: weights spread, engines load them, callers get answers.
demo: venv
	$(BIN)/lacewinggw-lab demo

# The order of sets of strings is fixed too, so that every run gives the same verdict. Tests that
# measure a process under a crowd of clients run one by one, apart from the others.
test: export PYTHONHASHSEED = 0
test: venv
	$(BIN)/python -m pytest -n $(TEST_PROCESSES) --dist load --maxschedchunk 1 -m "not crowd"
	$(BIN)/python -m pytest -m crowd

lint: venv
	$(BIN)/black --check --quiet $(CHECKED) || $(BIN)/black --check $(CHECKED)
	$(BIN)/ruff check $(CHECKED)

format: venv
	$(BIN)/black $(CHECKED)
	$(BIN)/ruff check --fix $(CHECKED)

types: venv
	$(BIN)/mypy

# Both want Debian's thrift-compiler, version 0.17. The pages made from the schema go with it.
schema: venv
	$(BIN)/python tools/generate.py
	$(BIN)/python tools/reference.py

schema-check: venv
	$(BIN)/python tools/generate.py --check

# docs/ERRORS.md and docs/SETTINGS.md, from the code and the schema.
docs: venv
	$(BIN)/python tools/reference.py

# Lines of code by kind, and what has grown large.
sizes: venv
	$(BIN)/python tools/sizes.py

# One executable file, dist/lacewinggw; see docs/design/binary.md.
binary: venv
	$(BIN)/python tools/binary.py

clean:
	rm -rf build dist $(VENV)
