"""Declarations kept in version control: one INI file for each release and service.

    [service]                      [release]
    name = bulletin-writer         name = market-7
    replicas =
        6 on market-7
        2 on market-6
    floor = 75%

`difference` says in the operators' own language what would make the fleet as declared; the same
words, put as one command, do it.
"""

import configparser
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from lacewinggw.decisions.revisions import FleetState
from lacewinggw.errors import BadDeclaration
from lacewinggw.generated.messages.ttypes import EngineRole, Prefer, Service, ServiceKind

SUFFIX = ".ini"
SERVICE_KEYS = {
    "name",
    "kind",
    "replicas",
    "prefer",
    "floor",
    "repeatable",
    "unrepeatable",
    "role",
    "adapters",
}
RELEASE_KEYS = {"name"}
PREFERENCES = {"time": Prefer.TIME, "origin-bytes": Prefer.ORIGIN_BYTES}
ROLES = {role.name.lower(): role for role in EngineRole}
KINDS = {"model": ServiceKind.MODEL, "plain": ServiceKind.PLAIN}
SWITCHES = {"yes": True, "no": False}
DEFAULT_FLOOR = "50%"
NAME = re.compile(r"[A-Za-z0-9_][\w.:-]*")
GOAL = re.compile(r"(\d+)\s+on\s+(\S+)")


@dataclass(frozen=True)
class DeclaredService:
    """A service as declared, or as it stands."""

    name: str
    kind: ServiceKind
    goals: tuple[tuple[str, int], ...]
    prefer: Prefer = Prefer.TIME
    floor_percent: int = 50
    repeatable: bool = False
    unrepeatable_paths: tuple[str, ...] = ()
    role: EngineRole = EngineRole.BOTH
    adapters: tuple[str, ...] = ()

    @classmethod
    def from_service(cls, service: Service) -> "DeclaredService":
        """Return a service of the configuration in the form to compare."""
        return cls(
            service.name,
            ServiceKind(service.kind),
            tuple((goal.release, goal.replicas) for goal in service.goals),
            Prefer(service.prefer),
            service.floor_percent,
            service.repeatable,
            tuple(service.unrepeatable_paths or ()),
            EngineRole(service.role),
            tuple(service.adapters or ()),
        )


@dataclass(frozen=True)
class Declarations:
    """All that a directory declares, or all that stands."""

    releases: frozenset[str] = frozenset()
    services: Mapping[str, DeclaredService] = field(default_factory=dict)


def read_declarations(folder: Path) -> Declarations:
    """Read every INI file of a folder; raise `BadDeclaration` that names file, key and remedy."""
    if not folder.is_dir():
        raise BadDeclaration(f"{folder} is not a directory", remedy="name the declarations' folder")
    releases: set[str] = set()
    services: dict[str, DeclaredService] = {}
    origins: dict[tuple[str, str], Path] = {}
    for path in sorted(folder.rglob(f"*{SUFFIX}")):
        kind, values = _read_file(path)
        name = _name(path, values)
        if (kind, name) in origins:
            raise BadDeclaration(f"{path}: {kind} {name} is declared in {origins[kind, name]} too")
        origins[kind, name] = path
        if kind == "release":
            releases.add(name)
        else:
            services[name] = _service(path, name, values)
    if not origins:
        raise BadDeclaration(f"{folder} has no {SUFFIX} files")
    return Declarations(frozenset(releases), services)


def _read_file(path: Path) -> tuple[str, dict[str, str]]:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text("utf-8"), str(path))
    except (configparser.Error, OSError, UnicodeDecodeError) as error:
        raise BadDeclaration(f"{path}: {error}") from error
    sections = parser.sections()
    if len(sections) != 1 or sections[0] not in ("release", "service"):
        raise BadDeclaration(f"{path}: there must be one section, [release] or [service]")
    kind = sections[0]
    values = dict(parser[kind])
    known = SERVICE_KEYS if kind == "service" else RELEASE_KEYS
    for key in values:
        if key not in known:
            remedy = f"take one of: {', '.join(sorted(known))}"
            raise BadDeclaration(f"{path} [{kind}] {key}: there is no such key", remedy=remedy)
    return kind, values


def _name(path: Path, values: Mapping[str, str]) -> str:
    name = values.get("name", path.stem)
    if not NAME.fullmatch(name):
        raise BadDeclaration(f"{path} name: {name!r} is not a name")
    return name


def _service(path: Path, name: str, values: Mapping[str, str]) -> DeclaredService:
    kind = _choice(path, "kind", values.get("kind", "model"), KINDS)
    if "replicas" not in values:
        remedy = "add `replicas = ...`"
        raise BadDeclaration(f"{path} replicas: the value is missing", remedy=remedy)
    floor = values.get("floor", DEFAULT_FLOOR)
    if not re.fullmatch(r"\d{1,2}%|100%", floor):
        raise BadDeclaration(f"{path} floor: {floor!r} is not a share", remedy="write it as in 50%")
    return DeclaredService(
        name,
        kind,
        tuple(_goals(path, kind, values["replicas"])),
        _choice(path, "prefer", values.get("prefer", "time"), PREFERENCES),
        int(floor.rstrip("%")),
        _choice(path, "repeatable", values.get("repeatable", "no"), SWITCHES),
        tuple(values.get("unrepeatable", "").split()),
        _choice(path, "role", values.get("role", "both"), ROLES),
        tuple(values.get("adapters", "").split()),
    )


def _choice(path: Path, key: str, value: str, choices: Mapping[str, Any]) -> Any:
    if value not in choices:
        remedy = f"take one of: {', '.join(choices)}"
        raise BadDeclaration(f"{path} {key}: {value!r} is none of the choices", remedy=remedy)
    return choices[value]


def _goals(path: Path, kind: ServiceKind, text: str) -> Iterable[tuple[str, int]]:
    lines = [line.strip() for line in re.split(r"[\n,]", text) if line.strip()]
    if kind is ServiceKind.PLAIN:
        if len(lines) != 1 or not lines[0].isdecimal():
            raise BadDeclaration(f"{path} replicas: {text!r} is not a number", remedy="as in 3")
        yield "", int(lines[0])
        return
    for line in lines:
        found = GOAL.fullmatch(line)
        if found is None:
            remedy = "write it as in `6 on market-7`, one a line"
            raise BadDeclaration(f"{path} replicas: {line!r} cannot be read", remedy=remedy)
        yield found[2], int(found[1])


def configuration_to_json(state: FleetState) -> dict[str, Any]:
    """Return the declarations in force, as `plan` reads them from an entry."""
    services = [DeclaredService.from_service(each) for each in state.services.values()]
    return {
        "revision": state.revision,
        "releases": sorted(state.releases),
        "services": [
            {
                "name": each.name,
                "kind": each.kind.name.lower(),
                "goals": [list(goal) for goal in each.goals],
                "prefer": _word_of(PREFERENCES, each.prefer),
                "floor_percent": each.floor_percent,
                "repeatable": each.repeatable,
                "unrepeatable_paths": list(each.unrepeatable_paths),
                "role": _word_of(ROLES, each.role),
                "adapters": list(each.adapters),
            }
            for each in services
        ],
    }


def declarations_from_json(value: Mapping[str, Any]) -> Declarations:
    """Return the declarations that an entry has in force."""
    services = {
        each["name"]: DeclaredService(
            each["name"],
            KINDS[each["kind"]],
            tuple((str(release), int(replicas)) for release, replicas in each["goals"]),
            PREFERENCES[each["prefer"]],
            int(each["floor_percent"]),
            bool(each["repeatable"]),
            tuple(each["unrepeatable_paths"]),
            ROLES[each["role"]],
            tuple(each["adapters"]),
        )
        for each in value["services"]
    }
    return Declarations(frozenset(value["releases"]), services)


def difference(present: Declarations, wanted: Declarations) -> list[str]:
    """Return the commands that lead from what stands to what is declared, in an order that works.

    A service or release that no file declares any more is withdrawn.
    """
    words = [f"create release {name}" for name in sorted(wanted.releases - present.releases)]
    for name, service in sorted(wanted.services.items()):
        before = present.services.get(name)
        if before is None:
            words.append(f"create service {name} {' '.join(_clauses(service, None))}")
        elif before.kind is not service.kind:
            raise BadDeclaration(
                f"service {name} cannot change its kind", remedy="declare it under another name"
            )
        elif before != service:
            words.append(f"set service {name} {' '.join(_clauses(service, before))}")
    gone = sorted(set(present.services) - set(wanted.services))
    words += [f"withdraw service {name}" for name in gone]
    words += [f"withdraw release {name}" for name in sorted(present.releases - wanted.releases)]
    return words


def _clauses(service: DeclaredService, before: DeclaredService | None) -> Iterable[str]:
    """Yield the clauses of a service that differ from what stands."""
    if before is None and service.kind is ServiceKind.PLAIN:
        yield "plain"
    if before is None or before.goals != service.goals:
        yield from _goal_clauses(service)
    if before is None or before.prefer != service.prefer:
        yield f"prefer {_word_of(PREFERENCES, service.prefer)}"
    if before is None or before.floor_percent != service.floor_percent:
        yield f"floor {service.floor_percent}%"
    if before is None or before.repeatable != service.repeatable:
        yield f"repeatable {_word_of(SWITCHES, service.repeatable)}"
    paths = before.unrepeatable_paths if before is not None else ()
    if paths != service.unrepeatable_paths:
        yield f"unrepeatable {', '.join(service.unrepeatable_paths) or 'none'}"
    if (before.role if before is not None else EngineRole.BOTH) != service.role:
        yield f"role {_word_of(ROLES, service.role)}"
    if (before.adapters if before is not None else ()) != service.adapters:
        yield f"adapters {', '.join(service.adapters) or 'none'}"


def _goal_clauses(service: DeclaredService) -> Iterable[str]:
    for release, replicas in service.goals:
        yield f"release {release} replicas {replicas}" if release else f"replicas {replicas}"


def _word_of(words: Mapping[str, Any], value: Any) -> str:
    return next(word for word, each in words.items() if each == value)
