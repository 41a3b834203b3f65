"""Client of a plain service on this host."""

from dataclasses import dataclass

from lacewinggw.clients.targets import (
    IDEMPOTENCY_KEY_HEADER,
    REQUEST_ID_HEADER,
    lost_before_answer,
    refusal_error,
)
from lacewinggw.ids import RequestId
from lacewinggw.wire.http import JSON_TYPE, HttpClient, HttpError
from lacewinggw.wire.network import Network


@dataclass(frozen=True)
class PlainCall:
    """One call to a plain service; `idempotency_key` is "" if it has none."""

    request_id: RequestId
    path: str
    body: bytes = b""
    method: str = "POST"
    idempotency_key: str = ""
    content_type: str = JSON_TYPE


@dataclass(frozen=True)
class PlainAnswer:
    """The complete answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class PlainClient:
    """Sends calls to one plain service.

    Raises `TargetRefused` if the call did not run, and `TargetFailed` if it may have run. A
    response with any status other than a refusal is returned as an answer.
    """

    def __init__(self, network: Network, address: str) -> None:
        self._http = HttpClient(network)
        self._address = address

    async def start(self) -> None:
        """Do nothing: connections are opened on demand."""

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def call(self, call: PlainCall, timeout_s: float) -> PlainAnswer:
        """Send a call once, without retries, and return its complete answer."""
        headers = {REQUEST_ID_HEADER: call.request_id, "content-type": call.content_type}
        if call.idempotency_key:
            headers[IDEMPOTENCY_KEY_HEADER] = call.idempotency_key
        try:
            response = await self._http.request(
                self._address, call.method, call.path, headers, call.body, timeout_s
            )
        except (OSError, TimeoutError, HttpError) as error:
            raise lost_before_answer(error) from error
        refused = refusal_error(response.status, response.headers)
        if refused is not None:
            raise refused
        content_type = response.headers.get("content-type", "application/octet-stream")
        return PlainAnswer(response.status, content_type, response.content)
