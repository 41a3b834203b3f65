"""Why a target, host, service or refusal is as it is, and what would change it."""

from collections.abc import Iterable, Iterator

from lacewinggw.clients.membership import Member, MemberState
from lacewinggw.decisions.commands import describe_goals
from lacewinggw.decisions.revisions import Subject
from lacewinggw.errors import LacewingError, UnknownName, error_classes
from lacewinggw.operators.language import nearest
from lacewinggw.operators.progress import describe_target, progress_of, remedy_for, serves
from lacewinggw.operators.statements import ExplainKind
from lacewinggw.operators.view import FleetView


def explain(kind: ExplainKind, name: str, view: FleetView) -> list[str]:
    """Return the explanation as lines; raise `UnknownName` when there is no such thing."""
    match kind:
        case ExplainKind.TARGET | ExplainKind.HOST:
            return list(_explain_host(name, view))
        case ExplainKind.SERVICE:
            return list(_explain_service(name, view))
        case ExplainKind.REFUSAL:
            return list(_explain_refusal(name, view))


def _require(kind: str, name: str, known: Iterable[str]) -> None:
    names = list(known)
    if name in names:
        return
    close = nearest(name, names)
    raise UnknownName(
        f"there is no {kind} {name}", remedy=f"did you mean {close!r}?" if close else ""
    )


def _explain_host(host: str, view: FleetView) -> Iterator[str]:
    state = view.state()
    members = {str(member.host): member for member in view.members()}
    heard = view.heartbeats()
    _require("host", host, {*members, *state.placed_hosts(), *state.draining, *heard})
    yield from _explain_listing(host, members.get(host), view)
    yield from _explain_assignment(host, members.get(host), view)
    last = heard.get(host)
    if last is None:
        yield "this entry has no heartbeat from it; another entry may"
        return
    yield f"its last heartbeat came {last.age_s:.1f} s ago: {describe_target(last)}"
    for service, _ in state.assignments_of(host):
        declared = state.services.get(service)
        if declared is not None and serves(state, declared, host, last):
            yield f"so it serves {service} as placed"
        elif declared is not None:
            yield f"so it does not serve {service} as placed yet; {remedy_for(last)}"


def _explain_listing(host: str, member: Member | None, view: FleetView) -> Iterator[str]:
    if member is None:
        yield f"host {host} is not on the platform's list"
        if host in view.missing():
            yield "it is replaced once it has also been silent for `dead_host` in [configuration]"
    elif member.state is MemberState.LEAVING:
        yield f"host {host} in {member.place} is leaving: the platform says so; it gets no new work"
    else:
        yield f"host {host} in {member.place} is on the platform's list"
    state = view.state()
    if host in state.draining:
        entry = state.entry_at(state.last_changed_revision(Subject("host", host)))
        by = f" by {entry.author} at revision {entry.revision}" if entry is not None else ""
        yield f"it is drained{by}; `undrain host {host}` puts it back into use"


def _explain_assignment(host: str, member: Member | None, view: FleetView) -> Iterator[str]:
    state = view.state()
    assigned = state.assignments_of(host)
    for service, release in assigned:
        declared = state.services.get(service)
        goals = describe_goals(declared) if declared is not None else "nothing"
        on = f" on {release}" if release else ""
        yield f"it is placed for {service}{on}; {service} declares {goals}"
        upcoming = state.next_releases_of(service).get(host)
        if upcoming is not None:
            yield f"it loads {upcoming} meanwhile, and changes over when its turn comes"
        for placed in reversed(state.history):
            if host in placed.words.replace(",", " ").split() and service in placed.words:
                yield f"revision {placed.revision} by {placed.author} did that: {placed.words}"
                break
    if assigned or member is None:
        return
    shortfalls = [str(each) for each in view.shortfalls()]
    if host in state.draining or member.state is MemberState.LEAVING:
        yield "so it is placed for nothing"
    elif shortfalls:
        yield f"it is placed for nothing although {shortfalls[0]}: its target cannot serve that"
    else:
        yield "it is placed for nothing: every service has its declared replicas"


def _explain_service(name: str, view: FleetView) -> Iterator[str]:
    state = view.state()
    _require("service", name, state.services)
    service = state.services[name]
    progress = progress_of(service, view)
    entry = state.entry_at(service.revision)
    by = f" by {entry.author}" if entry is not None else ""
    yield f"service {name} declares {describe_goals(service)} since revision {service.revision}{by}"
    yield f"{progress.placed} hosts are placed as declared and {progress.serving} serve"
    if progress.surplus:
        yield f"{progress.surplus} more hosts are placed on releases no longer declared"
    if progress.done:
        yield "nothing holds it up"
    for hold_up in progress.hold_ups:
        yield str(hold_up)


def _explain_refusal(name: str, view: FleetView) -> Iterator[str]:
    kinds = {error.kind: error for error in error_classes()}
    _require("refusal", name, kinds)
    error: type[LacewingError] = kinds[name]
    yield f"{error.code} {error.kind}: {(error.__doc__ or '').splitlines()[0]}"
    yield f"remedy: {error.default_remedy}"
    key = f'refusals{{reason="{name}"}}'
    counted = view.counters().get(key)
    if counted is not None:
        yield f"this entry has refused {counted} requests so"
