"""Answers to queries, from an entry's view of the fleet."""

from dataclasses import dataclass

from lacewinggw.errors import UnknownName
from lacewinggw.operators.explain import explain
from lacewinggw.operators.fleettables import HISTORY_COLUMNS, history_row, make_table
from lacewinggw.operators.language import nearest
from lacewinggw.operators.progress import HoldUp, progress_of
from lacewinggw.operators.statements import Explain, Query, Show, ShowCommand, ShowCount, WaitFor
from lacewinggw.operators.tables import Table, count, select
from lacewinggw.operators.view import FleetView


@dataclass(frozen=True)
class Lines:
    """An answer in words."""

    lines: tuple[str, ...]


@dataclass(frozen=True)
class Waiting:
    """Whether what was waited for is so, and what holds it up."""

    done: bool
    hold_ups: tuple[HoldUp, ...] = ()


Answer = Table | Lines | Waiting


def answer_query(query: Query, view: FleetView) -> Answer:
    """Return the answer to a query; raise `UnknownName` or `UnknownColumn` for a wrong name."""
    match query:
        case Show(table=table):
            return select(make_table(table.text, table.position, view), query)
        case ShowCount(table=table):
            return count(make_table(table.text, table.position, view), query)
        case ShowCommand(command_id=command_id):
            return _command_answer(command_id, view)
        case Explain(kind=kind, name=name):
            return Lines(tuple(explain(kind, name.text, view)))
        case WaitFor():
            return _wait_answer(query, view)


def _command_answer(command_id: str, view: FleetView) -> Answer:
    state = view.state()
    revision = state.revision_of_command(command_id)
    entry = state.entry_at(revision) if revision is not None else None
    if entry is None:
        oldest = state.history_base_revision
        return Lines(
            (
                f"command {command_id} is not among revisions {oldest + 1} to {state.revision}",
                "if its read revision is in that range it was not accepted, unless its write is "
                "still on the way; give it again with the same command id to settle it",
            )
        )
    return Table(HISTORY_COLUMNS, [history_row(entry)])


def _wait_answer(wait: WaitFor, view: FleetView) -> Waiting:
    state = view.state()
    if wait.revision is not None:
        if state.revision >= wait.revision:
            return Waiting(True)
        reason = f"this entry is at revision {state.revision}"
        return Waiting(False, (HoldUp("the log", reason, "wait, or see `show history`"),))
    hold_ups = tuple(
        hold_up
        for name in _waited_services(wait, view)
        for hold_up in progress_of(state.services[name], view).hold_ups
    )
    return Waiting(not hold_ups, hold_ups)


def _waited_services(wait: WaitFor, view: FleetView) -> list[str]:
    services = view.state().services
    if wait.service is not None:
        if wait.service.text not in services:
            close = nearest(wait.service.text, services)
            remedy = f"did you mean {close!r}?" if close else ""
            raise UnknownName(f"there is no service {wait.service}", remedy=remedy)
        return [wait.service.text]
    if wait.release is not None:
        name = wait.release.text
        if name not in view.state().releases:
            close = nearest(name, view.state().releases)
            remedy = f"did you mean {close!r}?" if close else ""
            raise UnknownName(f"there is no release {name}", remedy=remedy)
        users = (
            service.name
            for service in services.values()
            if any(goal.release == name for goal in service.goals)
        )
        return sorted(users)
    return sorted(services)
