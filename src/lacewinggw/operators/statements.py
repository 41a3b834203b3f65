"""What the operators' language can say, as typed statements."""

from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias

from lacewinggw.generated.messages.ttypes import EngineRole, Prefer


class Comparison(Enum):
    """How a condition compares a column with a value."""

    EQUAL = "="
    UNEQUAL = "!="
    LESS = "<"
    AT_MOST = "<="
    MORE = ">"
    AT_LEAST = ">="
    LIKE = "like"


class ExplainKind(Enum):
    """What can be explained."""

    TARGET = "target"
    HOST = "host"
    SERVICE = "service"
    REFUSAL = "refusal"


@dataclass(frozen=True)
class Word:
    """A name as written, with where it stands, so that an error can point at it."""

    text: str
    position: int = 0

    def __str__(self) -> str:
        return self.text


@dataclass(frozen=True)
class Condition:
    """One comparison; the value is a number when it was written as one, durations in seconds."""

    column: Word
    comparison: Comparison
    value: str | float


@dataclass(frozen=True)
class Show:
    """Rows of a table; no columns means all."""

    table: Word
    columns: tuple[Word, ...] = ()
    conditions: tuple[Condition, ...] = ()
    order: Word | None = None
    descending: bool = False
    limit: int | None = None


@dataclass(frozen=True)
class ShowCount:
    """How many rows a table has, in all or for each value of a column."""

    table: Word
    conditions: tuple[Condition, ...] = ()
    by: Word | None = None


@dataclass(frozen=True)
class ShowCommand:
    """What became of one command."""

    command_id: str


@dataclass(frozen=True)
class Explain:
    """Why something is as it is, and what would change it."""

    kind: ExplainKind
    name: Word


@dataclass(frozen=True)
class WaitFor:
    """Wait until a part of the fleet is as declared; everything when all are None."""

    service: Word | None = None
    release: Word | None = None
    revision: int | None = None
    limit_s: float | None = None


@dataclass(frozen=True)
class ReplicasOf:
    """Replicas of one release; None leaves the number to what stands there."""

    release: Word
    replicas: int | None = None


@dataclass(frozen=True)
class ServiceClauses:
    """What a command says of a service; None where it says nothing."""

    goals: tuple[ReplicasOf, ...] = ()
    replicas: int | None = None
    plain: bool = False
    prefer: Prefer | None = None
    role: EngineRole | None = None
    adapters: tuple[str, ...] | None = None
    floor_percent: int | None = None
    repeatable: bool | None = None
    unrepeatable_paths: tuple[str, ...] | None = None


@dataclass(frozen=True)
class CreateReleaseStatement:
    """Make a release known by the name that the origin has it under."""

    name: Word


@dataclass(frozen=True)
class CreateServiceStatement:
    """Declare a service that is not there yet."""

    name: Word
    clauses: ServiceClauses = field(default_factory=ServiceClauses)


@dataclass(frozen=True)
class SetServiceStatement:
    """Change the declaration of a service."""

    name: Word
    clauses: ServiceClauses = field(default_factory=ServiceClauses)


@dataclass(frozen=True)
class DrainStatement:
    """Take hosts out of use, or (`draining` False) back into it."""

    hosts: tuple[Word, ...]
    draining: bool


@dataclass(frozen=True)
class WithdrawReleaseStatement:
    """Forget a release that no service uses."""

    name: Word


@dataclass(frozen=True)
class WithdrawServiceStatement:
    """Remove a service and its placement."""

    name: Word


Query: TypeAlias = Show | ShowCount | ShowCommand | Explain | WaitFor
Command: TypeAlias = (
    CreateReleaseStatement
    | CreateServiceStatement
    | SetServiceStatement
    | DrainStatement
    | WithdrawReleaseStatement
    | WithdrawServiceStatement
)
Statement: TypeAlias = Query | Command
QUERIES = (Show, ShowCount, ShowCommand, Explain, WaitFor)
