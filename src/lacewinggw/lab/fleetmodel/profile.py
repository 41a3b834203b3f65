"""What a modelled fleet consists of: its engines, its routes and its callers."""

from dataclasses import dataclass, field, replace

from lacewinggw.decisions.routes import (
    DEFAULT_PRIORITY,
    ClientAccount,
    EngineProfile,
    RetryPolicy,
    Route,
    RouteTable,
    Service,
)
from lacewinggw.decisions.routes import ServiceShare as Share
from lacewinggw.ids import Account, ModelName, RouteName, ServiceName

MODEL = ModelName("market")
WRITER = ServiceName("writer")
DOMAIN = "notes.example"
USUAL_LEFT_S = 6.0  # what a caller gives a request at first


@dataclass(frozen=True)
class CallKind:
    """One kind of request: how often it comes, what it is worth, and its sizes in tokens.

    `spread` is the standard deviation of the logarithm of a prompt's length, and of an answer's.
    """

    name: str
    share: float
    worth: float
    late_worth: float
    objective_s: float
    prompt_tokens: float
    answer_events: float
    spread: float = 0.8
    longest_prompt: int = 3880
    longest_answer: int = 50
    priority: int = DEFAULT_PRIORITY


@dataclass(frozen=True)
class CallerAccount:
    """A client account: its share of the requests, and how its callers retry.

    Its callers retry up to `retries` times; with `returns_at_once` they ignore Retry-After.
    """

    name: str
    share: float
    retries: int = 1
    returns_at_once: bool = False


@dataclass(frozen=True)
class FleetProfile:
    """A fleet: entries and engines over places, and the load of its callers a second."""

    entries: int
    engines: int
    places: int
    calls_per_s: float
    figures: EngineProfile
    kinds: tuple[CallKind, ...]
    gap_s: float = 0.4
    hop_s: float = 0.0028  # one way between places
    caller_hop_s: float = 0.003
    queue: int = 32  # requests that an engine holds beyond its slots
    retries: int = 1
    extra_retries: float = 100.0
    news_hop_s: float = 0.005  # that an agent's news takes, read and sent on its host's own core
    accounts: tuple[CallerAccount, ...] = ()

    @property
    def table(self) -> RouteTable:
        """The routes that its operators declare."""
        routes = tuple(
            Route(
                RouteName(kind.name),
                DOMAIN,
                f"/{kind.name}/",
                RetryPolicy.RESUMABLE,
                streams=True,
                timeout_s=USUAL_LEFT_S,
                objective_s=kind.objective_s,
                shares=(Share(WRITER, 1.0),),
                attempts=2,
                priority=kind.priority,
                gap_s=self.gap_s,
            )
            for kind in self.kinds
        )
        service = Service(WRITER, engine=self.figures, models=(MODEL,))
        accounts = {each.name: ClientAccount(Account(each.name)) for each in self.accounts}
        return RouteTable(1, routes, {WRITER: service}, accounts)


BLEND_KINDS = (
    CallKind("digest", 0.406, 2.4, 0.6, 0.5, 1290, 20.3),
    CallKind("note", 0.308, 2.0, 0.49, 0.4, 787, 20.3),
    CallKind("query", 0.286, 1.5, 0.37, 0.4, 607, 13.9),
)
BLEND_FIGURES = EngineProfile(
    slots=16,
    step_s=0.00927,
    step_per_request_s=0.0000232,
    context_s_per_kilotoken=0.0000322,
    read_tokens_per_s=20_700.0,
    pair_s_per_million=0.00118,
    chunk_tokens=2048,
    stride=5,
    memory_tokens=317_000,
    typical_prompt_tokens=937,
    typical_answer_tokens=90,
)


def small_fleet(calls_per_s: float = 70.0) -> FleetProfile:
    """Return six entries before eleven engines of 16 slots."""
    return FleetProfile(6, 11, 3, calls_per_s, BLEND_FIGURES, BLEND_KINDS)


def grown_fleet(calls_per_s: float = 236.0) -> FleetProfile:
    """Return 45 entries before 36 engines of 12 slots."""
    figures = replace(BLEND_FIGURES, slots=12)
    return FleetProfile(45, 36, 3, calls_per_s, figures, BLEND_KINDS, extra_retries=254.0)


BULLETIN_KINDS = (
    CallKind("report", 0.394, 2.5, 0.62, 0.406, 1290, 21.0),
    CallKind("summary", 0.272, 2.2, 0.54, 0.405, 787, 21.0),
    CallKind("note", 0.334, 1.3, 0.33, 0.405, 607, 10.0),
)
BULLETIN_FIGURES = EngineProfile(
    slots=12,
    step_s=0.00673,
    step_per_request_s=0.0000219,
    context_s_per_kilotoken=0.0000068,
    read_tokens_per_s=30_600.0,
    pair_s_per_million=0.000647,
    chunk_tokens=2048,
    stride=7,
    memory_tokens=1_640_000,
    typical_prompt_tokens=925,
    typical_answer_tokens=122,
)
HALL_KINDS = (
    CallKind("report", 0.428, 2.3, 0.57, 0.606, 1290, 14.2, longest_answer=35),
    CallKind("summary", 0.297, 2.0, 0.51, 0.505, 787, 14.2, longest_answer=35),
    CallKind("note", 0.275, 1.5, 0.38, 0.505, 607, 9.9, longest_answer=35),
)
HALL_FIGURES = replace(
    BULLETIN_FIGURES,
    slots=8,
    step_s=0.0101,
    step_per_request_s=0.0000328,
    context_s_per_kilotoken=0.0000102,
    read_tokens_per_s=20_400.0,
    pair_s_per_million=0.000971,
    typical_answer_tokens=91,
)


def few_engines() -> FleetProfile:
    """Return six entries before six engines, at 1.2 times of what these can do."""
    return FleetProfile(6, 6, 3, 70.0, BLEND_FIGURES, BLEND_KINDS)


def medium_fleet() -> FleetProfile:
    """Return 42 entries before 30 engines of 12 slots, at 1.4 times of what these can do."""
    return FleetProfile(
        42,
        30,
        3,
        419.0,
        BULLETIN_FIGURES,
        BULLETIN_KINDS,
        gap_s=0.3,
        hop_s=0.001,
        caller_hop_s=0.001,
        queue=24,
        extra_retries=240.0,
    )


def large_fleet() -> FleetProfile:
    """Return 98 entries before 78 engines of 8 slots, at 1.4 times of what these can do."""
    return FleetProfile(
        98,
        78,
        5,
        691.0,
        HALL_FIGURES,
        HALL_KINDS,
        gap_s=0.5,
        hop_s=0.001,
        queue=16,
        extra_retries=454.0,
    )


SUMMARY_KINDS = (
    CallKind("report", 0.33, 2.5, 0.62, 0.406, 1290, 21.0),
    CallKind("summary", 0.394, 2.2, 0.54, 0.406, 787, 21.0),
    CallKind("note", 0.276, 1.3, 0.33, 0.405, 607, 10.0),
)


def swinging_fleet() -> FleetProfile:
    """Return 11 entries before 9 engines, at 1.3 times of what these can do.

    Most of its requests are of the middle kind, and their callers are further away.
    """
    return FleetProfile(
        11,
        9,
        3,
        117.0,
        BULLETIN_FIGURES,
        SUMMARY_KINDS,
        gap_s=0.3,
        hop_s=0.001,
        caller_hop_s=0.003,
        queue=24,
        extra_retries=60.0,
    )


TRANSIT_KINDS = (
    CallKind("itinerary", 0.338, 1.0, 0.38, 1.006, 1330, 21.0, priority=2),
    CallKind("notice", 0.427, 3.2, 0.32, 0.406, 827, 21.0, priority=0),
    CallKind("question", 0.235, 1.3, 0.31, 0.405, 647, 14.0, priority=1),
)
LARGE_ACCOUNT_SHARES = (0.25, 0.15, 0.1)
SMALL_ACCOUNTS = 20


def transit_accounts() -> tuple[CallerAccount, ...]:
    """Return 24 accounts: three large ones, 20 small ones, one that retries three times at once."""
    large = tuple(
        CallerAccount(f"large-{number}", share) for number, share in enumerate(LARGE_ACCOUNT_SHARES)
    )
    share = (1.0 - sum(LARGE_ACCOUNT_SHARES)) / (SMALL_ACCOUNTS + 1)
    small = tuple(CallerAccount(f"small-{number}", share) for number in range(SMALL_ACCOUNTS))
    return (*large, *small, CallerAccount("retrying", share, retries=3, returns_at_once=True))


def transit_fleet(entries: int = 45) -> FleetProfile:
    """Return entries before 20 engines of 12 slots, with kinds of three ranks and 24 accounts."""
    return FleetProfile(
        entries,
        20,
        3,
        216.7,
        replace(BLEND_FIGURES, slots=12),
        TRANSIT_KINDS,
        hop_s=0.001,
        caller_hop_s=0.001,
        queue=24,
        extra_retries=250.0,
        accounts=transit_accounts(),
    )


def uneven_fleet(calls_per_s: float = 90.0) -> FleetProfile:
    """Return 24 entries before 9 engines in 3 zones, at about what these can do."""
    return FleetProfile(
        24,
        9,
        3,
        calls_per_s,
        BULLETIN_FIGURES,
        BULLETIN_KINDS,
        gap_s=0.3,
        hop_s=0.001,
        caller_hop_s=0.001,
        queue=24,
        extra_retries=135.0,
    )


@dataclass(frozen=True)
class Window:
    """A span of time, in seconds from the start of the load."""

    begin_s: float
    end_s: float


@dataclass(frozen=True)
class SlowMoments:
    """Each engine takes `factor` times as long for a share of the time, about `length_s` at once.

    The moments of an engine are independent of those of others if `turns` is 0. Otherwise one part
    of the engines after the other is slow, out of so many parts.
    """

    share: float = 0.15
    length_s: float = 0.6
    factor: float = 2.5
    turns: int = 0


@dataclass(frozen=True)
class LoadPattern:
    """What happens to a fleet under load; times in seconds from the start of the load.

    `bursts` multiply the load, which rises and falls by `swing`. In `outages` a share of the
    engines is out, as when they take other weights: they say so, let their requests end, and begin
    nothing. In `power_losses` every entry and engine stops and begins anew. `slow` engines take
    several times as long, and so do all of them in `moments`. `kind_bursts` multiply the requests
    of one kind, `account_bursts` those of one account. `place_loads` are the shares of the load
    that callers of each place send, as multiples of an even share. The load rises from `ramp_from`
    of its height over the first `ramp_s`.
    """

    name: str
    length_s: float = 20.0
    bursts: tuple[tuple[Window, float], ...] = ()
    outages: tuple[tuple[Window, float], ...] = ()
    power_losses: tuple[Window, ...] = ()
    slow: tuple[tuple[Window, float, float], ...] = ()  # window, share of the engines, factor
    moments: SlowMoments | None = None
    place_loads: tuple[float, ...] = ()
    impatient: float = 0.0  # share of callers that come back at once, whatever they are told
    swing: float = 0.0  # of the load, up and down by this share of it once in `SWING_S`
    kind_bursts: tuple[tuple[Window, str, float], ...] = ()
    account_bursts: tuple[tuple[Window, str, float], ...] = ()
    ramp_from: float = 1.0
    ramp_s: float = 0.0
    counted: Window = field(default=Window(2.0, 19.0))


SWING_S = 8.0  # from one crest of a swinging load to the next

PATTERNS: tuple[LoadPattern, ...] = (
    LoadPattern("steady"),
    LoadPattern("swing", swing=0.22),
    LoadPattern("burst", bursts=((Window(5.0, 8.0), 1.7),)),
    LoadPattern("half out", outages=((Window(5.0, 7.5), 0.5), (Window(7.5, 10.0), 0.5))),
    LoadPattern("all out", outages=((Window(5.0, 9.0), 1.0),)),
    LoadPattern("power loss", power_losses=(Window(6.0, 7.6),)),
    LoadPattern("slow engines", slow=((Window(5.0, 11.0), 0.2, 7.5),)),
    LoadPattern("impatient", bursts=((Window(5.0, 9.0), 1.5),), impatient=0.3),
    LoadPattern("slow moments", moments=SlowMoments()),
    LoadPattern("slow turns", moments=SlowMoments(turns=3)),
    LoadPattern("slow target", slow=((Window(5.0, 15.0), 0.1, 2.5),)),
    LoadPattern("uneven places", place_loads=(1.0, 0.85, 1.4)),
)

RANKS = LoadPattern(
    "ranks",
    length_s=22.0,
    swing=0.22,
    kind_bursts=((Window(6.0, 12.0), "itinerary", 2.3), (Window(15.0, 18.0), "notice", 1.9)),
    ramp_from=0.55,
    ramp_s=9.0,
    counted=Window(2.0, 21.0),
)

FLOOD = LoadPattern(
    "flood",
    length_s=14.0,
    swing=0.22,
    account_bursts=((Window(4.0, 10.0), "large-0", 6.0),),
    counted=Window(4.0, 11.0),
)
