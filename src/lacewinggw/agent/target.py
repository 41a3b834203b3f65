"""Status of the target on this host: whether requests may use it, and what it runs."""

from dataclasses import dataclass
from enum import Enum

from lacewinggw.generated.messages.ttypes import TargetState


class TargetKind(Enum):
    """The kind of target behind the agent."""

    ENGINE = "engine"
    PLAIN = "plain"


@dataclass
class TargetStatus:
    """Status that the reconciler updates and the request service reads.

    `active_digest` is what was last read back from the target, `""` when nothing is active or when
    the target is plain. Requests are offered only while `serving`. `ready_digest` is loaded in
    addition to the active one, for this host's turn in a rollout. `fences` is whether the settings
    say that the target refuses orders with an old fence.
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
