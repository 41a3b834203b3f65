"""The HTTP interface for operators: queries, commands and the whole configuration.

`POST /v1/query` and `GET /v1/query?words=` answer a query; `POST /v1/commands` appends commands to
the log, all commands of one body as one revision; `GET /v1/configuration` returns the declarations,
for `plan`. Every request needs an operator's token.
"""

import hmac
import json
from collections.abc import Callable
from typing import Any

from lacewinggw.clients.weights import WeightsClient
from lacewinggw.decisions.commands import find_accepted_entry
from lacewinggw.entry.gauges import ServiceGauges
from lacewinggw.entry.ledger import Ledger
from lacewinggw.entry.peerheartbeats import HeartbeatCollector
from lacewinggw.errors import (
    BadToken,
    LacewingError,
    MalformedHttp,
    NoConfiguration,
    UnknownName,
    UnknownPath,
)
from lacewinggw.generated.messages.ttypes import LogEntry, Release
from lacewinggw.generated.settings.ttypes import EntrySettings
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics
from lacewinggw.operators.changes import changes_of, releases_to_create
from lacewinggw.operators.declarations import configuration_to_json
from lacewinggw.operators.language import parse_commands, parse_query
from lacewinggw.operators.queries import Answer, Lines, Waiting, answer_query
from lacewinggw.operators.tables import Table
from lacewinggw.operators.view import FleetView
from lacewinggw.wire.http import Request, Response, json_response
from lacewinggw.wire.peers import Exchange, PeerNode
from lacewinggw.wire.problems import problem_body, problem_headers

BEARER = "bearer "
COMMAND_ID_LIMIT_CHARS = 64
CATCH_UP_TIMEOUT_S = 3.0
FIRST_ATTEMPT = 1
OK = 200

log = get_logger(__name__)

NewCommandId = Callable[[], str]


class OperatorService:
    """Answers operators' requests to one entry."""

    def __init__(
        self,
        ledger: Ledger,
        view: FleetView,
        origin: WeightsClient,
        tokens: dict[str, str],
        metrics: Metrics,
        new_command_id: NewCommandId,
        collector: HeartbeatCollector,
    ) -> None:
        self._ledger = ledger
        self._view = view
        self._origin = origin
        self._tokens = tokens
        self._metrics = metrics
        self._new_command_id = new_command_id
        self._collector = collector

    @classmethod
    def from_config(
        cls,
        settings: EntrySettings,
        ledger: Ledger,
        view: FleetView,
        origin: WeightsClient,
        metrics: Metrics,
        new_command_id: NewCommandId,
        node: PeerNode,
    ) -> "OperatorService":
        """Return the operator service of an entry, and add the service gauges."""
        pairs = [each.partition(":") for each in settings.operator_tokens or []]
        tokens = {name: token for name, _, token in pairs}
        ServiceGauges(view, metrics).follow(ledger)
        return cls(
            ledger, view, origin, tokens, metrics, new_command_id, HeartbeatCollector(node, view)
        )

    def answer_peer(self, exchange: Exchange) -> None:
        """Send another entry the last heartbeats that this one received from some hosts."""
        self._collector.answer(exchange)

    async def handle(self, request: Request) -> Response:
        """Answer one operator request; return errors as problem JSON."""
        try:
            author = self._author(request)
            return await self._route(request, author)
        except LacewingError as error:
            self._metrics.count("operator_refusals", reason=error.kind)
            return Response(error.http_status, problem_headers(error), problem_body(error))

    def _author(self, request: Request) -> str:
        header = request.headers.get("authorization", "")
        token = header[len(BEARER) :].strip() if header.lower().startswith(BEARER) else ""
        for name, known in self._tokens.items():
            if token and hmac.compare_digest(token.encode(), known.encode()):
                return name
        raise BadToken("no operator has this token")

    async def _route(self, request: Request, author: str) -> Response:
        match request.method, request.path:
            case "GET", "/v1/query":
                return await self._query(str(request.query.get("words", "")))
            case "POST", "/v1/query":
                return await self._query(_text(_body(request), "words"))
            case "POST", "/v1/commands":
                return await self._command(_body(request), author)
            case "GET", "/v1/configuration":
                self._require_ready()
                return json_response(OK, configuration_to_json(self._ledger.state))
        raise UnknownPath(f"there is no {request.method} {request.path} for operators")

    def _require_ready(self) -> None:
        if not self._ledger.ready:
            raise NoConfiguration("this entry has no configuration yet")

    async def _query(self, words: str) -> Response:
        query = parse_query(words)
        self._require_ready()
        value = answer_to_json(answer_query(query, await self._collector.merged_view()))
        return json_response(OK, {"revision": self._ledger.revision, **value})

    async def _command(self, body: dict[str, Any], author: str) -> Response:
        words = _text(body, "words")
        commands = parse_commands(words)
        self._require_ready()
        command_id = self._command_id(body)
        accepted = find_accepted_entry(self._ledger.state, command_id)
        if accepted is not None:
            return _accepted(accepted, repeated=True)
        read_revision = await self._read_revision(body)
        releases = {name: await self._release(name) for name in releases_to_create(commands)}
        hosts = [str(member.host) for member in self._view.members()]
        changes = changes_of(commands, self._ledger.state, releases, hosts)
        entry = await self._ledger.accept(
            changes,
            words=words.strip(),
            author=author,
            read_revision=read_revision,
            command_id=command_id,
            repeated="command_id" in body and _number(body, "attempt", 0) != FIRST_ATTEMPT,
        )
        log.info("command_accepted", revision=entry.revision, author=author, words=words)
        return _accepted(entry, repeated=False)

    async def _read_revision(self, body: dict[str, Any]) -> int:
        """Return the revision that a command is based on, once this entry has reached it."""
        requested = _number(body, "read_revision", self._ledger.revision)
        if await self._ledger.wait_for_revision(requested, CATCH_UP_TIMEOUT_S):
            return requested
        raise NoConfiguration(
            f"this entry is at revision {self._ledger.revision}, the command at {requested}",
            remedy="send the command to another entry, or retry in a few seconds",
        )

    def _command_id(self, body: dict[str, Any]) -> str:
        if "command_id" not in body:
            return self._new_command_id()
        command_id = _text(body, "command_id")
        if "read_revision" not in body:
            raise MalformedHttp(
                "a command with an id needs the read_revision that it is based on",
                remedy="add `read_revision`: the `revision` in the reply to any query",
            )
        if not 0 < len(command_id) <= COMMAND_ID_LIMIT_CHARS:
            raise MalformedHttp(f"a command id has 1 to {COMMAND_ID_LIMIT_CHARS} characters")
        return command_id

    async def _release(self, name: str) -> Release:
        try:
            manifest = await self._origin.manifest(name)  # type: ignore[arg-type]
        except LacewingError as error:
            if error.http_status != 404:
                raise
            raise UnknownName(
                f"the origin has no release {name}", remedy="put its weights there first"
            ) from error
        sizes = manifest.chunk_sizes
        return Release(name, manifest.digest, sum(sizes), len(sizes))


def answer_to_json(answer: Answer) -> dict[str, Any]:
    """Return an answer in the JSON form that the shell reads."""
    match answer:
        case Table():
            rows = [[row[column] for column in answer.columns] for row in answer.rows]
            return {"columns": list(answer.columns), "rows": rows}
        case Lines():
            return {"lines": list(answer.lines)}
        case Waiting():
            hold_ups = [
                {"subject": each.subject, "reason": each.reason, "remedy": each.remedy}
                for each in answer.hold_ups
            ]
            return {"done": answer.done, "held_up_by": hold_ups}


def _accepted(entry: LogEntry, repeated: bool) -> Response:
    return json_response(
        OK,
        {
            "revision": entry.revision,
            "command_id": entry.command_id,
            "author": entry.author,
            "words": entry.words,
            "repeated": repeated,
        },
    )


def _body(request: Request) -> dict[str, Any]:
    try:
        value = json.loads(request.body)
    except (ValueError, RecursionError) as error:
        raise MalformedHttp(f"the body is not JSON: {error}") from error
    if not isinstance(value, dict):
        raise MalformedHttp("the body is not a JSON object")
    return value


def _text(body: dict[str, Any], key: str) -> str:
    value = body.get(key)
    if not isinstance(value, str):
        raise MalformedHttp(f"`{key}` is missing or not a string")
    return value


def _number(body: dict[str, Any], key: str, default: int) -> int:
    value = body.get(key, default)
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise MalformedHttp(f"`{key}` is not a whole number")
    return value
