"""Whether a command may be accepted: repeated, in conflict, contradictory, or fine.

Pure checks of changes against the state they would follow. Each refusal is a typed error that shows
what stands there now.
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
    """Return the present value of a subject in words."""
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
    """Return the value that a change would set, in words."""
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
    """Return the entry of a command that was accepted already."""
    revision = state.revision_of_command(command_id)
    return state.entry_at(revision) if revision is not None else None


def check_within_history(
    state: FleetState, command_id: str, read_revision: int, repeated: bool
) -> None:
    """Refuse a command that is too old to tell whether it was accepted before.

    One that may have been given before raises `AcceptanceUnknown`: it may be in force. One that is
    given for the first time raises `ConfigurationConflict`: what it is about may have moved.
    """
    if read_revision >= state.history_base_revision:
        return
    based = f"command {command_id} was based on revision {read_revision}"
    known = f"only revisions after {state.history_base_revision} are remembered"
    if repeated:
        raise AcceptanceUnknown(
            f"{based}; {known}, so it may have been accepted long ago",
            remedy="compare `show services` with what it says, and give it anew if need be",
        )
    raise ConfigurationConflict(f"{based}; {known}")


def check_command(state: FleetState, changes: Sequence[Change], read_revision: int) -> None:
    """Raise the typed refusal of a command, or return when it may be accepted at the next revision.

    Raises `ConfigurationConflict` when what it is about moved since `read_revision`, which must be
    remembered, and the errors of `check_change`.
    """
    contents = [content_of(change) for change in changes]
    for content in contents:
        _check_unmoved(state, content, read_revision)
    created = {each.release.name for each in contents if isinstance(each, CreateRelease)}
    for content in contents:
        check_change(state, content, created)
    _check_floors(state, contents)


def _check_unmoved(state: FleetState, content: ChangeContent, read_revision: int) -> None:
    if isinstance(content, Place):
        _check_placement_unmoved(state, content, read_revision)
        return
    subject = subject_of(content)
    moved = state.last_changed_revision(subject)
    if moved <= read_revision:
        return
    entry = state.entry_at(moved)
    author = f" (by {entry.author})" if entry is not None else ""
    current = describe_subject(state, subject) + author
    wanted = describe_change(content)
    raise ConfigurationConflict.between(f"{subject.kind} {subject.name}", wanted, current, moved)


def _check_placement_unmoved(state: FleetState, place: Place, read_revision: int) -> None:
    """Refuse a placement that was computed before something it depends on was accepted."""
    for entry in reversed(state.history):
        if entry.revision <= read_revision:
            return
        contents = (content_of(change) for change in entry.changes)
        if any(_moves_placement(content, place.service_name) for content in contents):
            raise ConfigurationConflict(
                f"the placement of {place.service_name} was computed at revision {read_revision}; "
                f"revision {entry.revision} came since",
            )


def _moves_placement(content: ChangeContent, service: str) -> bool:
    """Return whether a change could make a placement of a service wrong."""
    match content:
        case CreateRelease():
            return False
        case PutService():
            return content.declared.name == service
        case _:
            return True


def check_change(state: FleetState, content: ChangeContent, created: set[str]) -> None:
    """Raise the refusal of one change; `created` names the releases made by the same command."""
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


def _require_name(kind: str, name: str, known: object) -> None:
    assert hasattr(known, "__contains__")
    if name not in known:
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
    touched = {service for host in drained for service, _ in state.assignments_of(host)}
    for name in sorted(touched):
        service = state.services.get(name)
        if service is None:
            continue
        declared = sum(goal.replicas for goal in service.goals)
        staying = [
            host
            for host in state.hosts_of(name)
            if host not in drained and host not in state.draining
        ]
        if len(staying) * PERCENT < declared * service.floor_percent:
            raise InvalidChange(
                f"draining {', '.join(sorted(drained))} leaves {name} {len(staying)} of "
                f"{declared} replicas; its floor is {service.floor_percent}%",
                remedy="drain fewer hosts at once, wait until the replacements serve, "
                f"or lower the floor: `set service {name} floor 0%`",
            )
