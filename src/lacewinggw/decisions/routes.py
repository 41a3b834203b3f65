"""Routes: the service that answers a request, the client account, and the handling of the request.

A `RouteTable` is one version of the operators' declarations. It is immutable; a new version is a
new table.

    table.find("sheets.example", "/pens/12")
    table.account_of("key-of-a-caller")
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from lacewinggw.ids import Account, Address, ModelName, Region, RouteName, ServiceName

DEFAULT_PRIORITY = 1  # of a route that declares no priority


class RetryPolicy(Enum):
    """Whether a request with an unknown outcome may be sent again."""

    IDEMPOTENT = "idempotent"
    NEVER = "never"
    RESUMABLE = "resumable"  # a stream that another target may continue after its last event


@dataclass(frozen=True)
class ServiceShare:
    """A service and its weight among the services of a route."""

    service: ServiceName
    weight: float


@dataclass(frozen=True)
class Route:
    """One route; times in seconds.

    `attempts` limits the number of targets on which one request may run. `prefix` begins and ends
    with a slash. `gap_s` is the longest allowed pause between two events of a stream. If `homes` is
    not empty, requests may run only in these regions.
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
    homes: frozenset[Region] = frozenset()


@dataclass(frozen=True)
class EngineProfile:
    """The performance of a service's model engines, as declared by their operators.

    One step generates one token for each running request and takes `step_s` plus
    `step_per_request_s` for each of them. A prompt is read at `read_tokens_per_s`, at most
    `chunk_tokens` per step. An event of a stream holds the tokens of `stride` steps.
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
    """The structure of a model's weights, and the time that an engine takes to load them."""

    layers: int
    chunks: int
    chunk_bytes: int
    warmup_s: float


@dataclass(frozen=True)
class Service:
    """A service; `connection_limit` limits the connections to one target from all callers.

    A target answers at `liveness_path` with its name; empty if the service has none.
    `origin` is the address of the origin of weights, set for the one service that provides it. A
    target is cold for `cold_start_s` seconds after its start, and accepts `cold_per_s` requests a
    second while it is; 0 means no limit.
    """

    name: ServiceName
    connection_limit: int = 0
    liveness_path: str = ""
    engine: EngineProfile | None = None
    models: tuple[ModelName, ...] = ()
    weights: WeightsProfile | None = None
    origin: Address | None = None
    origin_bytes_per_s: float = 0.0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True)
class ClientAccount:
    """A client account; its priority, if set, overrides that of the route.

    If `homes` is not empty, its requests may run only in these regions. The homes of the route
    apply in addition.
    """

    name: Account
    priority: int | None = None
    homes: frozenset[Region] = frozenset()


@dataclass(frozen=True)
class CallerLimits:
    """Limits on the size of a caller's requests, and on the time to send one or to stay idle."""

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
    needs_key: bool = False  # on every route that is not anonymous, even if no account has a key
    limits: CallerLimits = field(default_factory=CallerLimits)
    source: bytes = field(
        default=b"", compare=False, repr=False
    )  # the declaration as the operators wrote it
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
        """Return the client account to which a key belongs, or None."""
        return self.accounts.get(key)


def require_weight(shares: Iterable[ServiceShare]) -> tuple[ServiceShare, ...]:
    """Return the services of a route; raise `ValueError` if none of them has a weight."""
    weighted = tuple(shares)
    if not any(share.weight > 0 for share in weighted):
        raise ValueError("no service of a route has a weight above 0")
    return weighted


def pick_service(shares: Sequence[ServiceShare], draw: float) -> ServiceName:
    """Return the service selected by `draw`, a number from 0 to 1, in proportion to the weights."""
    total = sum(share.weight for share in shares)
    rest = draw * total
    for share in shares:
        rest -= share.weight
        if rest < 0:
            return share.service
    return next(share.service for share in reversed(shares) if share.weight > 0)
