"""Client of the model engine on this host: weights, orders, requests and KV cache."""

import json
from collections.abc import AsyncGenerator
from dataclasses import dataclass
from typing import Any

from lacewinggw.clients.calls import decode_json, join_path
from lacewinggw.clients.orders import (
    ActivateOrder,
    AdapterOrder,
    EngineRole,
    LoadOrder,
    Order,
    RoleOrder,
    UnloadOrder,
    encode_order,
)
from lacewinggw.clients.pieces import AnswerEnd, PieceBatch, read_pieces
from lacewinggw.clients.targets import (
    PRIORITY_HEADER,
    REQUEST_ID_HEADER,
    RESUME_HEADER,
    bad_request_error,
    describe_error,
    lost_before_answer,
    lost_within_answer,
    refusal_error,
)
from lacewinggw.errors import (
    AnswerIncomplete,
    BadPlatformAnswer,
    OrderError,
    OrderRefused,
    StaleFence,
    TargetUnreachable,
)
from lacewinggw.ids import Digest, RequestId
from lacewinggw.wire.http import (
    JSON_TYPE,
    Headers,
    HttpClient,
    HttpError,
    Response,
    StreamedResponse,
)
from lacewinggw.wire.network import Network

__all__ = [
    "ActivateOrder",
    "AdapterOrder",
    "AnswerEnd",
    "CacheEvent",
    "EngineClient",
    "EngineRole",
    "EngineState",
    "Generation",
    "LoadOrder",
    "Order",
    "PieceBatch",
    "RoleOrder",
    "RunCount",
    "UnloadOrder",
    "EngineAnswer",
]

SERVICE = "engine"
EVENT_STREAM = "text/event-stream"
ORDER_TIMEOUT_S = 60.0
CALL_TIMEOUT_S = 5.0
ERROR_LIMIT_BYTES = 1 << 20  # of the body of an error
STALE_FENCE_REASON = "stale-fence"


@dataclass(frozen=True)
class EngineState:
    """The state that the engine reports.

    The engine computes the digests `active` and `loaded` from the chunks that it holds, not from
    the digests named in orders. The load is `load_age_ms` old.
    """

    active: Digest
    loaded: tuple[Digest, ...]
    running: int
    queued: int
    capacity: int
    load_age_ms: int
    adapters: tuple[str, ...]
    role: EngineRole
    fence: int
    boot: str = ""


@dataclass(frozen=True)
class Generation:
    """One request to a model: the caller's unchanged body, and how to run it.

    Queued requests run in order of `priority`, lowest first. The engine doesn't send pieces before
    index `resume_from`.
    """

    request_id: RequestId
    body: bytes
    priority: int = 2
    resume_from: int = 0

    def to_headers(self, accept: str) -> Headers:
        """Return the request headers, with `accept` as the accepted content type."""
        return {
            REQUEST_ID_HEADER: self.request_id,
            PRIORITY_HEADER: str(self.priority),
            RESUME_HEADER: str(self.resume_from),
            "content-type": JSON_TYPE,
            "accept": accept,
        }


@dataclass(frozen=True)
class EngineAnswer:
    """A complete answer, sent as one body instead of a stream."""

    content_type: str
    body: bytes
    weights: Digest


@dataclass(frozen=True)
class RunCount:
    """How often the engine started and finished a request since it booted as `boot`.

    A count of 0 proves nothing if the engine restarted after the request was sent.
    """

    started: int
    finished: int
    boot: str = ""


@dataclass(frozen=True)
class CacheEvent:
    """The storing or eviction of a prefix block. Gaps in `number` are lost events."""

    number: int
    stored: bool
    weights: Digest
    block: str


class EngineClient:
    """Sends orders and requests to one engine.

    Orders raise `StaleFence`, `OrderRefused` and `TargetUnreachable`. The last can also mean that
    only the reply was lost: read the state to see whether the order took effect. Requests raise
    `TargetRefused` if they did not run, `MalformedHttp` if the engine rejects the content, and
    `TargetFailed` or `AnswerIncomplete` if they may have run.
    """

    def __init__(self, network: Network, address: str) -> None:
        self._http = HttpClient(network)
        self._address = address

    async def start(self) -> None:
        """Do nothing: connections are opened on demand."""

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def stage_chunk(self, digest: Digest, index: int, data: bytes) -> None:
        """Upload one chunk to the engine's staging area, for a later load order."""
        await self._order_call("PUT", f"/staging/{digest}/chunks/{index}", data, ORDER_TIMEOUT_S)

    async def staged_chunks(self, digest: Digest) -> dict[int, str]:
        """Return the hashes of the chunks staged for a digest, by index."""
        response = await self._order_call("GET", f"/staging/{digest}")
        return decode_json(response, SERVICE, _decode_staged)

    async def order(self, order: Order, fence: int) -> None:
        """Send an order with a fencing token. Not every engine checks the token."""
        body = json.dumps({**encode_order(order), "fence": fence}).encode()
        await self._order_call("POST", "/orders", body, ORDER_TIMEOUT_S)

    async def state(self) -> EngineState:
        """Return the engine's current state."""
        return decode_json(await self._order_call("GET", "/state"), SERVICE, _decode_state)

    async def run_count(self, request_id: RequestId) -> RunCount:
        """Return how often the engine started and finished a request."""
        response = await self._order_call("GET", f"/ran/{request_id}")
        return decode_json(response, SERVICE, lambda value: RunCount(**value))

    async def cache_events(self, after: int) -> list[CacheEvent]:
        """Return the cache events numbered above `after`. Events may be late or missing."""
        response = await self._order_call("GET", f"/events?after={after}")
        return decode_json(response, SERVICE, _decode_events)

    async def export_kv(self, block: str) -> bytes | None:
        """Return the KV cache of a prefix block, or None if it is not cached."""
        response = await self._order_call("GET", f"/kv/{block}", accepted=(200, 404))
        return response.content if response.status == 200 else None

    async def import_kv(self, block: str, data: bytes) -> None:
        """Store an exported prefix block in the engine's KV cache."""
        await self._order_call("PUT", f"/kv/{block}", data)

    async def generate(
        self, generation: Generation, timeout_s: float
    ) -> AsyncGenerator[PieceBatch | AnswerEnd, None]:
        """Yield pieces as they arrive, batched by read, then the end.

        `timeout_s` limits each read in seconds. Closing the iterator cancels the request at the
        engine. A truncated answer always raises an error; iteration never ends without an
        `AnswerEnd`.
        """
        headers = generation.to_headers(EVENT_STREAM)
        try:
            response = await self._http.stream(
                self._address, "POST", "/generate", headers, generation.body, timeout_s
            )
        except (OSError, TimeoutError, HttpError) as error:
            raise lost_before_answer(error) from error
        try:
            await _check_started(response)
            async for item in read_pieces(response, generation.resume_from):
                yield item
        except (OSError, TimeoutError, HttpError) as error:
            raise lost_within_answer(error) from error
        finally:
            await response.aclose()

    async def answer(self, generation: Generation, timeout_s: float) -> EngineAnswer:
        """Return the complete answer within `timeout_s` seconds."""
        headers = generation.to_headers(JSON_TYPE)
        try:
            response = await self._http.request(
                self._address, "POST", "/generate", headers, generation.body, timeout_s
            )
        except (OSError, TimeoutError, HttpError) as error:
            raise lost_before_answer(error) from error
        _check_answer_status(response.status, response.headers, response.content)
        try:
            weights = decode_json(response, SERVICE, lambda value: Digest(str(value["digest"])))
        except BadPlatformAnswer as error:
            raise AnswerIncomplete(error.reason) from error
        content_type = response.headers.get("content-type", JSON_TYPE)
        return EngineAnswer(content_type, response.content, weights)

    async def _order_call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
        accepted: tuple[int, ...] = (200,),
    ) -> Response:
        path, _, query = path.partition("?")
        target = f"{join_path(path)}?{query}" if query else join_path(path)
        try:
            response = await self._http.request(
                self._address, method, target, None, body, timeout_s
            )
        except (OSError, TimeoutError, HttpError) as error:
            raise TargetUnreachable(f"the engine sent no reply: {describe_error(error)}") from error
        if response.status not in accepted:
            raise _order_error(response)
        return response


def _order_error(response: Response) -> OrderError:
    detail = response.content[:200].decode("utf-8", "replace")
    if response.status == 409 and STALE_FENCE_REASON in detail:
        return StaleFence(f"the engine has received an order with a newer fence: {detail}")
    return OrderRefused(f"the engine answered with status {response.status}: {detail}")


async def _check_started(response: StreamedResponse) -> None:
    if response.status == 200:
        return
    content = await response.read(ERROR_LIMIT_BYTES)
    _check_answer_status(response.status, response.headers, content)


def _check_answer_status(status: int, headers: Headers, content: bytes) -> None:
    refused = refusal_error(status, headers)
    if refused is not None:
        raise refused
    if 400 <= status < 500:
        raise bad_request_error(status, content)
    if status != 200:
        raise AnswerIncomplete(f"the engine answered with status {status}")


def _decode_staged(value: dict[str, Any]) -> dict[int, str]:
    return {int(index): str(chunk_hash) for index, chunk_hash in value["chunks"].items()}


def _decode_state(value: dict[str, Any]) -> EngineState:
    return EngineState(
        active=Digest(str(value["active"])),
        loaded=tuple(Digest(str(digest)) for digest in value["loaded"]),
        running=int(value["running"]),
        queued=int(value["queued"]),
        capacity=int(value["capacity"]),
        load_age_ms=int(value["load_age_ms"]),
        adapters=tuple(value["adapters"]),
        role=EngineRole(value["role"]),
        fence=int(value["fence"]),
        boot=str(value.get("boot", "")),
    )


def _decode_events(value: dict[str, Any]) -> list[CacheEvent]:
    return [
        CacheEvent(int(event["n"]), bool(event["stored"]), Digest(event["digest"]), event["block"])
        for event in value["events"]
    ]
