"""From commands of the operators' language to the changes that they stand for.

Pure: worked out against the configuration as it stands, with the releases that the origin has by
the names that the commands mention. Whether they may be accepted is decided elsewhere.
"""

from collections.abc import Iterable, Mapping, Sequence

from lacewinggw.decisions.revisions import FleetState, change_of, with_revision
from lacewinggw.errors import AlreadyExists, InvalidChange, UnknownName
from lacewinggw.generated.messages.ttypes import (
    Change,
    CreateRelease,
    Prefer,
    PutService,
    Release,
    RemoveService,
    ReplicaGoal,
    Service,
    ServiceKind,
    SetDrain,
    WithdrawRelease,
)
from lacewinggw.operators.language import nearest
from lacewinggw.operators.statements import (
    Command,
    CreateReleaseStatement,
    CreateServiceStatement,
    DrainStatement,
    ReplicasOf,
    ServiceClauses,
    SetServiceStatement,
    WithdrawReleaseStatement,
    WithdrawServiceStatement,
    Word,
)

DEFAULT_FLOOR_PERCENT = 50


def releases_to_create(commands: Sequence[Command]) -> list[str]:
    """Return the names of releases whose manifests the commands need."""
    return [each.name.text for each in commands if isinstance(each, CreateReleaseStatement)]


def changes_of(
    commands: Sequence[Command],
    state: FleetState,
    releases: Mapping[str, Release],
    known_hosts: Iterable[str],
) -> list[Change]:
    """Return the changes of several commands, each seeing those before it.

    `releases` has one for each name of `releases_to_create`. Raises `UnknownName` with the nearest
    name, `AlreadyExists` and `InvalidChange`.
    """
    draft = _Draft(state, releases, frozenset(known_hosts))
    for command in commands:
        draft.take(command)
    return draft.changes()


class _Draft:
    """What the commands so far would make of the configuration."""

    def __init__(
        self, state: FleetState, releases: Mapping[str, Release], known_hosts: frozenset[str]
    ) -> None:
        self._state = state
        self._releases = releases
        self._known_hosts = known_hosts
        self._release_names = set(state.releases)
        self._services = dict(state.services)
        self._put: dict[str, Service] = {}
        self._others: list[Change] = []

    def take(self, command: Command) -> None:
        match command:
            case CreateReleaseStatement(name=name):
                self._release_names.add(name.text)
                self._others.append(change_of(CreateRelease(self._releases[name.text])))
            case CreateServiceStatement(name=name, clauses=clauses):
                self._create_service(name, clauses)
            case SetServiceStatement(name=name, clauses=clauses):
                self._set_service(name, clauses)
            case DrainStatement(hosts=hosts, draining=draining):
                self._drain(hosts, draining)
            case WithdrawReleaseStatement(name=name):
                self._require("release", name, self._release_names)
                self._others.append(change_of(WithdrawRelease(name.text)))
            case WithdrawServiceStatement(name=name):
                self._require("service", name, self._services)
                self._services.pop(name.text)
                self._put.pop(name.text, None)
                self._others.append(change_of(RemoveService(name.text)))

    def changes(self) -> list[Change]:
        """Return new releases first, then services, so that each finds what it needs."""
        puts = [change_of(PutService(service)) for service in self._put.values()]
        first = [change for change in self._others if change.create_release is not None]
        rest = [change for change in self._others if change.create_release is None]
        return [*first, *puts, *rest]

    def _create_service(self, name: Word, clauses: ServiceClauses) -> None:
        if name.text in self._services:
            raise AlreadyExists(
                f"service {name} exists", remedy=f"change it: `set service {name} ...`"
            )
        kind = ServiceKind.PLAIN if clauses.plain else ServiceKind.MODEL
        fresh = Service(
            name.text,
            kind,
            [],
            Prefer.TIME,
            DEFAULT_FLOOR_PERCENT,
            False,
            [],
            0,
        )
        self._keep(self._with_clauses(fresh, clauses))

    def _set_service(self, name: Word, clauses: ServiceClauses) -> None:
        self._require("service", name, self._services)
        present = self._services[name.text]
        if clauses.plain and present.kind != ServiceKind.PLAIN:
            raise InvalidChange(f"service {name} serves models and cannot become plain")
        self._keep(self._with_clauses(with_revision(present, present.revision), clauses))

    def _keep(self, service: Service) -> None:
        self._services[service.name] = service
        self._put[service.name] = service

    def _with_clauses(self, service: Service, clauses: ServiceClauses) -> Service:
        service.goals = self._goals(service, clauses)
        if clauses.prefer is not None:
            service.prefer = clauses.prefer
        if clauses.role is not None:
            service.role = clauses.role
        if clauses.adapters is not None:
            service.adapters = list(clauses.adapters)
        if clauses.floor_percent is not None:
            service.floor_percent = clauses.floor_percent
        if clauses.repeatable is not None:
            service.repeatable = clauses.repeatable
        if clauses.unrepeatable_paths is not None:
            service.unrepeatable_paths = list(clauses.unrepeatable_paths)
        return service

    def _goals(self, service: Service, clauses: ServiceClauses) -> list[ReplicaGoal]:
        if service.kind == ServiceKind.PLAIN:
            return _plain_goals(service, clauses)
        if clauses.goals:
            for goal in clauses.goals:
                self._require("release", goal.release, self._release_names)
            return _named_goals(service, clauses.goals, clauses.replicas)
        if clauses.replicas is None:
            _require_goals(service)
            return service.goals
        return _resized_goals(service, clauses.replicas)

    def _drain(self, hosts: Sequence[Word], draining: bool) -> None:
        known = self._known_hosts | self._state.draining | set(self._state.placed_hosts())
        for host in hosts:
            self._require("host", host, known)
            self._others.append(change_of(SetDrain(host.text, draining)))

    def _require(self, kind: str, name: Word, known: Iterable[str]) -> None:
        names = list(known)
        if name.text in names:
            return
        close = nearest(name.text, names)
        remedy = f"did you mean {close!r}?" if close else f"`show {kind}s` lists those there are"
        where = f" (at character {name.position + 1})" if name.position else ""
        raise UnknownName(f"there is no {kind} {name}{where}", remedy=remedy)


def _plain_goals(service: Service, clauses: ServiceClauses) -> list[ReplicaGoal]:
    if clauses.goals:
        raise InvalidChange(
            f"plain service {service.name} serves no release",
            remedy="leave `release` out",
        )
    if clauses.replicas is not None:
        return [ReplicaGoal("", clauses.replicas)]
    _require_goals(service)
    return service.goals


def _require_goals(service: Service) -> None:
    if not service.goals:
        raise InvalidChange(
            f"service {service.name} declares no replicas",
            remedy="add `release NAME replicas N`, or `plain replicas N`",
        )


def _named_goals(
    service: Service, goals: Sequence[ReplicasOf], replicas: int | None
) -> list[ReplicaGoal]:
    """Return the goals as named; one without a number takes all replicas that there were."""
    unnumbered = [goal for goal in goals if goal.replicas is None]
    if not unnumbered:
        if replicas is not None:
            raise InvalidChange(f"service {service.name} is given its replicas twice")
        return [ReplicaGoal(goal.release.text, goal.replicas) for goal in goals]
    total = sum(goal.replicas for goal in service.goals) if replicas is None else replicas
    rest = total - sum(goal.replicas or 0 for goal in goals)
    if len(unnumbered) > 1 or rest <= 0:
        raise InvalidChange(
            f"how many replicas of {service.name} each release is to have is left open",
            remedy="write `release NAME replicas N` for each",
        )
    return [
        ReplicaGoal(goal.release.text, rest if goal.replicas is None else goal.replicas)
        for goal in goals
    ]


def _resized_goals(service: Service, replicas: int) -> list[ReplicaGoal]:
    if len(service.goals) != 1:
        raise InvalidChange(
            f"service {service.name} has {len(service.goals)} releases",
            remedy="write `release NAME replicas N` for each",
        )
    return [ReplicaGoal(service.goals[0].release, replicas)]
