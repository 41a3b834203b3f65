"""Orders to a model engine and their encoding."""

from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any

from lacewinggw.ids import Digest, ReleaseName


class EngineRole(Enum):
    """Which phases of a request an engine runs."""

    BOTH = "both"
    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True)
class LoadOrder:
    """Load the chunks staged for a digest while the active weights stay in use."""

    digest: Digest
    release: ReleaseName
    chunk_count: int


@dataclass(frozen=True)
class ActivateOrder:
    """Use the weights loaded for a digest for all later requests."""

    digest: Digest


@dataclass(frozen=True)
class UnloadOrder:
    """Discard the staged chunks and loaded weights of a digest."""

    digest: Digest


@dataclass(frozen=True)
class AdapterOrder:
    """Load an adapter, or unload it if `loaded` is false."""

    adapter: str
    loaded: bool = True


@dataclass(frozen=True)
class RoleOrder:
    """Change which phases of a request the engine runs."""

    role: EngineRole


Order = LoadOrder | ActivateOrder | UnloadOrder | AdapterOrder | RoleOrder


def encode_order(order: Order) -> dict[str, Any]:
    """Return the JSON object of an order, without its fencing token."""
    match order:
        case LoadOrder():
            kind = "load"
        case ActivateOrder():
            kind = "activate"
        case UnloadOrder():
            kind = "unload"
        case AdapterOrder():
            kind = "adapter"
        case RoleOrder(role):
            return {"order": "role", "role": role.value}
    return {"order": kind, **asdict(order)}
