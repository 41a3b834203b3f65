"""Orders to a model engine."""

from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any

from lacewinggw.ids import Digest, ReleaseName


class EngineRole(Enum):
    """Which part of a request an engine runs."""

    BOTH = "both"
    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True)
class LoadOrder:
    """Load the chunks staged for a digest beside what is active."""

    digest: Digest
    release: ReleaseName
    chunk_count: int


@dataclass(frozen=True)
class ActivateOrder:
    """Answer with the weights loaded for a digest from now on."""

    digest: Digest


@dataclass(frozen=True)
class UnloadOrder:
    """Drop what is staged and loaded for a digest."""

    digest: Digest


@dataclass(frozen=True)
class AdapterOrder:
    """Load an adapter, or drop it."""

    adapter: str
    loaded: bool = True


@dataclass(frozen=True)
class RoleOrder:
    """Change the engine's role."""

    role: EngineRole


Order = LoadOrder | ActivateOrder | UnloadOrder | AdapterOrder | RoleOrder


def encode_order(order: Order) -> dict[str, Any]:
    """Return an order as it travels, without its fence."""
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
