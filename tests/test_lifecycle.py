"""The steps of a target towards what the configuration wants."""

import pytest

from lacewinggw.decisions.lifecycle import (
    Activate,
    Adapt,
    Load,
    Observed,
    Progress,
    Retire,
    Serve,
    Stage,
    Unload,
    Wait,
    Wanted,
    next_step,
)

OLD, NEW = "aa", "bb"
SERVE_OLD = Wanted("writer", "market-6", OLD)
PREPARE_NEW = Wanted("writer", "market-6", OLD, "market-7", NEW)
SERVE_NEW = Wanted("writer", "market-7", NEW)

CASES = [
    ("silent target", SERVE_OLD, Observed(False), Wait("the target does not answer")),
    ("nothing wanted", None, Observed(True, OLD, frozenset({OLD})), Retire()),
    ("plain service", Wanted("desk", "", ""), Observed(True), Serve("")),
    ("fresh engine", SERVE_OLD, Observed(True), Wait("the manifest is not here yet")),
    (
        "chunks arrive",
        SERVE_OLD,
        Observed(True, progress=Progress(2, 1, 8)),
        Stage(OLD),
    ),
    (
        "chunks missing",
        SERVE_OLD,
        Observed(True, progress=Progress(2, 2, 8)),
        Wait("2 of 8 chunks are here"),
    ),
    ("all staged", SERVE_OLD, Observed(True, progress=Progress(8, 8, 8)), Load(OLD)),
    ("loaded", SERVE_OLD, Observed(True, "", frozenset({OLD})), Activate(OLD)),
    ("active", SERVE_OLD, Observed(True, OLD, frozenset({OLD})), Serve(OLD)),
    (
        "next one arrives while the old one serves",
        PREPARE_NEW,
        Observed(True, OLD, frozenset({OLD}), Progress(8, 8, 8)),
        Load(NEW, serving=True),
    ),
    (
        "both loaded, not its turn",
        PREPARE_NEW,
        Observed(True, OLD, frozenset({OLD, NEW})),
        Serve(OLD),
    ),
    ("its turn", SERVE_NEW, Observed(True, OLD, frozenset({OLD, NEW})), Activate(NEW)),
    ("changed over", SERVE_NEW, Observed(True, NEW, frozenset({OLD, NEW})), Unload((OLD,))),
    (
        "engine activated what nobody wants",
        SERVE_OLD,
        Observed(True, NEW, frozenset({OLD, NEW})),
        Activate(OLD),
    ),
    (
        "another role and other adapters",
        Wanted("writer", "market-6", OLD, role="decode", adapters=frozenset({"fijian", "radio"})),
        Observed(True, OLD, frozenset({OLD}), adapters=frozenset({"radio", "notes"})),
        Adapt("decode", ("fijian",), ("notes",)),
    ),
    (
        "adapted",
        Wanted("writer", "market-6", OLD, adapters=frozenset({"radio"})),
        Observed(True, OLD, frozenset({OLD}), adapters=frozenset({"radio"})),
        Serve(OLD),
    ),
    (
        "adapters come after the weights they belong to",
        Wanted("writer", "market-6", OLD, adapters=frozenset({"radio"})),
        Observed(True, "", frozenset({OLD})),
        Activate(OLD),
    ),
    (
        "turned before its weights were here",
        SERVE_NEW,
        Observed(True, OLD, frozenset({OLD}), Progress(1, 1, 8)),
        Wait("1 of 8 chunks are here"),
    ),
]


@pytest.mark.parametrize(
    ("wanted", "observed", "step"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_next_step(wanted, observed, step):
    assert next_step(wanted, observed) == step
