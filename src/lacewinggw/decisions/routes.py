"""Routes: which service answers a request, for whom, and what may be done with it.

A `RouteTable` is one version of what the operators declare. It is immutable; a new version is a
new table.

    table.find("sheets.example", "/pens/12")
    table.account_of("key-of-a-caller")
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from lacewinggw.ids import Account, Address, ModelName, RouteName, ServiceName

DEFAULT_PRIORITY = 1  # of a route that declares none


class RetryPolicy(Enum):
    """What may be done again with a request whose outcome is not known."""

    IDEMPOTENT = "idempotent"
    NEVER = "never"
    RESUMABLE = "resumable"  # a stream that may go on elsewhere after its last event


@dataclass(frozen=True)
class ServiceShare:
    """A service's part of a route's requests."""

    service: ServiceName
    weight: float


@dataclass(frozen=True)
class Route:
    """One route; times in seconds.

    `attempts` bounds the targets on which one request may run. `prefix` begins and ends with a
    slash. `gap_s` is the longest pause between events with which a stream is still on time.
    """

    name: RouteName
    domain: str
    prefix: str
    retry_policy: RetryPolicy
    streams: bool
    timeout_s: float
    objective_s: float
    shares: tuple[ServiceShare, ...]
    attempts: int = 1
    priority: int = DEFAULT_PRIORITY
    anonymous: bool = False
    gap_s: float = 0.0


@dataclass(frozen=True)
class EngineProfile:
    """How a service's model engines work, as their operators measured it.

    A step gives each running request one token and takes `step_s`, plus `step_per_request_s` for
    each of them. A prompt is read at `read_tokens_per_s`, at most `chunk_tokens` a step. An event
    of a stream holds the tokens of `stride` steps.
    """

    slots: int
    step_s: float
    step_per_request_s: float
    context_s_per_kilotoken: float
    read_tokens_per_s: float
    pair_s_per_million: float
    chunk_tokens: int
    stride: int
    memory_tokens: int
    typical_prompt_tokens: int
    typical_answer_tokens: int
    report_lag_s: float = 0.0


@dataclass(frozen=True)
class WeightsProfile:
    """What the weights of a model are made of, and how long an engine takes to load them."""

    layers: int
    chunks: int
    chunk_bytes: int
    warmup_s: float


@dataclass(frozen=True)
class Service:
    """A service; `connection_limit` bounds the connections to one target from all callers.

    `origin` is the address from which weights come, for the one service that has it.
    """

    name: ServiceName
    connection_limit: int = 0
    engine: EngineProfile | None = None
    models: tuple[ModelName, ...] = ()
    weights: WeightsProfile | None = None
    origin: Address | None = None
    origin_bytes_per_s: float = 0.0


@dataclass(frozen=True)
class ClientAccount:
    """A client account; its priority, if it has one, goes before that of the route."""

    name: Account
    priority: int | None = None


@dataclass(frozen=True)
class CallerLimits:
    """What a caller may send, in bytes, and how long it may take or stay idle, in seconds."""

    head_bytes: int = 16 << 10
    body_bytes: int = 4 << 20
    head_s: float = 3.0
    idle_s: float = 15.0


@dataclass(frozen=True)
class RouteTable:
    """One version of the routes, services, client accounts and limits."""

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[ServiceName, Service] = field(default_factory=dict)
    accounts: Mapping[str, ClientAccount] = field(default_factory=dict)  # by key
    needs_key: bool = False  # on every route that is not anonymous, even if nobody holds one
    limits: CallerLimits = field(default_factory=CallerLimits)
    source: bytes = field(default=b"", compare=False, repr=False)  # as the operators wrote it
    _by_domain: dict[str, list[Route]] = field(default_factory=dict, compare=False, repr=False)

    def __post_init__(self) -> None:
        """Sort each domain's routes, the longest prefix first."""
        for route in self.routes:
            self._by_domain.setdefault(route.domain, []).append(route)
        for routes in self._by_domain.values():
            routes.sort(key=lambda route: -len(route.prefix))

    def find(self, domain: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, or None."""
        for route in self._by_domain.get(domain, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def account_of(self, key: str) -> ClientAccount | None:
        """Return the client account that holds a key, or None."""
        return self.accounts.get(key)


def pick_service(shares: Sequence[ServiceShare], draw: float) -> ServiceName:
    """Return the service in whose part `draw`, from 0 to 1, falls."""
    total = sum(share.weight for share in shares)
    rest = draw * total
    for share in shares:
        rest -= share.weight
        if rest < 0:
            return share.service
    return next(share.service for share in reversed(shares) if share.weight > 0)
