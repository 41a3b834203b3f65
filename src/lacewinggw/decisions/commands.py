"""Check whether a command may be accepted, or is repeated, in conflict or invalid.

Pure checks of changes against the state to which they would apply. Each refusal is a typed error
that shows the current value.
"""

from collections.abc import Sequence

from lacewinggw.decisions.revisions import (
    ChangeContent,
    FleetState,
    Subject,
    content_of,
    subject_of,
)
from lacewinggw.errors import (
    AcceptanceUnknown,
    AlreadyExists,
    ConfigurationConflict,
    InvalidChange,
    StillInUse,
    UnknownName,
)
from lacewinggw.generated.messages.ttypes import (
    Change,
    CreateRelease,
    LogEntry,
    Place,
    PutService,
    RemoveService,
    Service,
    ServiceKind,
    SetDrain,
    WithdrawRelease,
)

PERCENT = 100


def describe_goals(service: Service) -> str:
    """Return the declared replicas in words: "6 on market-7, 2 on market-6"."""
    if service.kind == ServiceKind.PLAIN:
        replicas = sum(goal.replicas for goal in service.goals)
        return "1 replica" if replicas == 1 else f"{replicas} replicas"
    goals = [f"{goal.replicas} on {goal.release}" for goal in service.goals if goal.replicas]
    return ", ".join(goals) or "no replicas"


def describe_subject(state: FleetState, subject: Subject) -> str:
    """Return a description of the current value of a subject."""
    match subject.kind:
        case "service":
            service = state.services.get(subject.name)
            return describe_goals(service) if service else "no such service"
        case "release":
            digest = state.release_digest(subject.name)
            return f"digest {digest[:12]}" if digest else "no such release"
        case "host":
            return "draining" if subject.name in state.draining else "not draining"
        case _:
            return f"{len(state.hosts_of(subject.name))} hosts"


def describe_change(content: ChangeContent) -> str:
    """Return a description of the value that a change would set."""
    match content:
        case CreateRelease():
            return f"digest {content.release.digest[:12]}"
        case WithdrawRelease():
            return "withdrawn"
        case PutService():
            return describe_goals(content.declared)
        case RemoveService():
            return "removed"
        case SetDrain():
            return "draining" if content.draining else "not draining"
        case Place():
            return f"{len(content.assignments)} hosts added, {len(content.released or [])} released"


def find_accepted_entry(state: FleetState, command_id: str) -> LogEntry | None:
    """Return the entry of a command that has already been accepted, or None."""
    revision = state.revision_of_command(command_id)
    return state.entry_at(revision) if revision is not None else None


def check_within_history(
    state: FleetState, command_id: str, read_revision: int, repeated: bool
) -> None:
    """Refuse a command that is based on a revision older than the history.

    Raises `AcceptanceUnknown` for a `repeated` command, which may have been accepted before, and
    `ConfigurationConflict` for a new one, whose subject may have changed.
    """
    if read_revision >= state.history_base_revision:
        return
    basis = f"command {command_id} was based on revision {read_revision}"
    history = f"only revisions after {state.history_base_revision} are remembered"
    if repeated:
        raise AcceptanceUnknown(
            f"{basis}; {history}, so it may have been accepted long ago",
            remedy="compare `show services` with the command, and submit it again if needed",
        )
    raise ConfigurationConflict(f"{basis}; {history}")


def check_command(state: FleetState, changes: Sequence[Change], read_revision: int) -> None:
    """Check that a command may be accepted at the next revision.

    Raises `ConfigurationConflict` if a subject changed after `read_revision`, which must be in the
    history, and the errors of `check_change`.
    """
    contents = [content_of(change) for change in changes]
    for content in contents:
        _check_unchanged(state, content, read_revision)
    created = {each.release.name for each in contents if isinstance(each, CreateRelease)}
    for content in contents:
        check_change(state, content, created)
    _check_floors(state, contents)


def _check_unchanged(state: FleetState, content: ChangeContent, read_revision: int) -> None:
    if isinstance(content, Place):
        _check_placement_current(state, content, read_revision)
        return
    subject = subject_of(content)
    changed_revision = state.last_changed_revision(subject)
    if changed_revision <= read_revision:
        return
    entry = state.entry_at(changed_revision)
    author = f" (by {entry.author})" if entry is not None else ""
    current = describe_subject(state, subject) + author
    requested = describe_change(content)
    raise ConfigurationConflict.between(
        f"{subject.kind} {subject.name}", requested, current, changed_revision
    )


def _check_placement_current(state: FleetState, place: Place, read_revision: int) -> None:
    """Refuse a placement that was computed before an entry on which it depends."""
    for entry in reversed(state.history):
        if entry.revision <= read_revision:
            return
        contents = (content_of(change) for change in entry.changes)
        if any(_invalidates_placement(content, place.service_name) for content in contents):
            raise ConfigurationConflict(
                f"the placement of {place.service_name} was computed at revision {read_revision}; "
                f"revision {entry.revision} was accepted since",
            )


def _invalidates_placement(content: ChangeContent, service: str) -> bool:
    """Return whether a change may invalidate a placement of a service."""
    match content:
        case CreateRelease():
            return False
        case PutService():
            return content.declared.name == service
        case _:
            return True


def check_change(state: FleetState, content: ChangeContent, created: set[str]) -> None:
    """Check one change; `created` has the names of releases created by the same command.

    Raises `AlreadyExists`, `InvalidChange`, `StillInUse` or `UnknownName`.
    """
    match content:
        case CreateRelease():
            _check_new_release(state, content)
        case PutService():
            _check_service(state, content.declared, created)
        case RemoveService():
            _require_name("service", content.service_name, state.services)
        case WithdrawRelease():
            _check_withdrawal(state, content.release)
        case SetDrain():
            _check_drain(state, content)
        case Place():
            _require_name("service", content.service_name, state.services)


def _require_name(kind: str, name: str, names: object) -> None:
    assert hasattr(names, "__contains__")
    if name not in names:
        raise UnknownName(f"there is no {kind} {name}")


def _check_new_release(state: FleetState, create: CreateRelease) -> None:
    present = state.releases.get(create.release.name)
    if present is not None:
        raise AlreadyExists(
            f"release {present.name} exists with digest {present.digest[:12]} and never changes",
            remedy="give the new weights a name of their own",
        )


def _check_service(state: FleetState, declared: Service, created: set[str]) -> None:
    if not declared.goals:
        raise InvalidChange(f"service {declared.name} declares no replicas")
    if not 0 <= declared.floor_percent <= PERCENT:
        raise InvalidChange(f"a floor of {declared.floor_percent}% is not between 0 and 100")
    present = state.services.get(declared.name)
    if present is not None and present.kind != declared.kind:
        raise InvalidChange(
            f"service {declared.name} cannot change its kind",
            remedy="withdraw it and create one under another name",
        )
    named = [goal.release for goal in declared.goals]
    if len(set(named)) != len(named):
        raise InvalidChange(f"service {declared.name} names one release twice")
    for goal in declared.goals:
        _check_goal(state, declared, goal.release, goal.replicas, created)


def _check_goal(
    state: FleetState, declared: Service, release: str, replicas: int, created: set[str]
) -> None:
    if replicas < 0:
        raise InvalidChange(f"{replicas} replicas of {declared.name} are not possible")
    if declared.kind == ServiceKind.PLAIN:
        if release:
            raise InvalidChange(f"plain service {declared.name} serves no release")
        return
    if release not in state.releases and release not in created:
        raise UnknownName(f"there is no release {release}", remedy=f"`create release {release}`")


def _check_withdrawal(state: FleetState, release: str) -> None:
    _require_name("release", release, state.releases)
    users = sorted(
        service.name
        for service in state.services.values()
        if any(goal.release == release and goal.replicas for goal in service.goals)
    )
    placed = sorted(
        name
        for name in state.placements
        if release in state.hosts_of(name).values()
        or release in state.next_releases_of(name).values()
    )
    in_use = users or placed
    if in_use:
        raise StillInUse(f"release {release} is used by {', '.join(in_use)}")


def _check_drain(state: FleetState, change: SetDrain) -> None:
    if not change.draining and change.host not in state.draining:
        raise InvalidChange(
            f"host {change.host} is not draining", remedy="`show hosts` lists those that are"
        )


def _check_floors(state: FleetState, contents: Sequence[ChangeContent]) -> None:
    """Refuse drains that would leave a service below its declared floor."""
    drained = {each.host for each in contents if isinstance(each, SetDrain) and each.draining}
    affected = {service for host in drained for service, _ in state.assignments_of(host)}
    for name in sorted(affected):
        service = state.services.get(name)
        if service is None:
            continue
        declared = sum(goal.replicas for goal in service.goals)
        remaining = [
            host
            for host in state.hosts_of(name)
            if host not in drained and host not in state.draining
        ]
        if len(remaining) * PERCENT < declared * service.floor_percent:
            raise InvalidChange(
                f"draining {', '.join(sorted(drained))} leaves {name} {len(remaining)} of "
                f"{declared} replicas; its floor is {service.floor_percent}%",
                remedy="drain fewer hosts at once, wait until the replacements serve, "
                f"or lower the floor: `set service {name} floor 0%`",
            )
