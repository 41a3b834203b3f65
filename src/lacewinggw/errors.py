"""Error hierarchy: a stable code for each kind, and messages that name the remedy.

Each class is one kind of error. Its docstring is the meaning that the reference page shows, and
`default_remedy` is the action to take. An error is sent between processes as a `Failure` message
and converted back to the same class:

    try:
        ...
    except NoTarget as error:
        failure = error.to_failure()
    raise LacewingError.from_failure(failure)

docs/ERRORS.md is generated from the classes here. A code is never reused.
"""

from collections.abc import Iterator
from enum import Enum
from typing import ClassVar, Self

from lacewinggw.generated.messages.ttypes import Failure


class Outcome(Enum):
    """Whether a request without an answer may have run."""

    NONE = ""  # the error is not about a request
    NOT_RUN = "not-run"  # it is certain that the request did not run
    UNKNOWN = "unknown"  # it may have run


# Callers repeat any request after these, as each promises that it has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Refusal(Enum):
    """Why a request was refused without being run; each reason has its own counter."""

    NO_TARGET = "no-target"
    OVERLOADED = "overloaded"
    ACCOUNT_LIMIT = "account-limit"
    DRAINING = "draining"
    DEADLINE = "deadline"
    KEY_REUSED = "key-reused"
    STORE_DOWN = "store-down"
    UNKNOWN_SERVICE = "unknown-service"
    TICKET_EXPIRED = "ticket-expired"
    WITHDRAWN = "withdrawn"
    RELEASE_MOVED = "release-moved"
    TARGET_REFUSED = "target-refused"
    RETRY_BUDGET = "retry-budget"
    CALLER_LEFT = "caller-left"
    NOT_READY = "not-ready"
    QUARANTINED = "quarantined"
    HOME_REGION = "home-region"
    ROUTES_SUPERSEDED = "routes-superseded"


_BY_CODE: dict[str, type["LacewingError"]] = {}


class LacewingError(Exception):
    """Any error that lacewinggw reports.

    `reason` describes the problem and `remedy` the action to take. `retry_after_ms` is the delay in
    milliseconds before the next attempt, 0 when waiting does not help.
    """

    code: ClassVar[str] = "LW-0001"
    kind: ClassVar[str] = "internal"
    outcome: ClassVar[Outcome] = Outcome.NONE
    http_status: ClassVar[int] = 500
    default_remedy: ClassVar[str] = "report it, with the log of the process that said so"

    def __init__(
        self,
        reason: str,
        *,
        remedy: str = "",
        retry_after_ms: int = 0,
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.remedy = remedy or self.default_remedy
        self.retry_after_ms = retry_after_ms

    def __init_subclass__(cls) -> None:
        """Register the class by its code; a base class without a code is not registered."""
        super().__init_subclass__()
        code = cls.__dict__.get("code")
        if code is None:
            return
        if code in _BY_CODE:
            raise TypeError(f"{cls.__name__} has the code of {_BY_CODE[code].__name__}: {code}")
        _BY_CODE[code] = cls

    def __str__(self) -> str:
        return f"{self.code} {self.kind}: {self.reason}; remedy: {self.remedy}"

    def to_failure(self) -> Failure:
        """Return the error as a `Failure` message."""
        return Failure(
            code=self.code,
            reason=self.reason,
            remedy=self.remedy,
            retry_after_ms=self.retry_after_ms,
            outcome=self.outcome.value,
        )

    @classmethod
    def from_failure(cls, failure: Failure) -> "LacewingError":
        """Return the error that a `Failure` message describes.

        An unknown code, sent by a newer process, becomes the general error of the same outcome.
        Otherwise the outcome "unknown" could be mistaken for "not run".
        """
        found = _BY_CODE.get(failure.code) or _general_class(failure.outcome)
        return found(
            failure.reason,
            remedy=failure.remedy,
            retry_after_ms=failure.retry_after_ms,
        )


def _general_class(outcome: str) -> type[LacewingError]:
    match outcome:
        case Outcome.NOT_RUN.value:
            return RequestRefused
        case Outcome.UNKNOWN.value:
            return RequestUnknown
        case _:
            return LacewingError


def error_classes() -> Iterator[type[LacewingError]]:
    """Yield each error class that has a code, in the order of the codes."""
    yield LacewingError
    for _, found in sorted(_BY_CODE.items()):
        yield found


# ---- settings ------------------------------------------------------------------------------


class SettingsError(LacewingError):
    """Invalid settings or an invalid command line."""

    http_status = 400
    default_remedy = "correct the settings file; docs/SETTINGS.md lists every key"

    @classmethod
    def at(cls, file: str, section: str, key: str, met: str, remedy: str = "") -> Self:
        """Return the error for a position in a settings file: "FILE [section] key: problem"."""
        where = f"{file} [{section}]" if section else file
        return cls(f"{where} {key}: {met}" if key else f"{where}: {met}", remedy=remedy)


class SettingsUnreadable(SettingsError):
    """The settings file cannot be read, or is not valid INI."""

    code = "LW-1001"
    kind = "settings-unreadable"


class UnknownSection(SettingsError):
    """The schema does not define the section."""

    code = "LW-1002"
    kind = "unknown-section"


class UnknownKey(SettingsError):
    """The section does not define the key."""

    code = "LW-1003"
    kind = "unknown-key"


class MissingValue(SettingsError):
    """A required key, which has no default, is missing or empty."""

    code = "LW-1004"
    kind = "missing-value"


class WrongUnit(SettingsError):
    """The value has no unit, or a unit of a different quantity."""

    code = "LW-1005"
    kind = "wrong-unit"


class BadValue(SettingsError):
    """The value has the wrong type for the key, or is out of range."""

    code = "LW-1006"
    kind = "bad-value"


class BadAddress(SettingsError):
    """The address is not an IP address and a port."""

    code = "LW-1007"
    kind = "bad-address"


class AddressClash(SettingsError):
    """Two listeners of one process have the same address."""

    code = "LW-1008"
    kind = "address-clash"


class BadUsage(SettingsError):
    """The command line matches no usage."""

    code = "LW-1009"
    kind = "bad-usage"
    default_remedy = "see `lacewinggw --help`"


class ListenFailed(SettingsError):
    """A listener could not be opened on its configured address."""

    code = "LW-1010"
    kind = "listen-failed"
    default_remedy = "free the address, or give another in the settings"


# ---- connections ---------------------------------------------------------------------------


class WireError(LacewingError):
    """A failure of a connection, or invalid data received on it."""

    http_status = 502


class FrameTooLarge(WireError):
    """A frame exceeds the limit; the connection is closed before the frame is buffered."""

    code = "LW-2001"
    kind = "frame-too-large"
    default_remedy = "send less at once; if both ends are ours, give them the same version"


class ProtocolViolation(WireError):
    """The peer sent a message that the protocol does not allow in this state."""

    code = "LW-2002"
    kind = "protocol-violation"
    http_status = 400
    default_remedy = "run the same version of lacewinggw on both sides"


class BadFleetKey(WireError):
    """The peer failed to authenticate with the fleet key."""

    code = "LW-2003"
    kind = "bad-fleet-key"
    http_status = 403
    default_remedy = "give every process of the fleet the same `fleet_key`"


class ConnectionLost(WireError):
    """The connection closed while more data was expected."""

    code = "LW-2004"
    kind = "connection-lost"
    default_remedy = "see whether the other host is up; it is tried again by itself"


class TimedOut(WireError):
    """The peer did not respond within the time limit."""

    code = "LW-2005"
    kind = "timeout"
    http_status = 504
    default_remedy = "see whether the other host is overloaded or cut off"


class BodyTooLarge(WireError):
    """The body of an HTTP message exceeds the limit."""

    code = "LW-2006"
    kind = "body-too-large"
    http_status = 413
    outcome = Outcome.NOT_RUN
    default_remedy = "send a shorter body, or raise `body_limit` in [entry]"


class MalformedHttp(WireError):
    """The HTTP request is malformed."""

    code = "LW-2007"
    kind = "malformed-request"
    http_status = 400
    outcome = Outcome.NOT_RUN
    default_remedy = "correct the request; docs/CALLERS.md shows each with an example"


class UnknownPath(WireError):
    """The path does not exist, or does not support the method."""

    code = "LW-2008"
    kind = "unknown-path"
    http_status = 404
    outcome = Outcome.NOT_RUN
    default_remedy = "docs/CALLERS.md lists the paths for callers"


class Unreachable(WireError):
    """No connection could be established; nothing was sent."""

    code = "LW-2009"
    kind = "unreachable"
    http_status = 503
    default_remedy = "see whether the other process runs and listens there"


class UnsupportedMessage(WireError):
    """This process has no handler for the message."""

    code = "LW-2010"
    kind = "unsupported-message"
    http_status = 501
    default_remedy = "run the same version of lacewinggw on both sides"


class BadToken(WireError):
    """The token is missing, unknown, or not valid for this listener."""

    code = "LW-2011"
    kind = "bad-token"
    http_status = 401
    outcome = Outcome.NOT_RUN
    default_remedy = "send `Authorization: Bearer TOKEN` with the token that the entries know"


# ---- platform ------------------------------------------------------------------------------


class PlatformError(LacewingError):
    """A platform service failed to perform an operation."""

    http_status = 503


class PlatformUnavailable(PlatformError):
    """The service is down, unreachable, or refused the operation; nothing was written."""

    code = "LW-3001"
    kind = "platform-unavailable"
    default_remedy = "see to the platform's service; work goes on with what is known meanwhile"


class WriteUnknown(PlatformError):
    """The write was sent but no reply was received; it may or may not have taken effect."""

    code = "LW-3003"
    kind = "write-unknown"
    default_remedy = "read the row back before deciding"


class RowMissing(PlatformError):
    """The row or object does not exist."""

    code = "LW-3004"
    kind = "not-found"
    http_status = 404
    default_remedy = "check the name; it may have been removed"


class PlatformThrottled(PlatformError):
    """The service is over its rate limit and requests a delay."""

    code = "LW-3005"
    kind = "platform-throttled"
    http_status = 429
    default_remedy = "wait the given time; if it goes on, give the service more capacity"


class BadPlatformAnswer(PlatformError):
    """The service sent an invalid response."""

    code = "LW-3006"
    kind = "bad-platform-answer"
    http_status = 502
    default_remedy = "check that the address in [platform] is that of the right service"


class EntryUnreadable(PlatformError):
    """An entry of the store is invalid: another writer created or corrupted it."""

    code = "LW-3007"
    kind = "entry-unreadable"
    http_status = 502
    default_remedy = "find out who wrote the entry; until it is written anew it counts for nothing"


# ---- configuration -------------------------------------------------------------------------


class ConfigurationError(LacewingError):
    """A command that was not accepted, or whose acceptance is unknown."""

    http_status = 400


class ConfigurationConflict(ConfigurationError):
    """The configuration changed after the author of the command read it."""

    code = "LW-4001"
    kind = "stale-revision"
    http_status = 409
    default_remedy = "read the present value, decide, and give the command again"

    @classmethod
    def between(cls, name: str, wanted: str, current: str, revision: int) -> Self:
        """Return the error that shows both values of a setting that two operators changed."""
        return cls(f"{name} changed at revision {revision}: yours is {wanted}, now is {current}")


class UnknownName(ConfigurationError):
    """The configuration does not contain the service, release or host."""

    code = "LW-4002"
    kind = "unknown-name"
    http_status = 404
    default_remedy = "check the spelling; `show` lists the names"


class NoConfiguration(ConfigurationError):
    """The process has no configuration yet and serves no requests."""

    code = "LW-4003"
    kind = "no-configuration"
    http_status = 503
    default_remedy = "see whether the platform's table or any other entry can be reached"


class AcceptanceUnknown(ConfigurationError):
    """It is currently unknown whether the command was accepted."""

    code = "LW-4004"
    kind = "acceptance-unknown"
    http_status = 504
    outcome = Outcome.UNKNOWN
    default_remedy = "ask `show command ID` once the platform's table is up again"


class InvalidChange(ConfigurationError):
    """The command contradicts the configuration."""

    code = "LW-4005"
    kind = "invalid-change"
    default_remedy = "correct the command"


class AlreadyExists(ConfigurationError):
    """The name is already in use."""

    code = "LW-4006"
    kind = "already-exists"
    http_status = 409
    default_remedy = "take another name, or change what exists with `set`"


class StillInUse(ConfigurationError):
    """The item to remove is still in use."""

    code = "LW-4007"
    kind = "still-in-use"
    http_status = 409
    default_remedy = "move the services that use it first"


class BadDeclaration(ConfigurationError):
    """The declaration file is invalid."""

    code = "LW-4008"
    kind = "bad-declaration"
    default_remedy = "correct the file; docs/operators/LANGUAGE.md shows the keys"


# ---- language ------------------------------------------------------------------------------


class LanguageError(LacewingError):
    """A syntax error in a command or query."""

    code = "LW-5001"
    kind = "syntax-error"
    http_status = 400
    default_remedy = "docs/operators/LANGUAGE.md lists the commands"

    position: int = 0
    expected: tuple[str, ...] = ()
    nearest: str = ""

    @classmethod
    def at(cls, words: str, position: int, expected: tuple[str, ...], nearest: str = "") -> Self:
        """Return the error that points at the character `position` of `words`."""
        met = words[position:].split(maxsplit=1)
        found = repr(met[0]) if met else "the end"
        reason = f"at character {position + 1}: met {found}, expected {' or '.join(expected)}"
        error = cls(reason, remedy=f"did you mean {nearest!r}?" if nearest else "")
        error.position = position
        error.expected = expected
        error.nearest = nearest
        return error


class UnknownColumn(LanguageError):
    """The query names a column that its table does not have."""

    code = "LW-5002"
    kind = "unknown-column"


# ---- requests that did not run -------------------------------------------------------------


class RequestRefused(LacewingError):
    """The request did not run; it can be sent again safely."""

    code = "LW-6000"
    kind = "refused"
    http_status = 503
    outcome = Outcome.NOT_RUN
    default_remedy = "send the request again after the given time"

    refusal: ClassVar[Refusal | None] = None

    @classmethod
    def because(cls, refusal: Refusal, reason: str, retry_after_ms: int = 0) -> "RequestRefused":
        """Return an error of the class for `refusal`."""
        return _BY_REFUSAL[refusal](reason, retry_after_ms=retry_after_ms)


class NoTarget(RequestRefused):
    """No available target currently serves the service."""

    code = "LW-6001"
    kind = Refusal.NO_TARGET.value
    refusal = Refusal.NO_TARGET


class Overloaded(RequestRefused):
    """The queues are full; the request would wait too long."""

    code = "LW-6002"
    kind = Refusal.OVERLOADED.value
    refusal = Refusal.OVERLOADED


class AccountLimit(RequestRefused):
    """The client account is over its limit on the request rate or on concurrent requests."""

    code = "LW-6003"
    kind = Refusal.ACCOUNT_LIMIT.value
    refusal = Refusal.ACCOUNT_LIMIT
    http_status = 429
    default_remedy = "slow down to the account's limit, or ask an operator to raise it"


class Draining(RequestRefused):
    """The process or the target is shutting down and accepts no new requests."""

    code = "LW-6004"
    kind = Refusal.DRAINING.value
    refusal = Refusal.DRAINING
    default_remedy = "ask for addresses again and send the request to another"


class DeadlineTooNear(RequestRefused):
    """The request's deadline has passed, or would pass before it could run."""

    code = "LW-6005"
    kind = Refusal.DEADLINE.value
    refusal = Refusal.DEADLINE
    default_remedy = "give the request more time, or send it again after the given time"


class KeyReused(RequestRefused):
    """The idempotency key belongs to a request with different content."""

    code = "LW-6006"
    kind = Refusal.KEY_REUSED.value
    refusal = Refusal.KEY_REUSED
    http_status = 422
    default_remedy = "take a fresh idempotency key for each new request"


class StoreDown(RequestRefused):
    """The store is down, so the claim of a request with a key cannot be written."""

    code = "LW-6007"
    kind = Refusal.STORE_DOWN.value
    refusal = Refusal.STORE_DOWN
    default_remedy = "take a ticket, which needs no store, or send it again after the given time"


class UnknownService(RequestRefused):
    """The service does not exist in the configuration."""

    code = "LW-6008"
    kind = Refusal.UNKNOWN_SERVICE.value
    refusal = Refusal.UNKNOWN_SERVICE
    http_status = 404
    default_remedy = "check the name of the service"


class TicketExpired(RequestRefused):
    """The reservation or ticket expired, or was already used without starting a request."""

    code = "LW-6009"
    kind = Refusal.TICKET_EXPIRED.value
    refusal = Refusal.TICKET_EXPIRED
    default_remedy = "take a new ticket"


class Withdrawn(RequestRefused):
    """The request was withdrawn before it started."""

    code = "LW-6010"
    kind = Refusal.WITHDRAWN.value
    refusal = Refusal.WITHDRAWN


class ReleaseMoved(RequestRefused):
    """The target does not serve the weights that the request asks for."""

    code = "LW-6011"
    kind = Refusal.RELEASE_MOVED.value
    refusal = Refusal.RELEASE_MOVED


class TargetRefused(RequestRefused):
    """The target reported that it did not run the request."""

    code = "LW-6012"
    kind = Refusal.TARGET_REFUSED.value
    refusal = Refusal.TARGET_REFUSED


class RetryBudgetSpent(RequestRefused):
    """The first attempt did not run, and retries have reached their share of all requests."""

    code = "LW-6013"
    kind = Refusal.RETRY_BUDGET.value
    refusal = Refusal.RETRY_BUDGET


class CallerLeft(RequestRefused):
    """The caller closed the connection before the request started."""

    code = "LW-6014"
    kind = Refusal.CALLER_LEFT.value
    refusal = Refusal.CALLER_LEFT
    http_status = 499


class NotReady(RequestRefused):
    """The process has no configuration yet."""

    code = "LW-6015"
    kind = Refusal.NOT_READY.value
    refusal = Refusal.NOT_READY
    default_remedy = "send the request to another address, or again after the given time"


class RoutesSuperseded(RequestRefused):
    """Newer routes exist that may handle the request differently, and have not arrived yet."""

    code = "LW-6021"
    kind = Refusal.ROUTES_SUPERSEDED.value
    refusal = Refusal.ROUTES_SUPERSEDED
    default_remedy = "send the request to another address, or again after the given time"


class RequestQuarantined(RequestRefused):
    """Each target that started this request ended; the request is quarantined for a time."""

    code = "LW-6016"
    kind = Refusal.QUARANTINED.value
    refusal = Refusal.QUARANTINED
    default_remedy = "do not send the request again as it is; its operators can lift the quarantine"


class NoHomeTarget(RequestRefused):
    """No available target in the home regions of the request can serve it."""

    code = "LW-6020"
    kind = Refusal.HOME_REGION.value
    refusal = Refusal.HOME_REGION
    default_remedy = (
        "send the request again after the given time; if it goes on, check `HomeRegions` of its "
        "route and client account"
    )


# ---- requests that may have run ------------------------------------------------------------


class RequestUnknown(LacewingError):
    """The request may have run; only an idempotent request can be sent again safely."""

    code = "LW-7000"
    kind = "unknown"
    http_status = 502
    outcome = Outcome.UNKNOWN
    default_remedy = "ask `GET /v1/requests/ID` for its outcome; repeat it only if idempotent"


class AgentLost(RequestUnknown):
    """The connection to the agent was lost after the request was offered."""

    code = "LW-7001"
    kind = "agent-lost"


class DeadlinePassed(RequestUnknown):
    """The deadline passed while the request was running."""

    code = "LW-7002"
    kind = "deadline-passed"
    http_status = 504


class TargetFailed(RequestUnknown):
    """The target failed while running the request."""

    code = "LW-7003"
    kind = "target-failed"


class AnswerIncomplete(RequestUnknown):
    """The answer was truncated, or its pieces do not match their count and digest."""

    code = "LW-7004"
    kind = "answer-incomplete"


class AnswerMalformed(AnswerIncomplete):
    """What a target sent as an answer violates the protocol or a limit."""


class HolderGone(RequestUnknown):
    """The agent that held the request's claim is gone, and its state is lost."""

    code = "LW-7005"
    kind = "holder-gone"
    default_remedy = "find out at the target's own records whether it ran, before a new key"


class AnswerGone(RequestUnknown):
    """The request with this key ran, but its answer is no longer stored."""

    code = "LW-7007"
    kind = "answer-gone"
    http_status = 410
    default_remedy = "do not repeat it: it ran; raise `answer_keep` to keep answers longer"


class ClaimUnreadable(RequestUnknown):
    """The store is down, and an earlier request with the same key may have run."""

    code = "LW-7008"
    kind = "claim-unreadable"
    http_status = 503
    default_remedy = "send it again with the same key after the given time: it runs at most once"


# ---- weights -------------------------------------------------------------------------------


class WeightsError(LacewingError):
    """Complete weights could not be obtained."""

    http_status = 503


class CorruptChunk(WeightsError):
    """A chunk does not match its hash and was discarded."""

    code = "LW-8001"
    kind = "corrupt-chunk"
    default_remedy = "nothing at once: it is fetched elsewhere; look at a source that repeats it"


class UnknownDigest(WeightsError):
    """No manifest was found for the digest."""

    code = "LW-8003"
    kind = "unknown-digest"
    http_status = 404
    default_remedy = "put the release's manifest at the origin, or correct the digest"


class NoSource(WeightsError):
    """No neighbour, origin or weight store can supply a chunk."""

    code = "LW-8004"
    kind = "no-source"
    default_remedy = "see whether the origin holds the release whole and can be reached"


class ManifestMismatch(WeightsError):
    """The manifest does not match the requested digest."""

    code = "LW-8005"
    kind = "manifest-mismatch"
    default_remedy = "publish the manifest again at the origin"


class ChunkNotHeld(WeightsError):
    """The host does not have the requested chunk."""

    code = "LW-8006"
    kind = "chunk-not-held"
    http_status = 404
    default_remedy = "nothing: another source is asked"


class LinkBusy(WeightsError):
    """The source has no free upload slot."""

    code = "LW-8007"
    kind = "link-busy"
    default_remedy = "nothing: another source is asked, or the same one later"


# ---- orders to targets ---------------------------------------------------------------------


class OrderError(LacewingError):
    """An order to a target was not executed."""

    http_status = 409


class StaleFence(OrderError):
    """The order has an older revision than one that was already executed."""

    code = "LW-9001"
    kind = "stale-fence"
    default_remedy = "nothing: a newer order stands"


class OrderRefused(OrderError):
    """The target refused the order."""

    code = "LW-9002"
    kind = "order-refused"
    default_remedy = "look at the target's own log"


class ReadBackMismatch(OrderError):
    """The target reports a state that differs from the ordered one."""

    code = "LW-9003"
    kind = "read-back-mismatch"
    default_remedy = "nothing at once: the order is given again; then look at the target's log"


class TargetUnreachable(OrderError):
    """The target does not respond on its configured address."""

    code = "LW-9004"
    kind = "target-unreachable"
    http_status = 503
    default_remedy = "start the target, or correct `target` in [agent]"


_BY_REFUSAL = {
    found.refusal: found
    for found in _BY_CODE.values()
    if issubclass(found, RequestRefused) and found.refusal is not None
}
