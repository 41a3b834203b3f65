"""One call to a service of the platform, with its failures told apart.

What matters of a failed write is whether it may have taken effect: one with no connection, or a
refusal by status is `PlatformUnavailable` or `PlatformThrottled`, and certainly did not; anything
else after the request was sent is `WriteUnknown`.
"""

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

from lacewinggw.errors import (
    BadPlatformAnswer,
    PlatformError,
    PlatformThrottled,
    PlatformUnavailable,
    WriteUnknown,
)
from lacewinggw.wire.http import (
    CONNECT_SHARE,
    JSON_TYPE,
    Headers,
    HttpClient,
    HttpError,
    NotConnectedError,
    Response,
)

MS_PER_S = 1000
TOO_MANY_REQUESTS = 429
SERVICE_UNAVAILABLE = 503
MIN_SERVER_ERROR = 500
# Until a connection that does not open is begun anew. A service whose queue of new connections is
# full drops opening packets, as when a whole fleet starts at once, and a kernel sends the next one
# after a second. The last attempt has the rest of the time, for a link that is slow.
CONNECT_ATTEMPTS_S = (0.15, 0.25)
MIN_CONNECT_S = 0.05
CONNECT_JITTER = 0.5  # either way, so that those that were dropped together do not meet again

Query = dict[str, str]
T = TypeVar("T")


def join_path(path: str, query: Query | None = None) -> str:
    """Return a request target, quoted, with its query."""
    quoted = quote(path)
    return f"{quoted}?{urlencode(query)}" if query else quoted


def retry_after_ms(response: Response) -> int:
    """Return how long the other side asks to wait, in milliseconds; 0 when it does not say."""
    try:
        return int(float(response.headers.get("retry-after", "0")) * MS_PER_S)
    except ValueError:
        return 0


def check_status(response: Response, service: str) -> Response:
    """Return a response that is no refusal; raise the error for one that is."""
    match response.status:
        case status if status == TOO_MANY_REQUESTS:
            reason = f"the {service} is over its rate"
            raise PlatformThrottled(reason, retry_after_ms=retry_after_ms(response))
        case status if status == SERVICE_UNAVAILABLE:
            reason = f"the {service} is out of service"
            raise PlatformUnavailable(reason, retry_after_ms=retry_after_ms(response))
    return response


def decode_json(response: Response, service: str, build: Callable[[Any], T]) -> T:
    """Return what `build` makes of the JSON body; raise `BadPlatformAnswer` when it cannot."""
    try:
        return build(json.loads(response.content))
    except (ValueError, KeyError, TypeError) as error:
        raise BadPlatformAnswer(
            f"the {service} answered what is not understood: {error!r}"
        ) from None


class ServiceCalls:
    """Calls to one address, each with a time limit in seconds for a silence of the other side.

    Owns no connection: the `HttpClient` belongs to the client that made it.
    """

    def __init__(self, http: HttpClient, address: str, service: str, timeout_s: float) -> None:
        self._http = http
        self._address = address
        self._service = service
        self._timeout_s = timeout_s

    @property
    def service(self) -> str:
        """The service's name in messages."""
        return self._service

    async def read(
        self,
        path: str,
        query: Query | None = None,
        headers: Headers | None = None,
        timeout_s: float | None = None,
        pause_s: float | None = None,
    ) -> Response:
        """Get; raise `PlatformUnavailable` or `PlatformThrottled` for whatever fails.

        The answer has to begin within the time limit, and may then take as long as it keeps coming,
        with no pause longer than `pause_s`, or the limit: one that is cut off and begun anew would
        never end over a link without much room. `timeout_s` replaces the usual limit, for a call
        that waits at the other side.
        """
        target = join_path(path, query)
        limit_s = self._timeout_s if timeout_s is None else timeout_s
        try:
            response = await self._request("GET", target, headers, b"", limit_s, pause_s or limit_s)
        except (OSError, TimeoutError, HttpError) as error:
            raise self._unavailable(error) from error
        if response.status >= MIN_SERVER_ERROR and response.status != SERVICE_UNAVAILABLE:
            raise PlatformUnavailable(f"the {self._service} answered {response.status}")
        return check_status(response, self._service)

    async def write(
        self, method: str, path: str, body: Any = None, query: Query | None = None
    ) -> Response:
        """Change something; raise `WriteUnknown` when it may have taken effect unseen.

        A body of bytes goes as it is, any other as JSON.
        """
        data, headers = _encode_body(body)
        target = join_path(path, query)
        try:
            response = await self._request(method, target, headers, data, self._timeout_s)
        except NotConnectedError as error:
            raise self._unavailable(error) from error
        except (OSError, TimeoutError, HttpError) as error:
            reason = f"the {self._service} gave no reply to a write: {_describe(error)}"
            raise WriteUnknown(reason) from error
        if response.status >= MIN_SERVER_ERROR and response.status != SERVICE_UNAVAILABLE:
            raise WriteUnknown(f"the {self._service} answered a write with {response.status}")
        return check_status(response, self._service)

    async def _request(
        self,
        method: str,
        target: str,
        headers: Headers | None,
        body: bytes,
        timeout_s: float,
        pause_s: float | None = None,
    ) -> Response:
        """Make a request, on another connection where the first ones do not open soon."""
        connect_until = asyncio.get_running_loop().time() + timeout_s * CONNECT_SHARE
        for attempt_s in CONNECT_ATTEMPTS_S:
            left_s = connect_until - asyncio.get_running_loop().time()
            connect_s = attempt_s * random.uniform(1.0 - CONNECT_JITTER, 1.0 + CONNECT_JITTER)
            if connect_s >= left_s:
                break
            try:
                return await self._http.request(
                    self._address, method, target, headers, body, timeout_s, pause_s, connect_s
                )
            except NotConnectedError as error:
                if not error.is_silent:
                    raise
        left_s = max(MIN_CONNECT_S, connect_until - asyncio.get_running_loop().time())
        return await self._http.request(
            self._address, method, target, headers, body, timeout_s, pause_s, left_s
        )

    def unexpected_status(self, response: Response) -> PlatformError:
        """Return the error for a status that the call has no use for."""
        return BadPlatformAnswer(f"the {self._service} answered {response.status}")

    def _unavailable(self, error: Exception) -> PlatformUnavailable:
        return PlatformUnavailable(f"the {self._service} cannot be reached: {_describe(error)}")


def _describe(error: Exception) -> str:
    return str(error) or type(error).__name__


def _encode_body(body: Any) -> tuple[bytes, Headers]:
    if body is None:
        return b"", {}
    if isinstance(body, bytes):
        return body, {"content-type": "application/octet-stream"}
    return json.dumps(body, separators=(",", ":")).encode(), {"content-type": JSON_TYPE}
