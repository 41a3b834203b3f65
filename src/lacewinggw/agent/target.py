"""The target on this host as requests see it: whether it may be used, and what it runs."""

from dataclasses import dataclass
from enum import Enum

from lacewinggw.generated.messages.ttypes import TargetState


class TargetKind(Enum):
    """What stands behind the agent."""

    ENGINE = "engine"
    PLAIN = "plain"


@dataclass
class TargetStatus:
    """Shared between the keeper, which changes it, and the request service, which obeys it.

    `active_digest` is what was last read back from the target, `""` when nothing is active or when
    the target is plain. Requests are offered only while `serving`. `ready_digest` is loaded beside
    what is active, for the host's turn to change over. `fences` is whether the settings say that
    the target refuses orders with an old fence.
    """

    kind: TargetKind
    address: str
    service: str = ""
    release: str = ""
    active_digest: str = ""
    serving: bool = False
    state: TargetState = TargetState.STARTING
    ready_digest: str = ""
    detail: str = ""
    fences: bool = False
