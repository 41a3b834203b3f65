"""The steps of a target towards its desired state."""

import pytest

from lacewinggw.decisions.lifecycle import (
    Activate,
    DesiredState,
    Load,
    ObservedState,
    Reconfigure,
    Retire,
    Serve,
    Stage,
    StagingProgress,
    Unload,
    WaitForChange,
    next_step,
)

OLD, NEW = "aa", "bb"
SERVE_OLD = DesiredState("writer", "market-6", OLD)
PREPARE_NEW = DesiredState("writer", "market-6", OLD, "market-7", NEW)
SERVE_NEW = DesiredState("writer", "market-7", NEW)

CASES = [
    (
        "unreachable target",
        SERVE_OLD,
        ObservedState(False),
        WaitForChange("the target does not answer"),
    ),
    ("no assignment", None, ObservedState(True, OLD, frozenset({OLD})), Retire()),
    ("plain service", DesiredState("desk", "", ""), ObservedState(True), Serve("")),
    ("fresh engine", SERVE_OLD, ObservedState(True), WaitForChange("the manifest has not arrived")),
    (
        "chunks arrive",
        SERVE_OLD,
        ObservedState(True, progress=StagingProgress(2, 1, 8)),
        Stage(OLD),
    ),
    (
        "chunks missing",
        SERVE_OLD,
        ObservedState(True, progress=StagingProgress(2, 2, 8)),
        WaitForChange("2 of 8 chunks have arrived"),
    ),
    ("all staged", SERVE_OLD, ObservedState(True, progress=StagingProgress(8, 8, 8)), Load(OLD)),
    ("loaded", SERVE_OLD, ObservedState(True, "", frozenset({OLD})), Activate(OLD)),
    ("active", SERVE_OLD, ObservedState(True, OLD, frozenset({OLD})), Serve(OLD)),
    (
        "next one arrives while the old one serves",
        PREPARE_NEW,
        ObservedState(True, OLD, frozenset({OLD}), StagingProgress(8, 8, 8)),
        Load(NEW, serving=True),
    ),
    (
        "both loaded, not in this wave",
        PREPARE_NEW,
        ObservedState(True, OLD, frozenset({OLD, NEW})),
        Serve(OLD),
    ),
    ("in this wave", SERVE_NEW, ObservedState(True, OLD, frozenset({OLD, NEW})), Activate(NEW)),
    ("switched", SERVE_NEW, ObservedState(True, NEW, frozenset({OLD, NEW})), Unload((OLD,))),
    (
        "engine activated another release",
        SERVE_OLD,
        ObservedState(True, NEW, frozenset({OLD, NEW})),
        Activate(OLD),
    ),
    (
        "another role and other adapters",
        DesiredState(
            "writer", "market-6", OLD, role="decode", adapters=frozenset({"fijian", "radio"})
        ),
        ObservedState(True, OLD, frozenset({OLD}), adapters=frozenset({"radio", "notes"})),
        Reconfigure("decode", ("fijian",), ("notes",)),
    ),
    (
        "reconfigured",
        DesiredState("writer", "market-6", OLD, adapters=frozenset({"radio"})),
        ObservedState(True, OLD, frozenset({OLD}), adapters=frozenset({"radio"})),
        Serve(OLD),
    ),
    (
        "adapters come after the weights they belong to",
        DesiredState("writer", "market-6", OLD, adapters=frozenset({"radio"})),
        ObservedState(True, "", frozenset({OLD})),
        Activate(OLD),
    ),
    (
        "switched before its weights arrived",
        SERVE_NEW,
        ObservedState(True, OLD, frozenset({OLD}), StagingProgress(1, 1, 8)),
        WaitForChange("1 of 8 chunks have arrived"),
    ),
]


@pytest.mark.parametrize(
    ("desired", "observed", "step"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_next_step(desired, observed, step):
    assert next_step(desired, observed) == step
