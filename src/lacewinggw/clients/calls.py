"""Requests to the platform's services, with failures classified.

Errors of a write say whether it may have taken effect. A failure to connect or a refusal by status
raises `PlatformUnavailable` or `PlatformThrottled`: the write had no effect. Any other failure
after the request was sent raises `WriteUnknown`.
"""

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

from lacewinggw.errors import (
    BadPlatformAnswer,
    EntryUnreadable,
    PlatformError,
    PlatformThrottled,
    PlatformUnavailable,
    WriteUnknown,
)
from lacewinggw.wire.headervalues import read_float
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
MAX_RETRY_AFTER_S = 86_400.0  # milliseconds are sent on as a 32-bit integer
# Timeouts of the first connection attempts. A service whose accept queue is full, such as when a
# whole fleet starts at once, drops SYN packets, and the kernel resends one only after 1 s. The last
# attempt gets the remaining connect time, for slow links.
CONNECT_ATTEMPTS_S = (0.15, 0.25)
MIN_CONNECT_S = 0.05
CONNECT_JITTER = 0.5  # plus or minus, so that hosts dropped together retry at different times

Query = dict[str, str]
T = TypeVar("T")


def join_path(path: str, query: Query | None = None) -> str:
    """Return a percent-encoded request target with its query string."""
    quoted = quote(path)
    return f"{quoted}?{urlencode(query)}" if query else quoted


def retry_after_ms(response: Response) -> int:
    """Return the response's Retry-After in milliseconds, 0 if it is missing or not a number."""
    delay_s = read_float(response.headers.get("retry-after"))
    return int(min(delay_s or 0.0, MAX_RETRY_AFTER_S) * MS_PER_S)


def check_status(response: Response, service: str) -> Response:
    """Return the response unless its status is a refusal.

    Raises `PlatformThrottled` for 429 and `PlatformUnavailable` for 503.
    """
    match response.status:
        case status if status == TOO_MANY_REQUESTS:
            reason = f"the {service} is over its rate limit"
            raise PlatformThrottled(reason, retry_after_ms=retry_after_ms(response))
        case status if status == SERVICE_UNAVAILABLE:
            reason = f"the {service} is unavailable"
            raise PlatformUnavailable(reason, retry_after_ms=retry_after_ms(response))
    return response


def decode_json(response: Response, service: str, build: Callable[[Any], T]) -> T:
    """Return `build` of the parsed JSON body; raise `BadPlatformAnswer` if it is malformed."""
    try:
        return build(json.loads(response.content))
    except EntryUnreadable as error:
        reason = f"the {service} sent a malformed response: {error.reason}"
        raise BadPlatformAnswer(reason) from None
    except (
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as error:
        raise BadPlatformAnswer(f"the {service} sent a malformed response: {error!r}") from None


class ServiceCalls:
    """Sends requests to one service address.

    `timeout_s` limits a write as a whole. In a read it limits the wait for the response to begin
    and each pause in it. The client that made the `HttpClient` owns its connections.
    """

    def __init__(self, http: HttpClient, address: str, service: str, timeout_s: float) -> None:
        self._http = http
        self._address = address
        self._service = service
        self._timeout_s = timeout_s

    @property
    def service(self) -> str:
        """The service's name in error messages."""
        return self._service

    async def read(
        self,
        path: str,
        query: Query | None = None,
        headers: Headers | None = None,
        timeout_s: float | None = None,
        pause_s: float | None = None,
        body_limit_bytes: int | None = None,
    ) -> Response:
        """Send a GET request and return its response, which may have another status than 200.

        Raises `PlatformUnavailable` or `PlatformThrottled` if the request fails, is refused, or is
        answered with a server error. The response must begin within the time limit. It may then
        continue while data keeps arriving, up to the HTTP client's limit for long responses, with
        no pause longer than `pause_s`, or the time limit by default: a large response that is cut
        off and restarted would never complete over a slow link. `timeout_s` replaces the default
        limit, for requests that the service holds open, and `body_limit_bytes` that of the client.
        """
        target = join_path(path, query)
        limit_s = self._timeout_s if timeout_s is None else timeout_s
        try:
            response = await self._request(
                "GET", target, headers, b"", limit_s, pause_s or limit_s, body_limit_bytes
            )
        except (OSError, TimeoutError, HttpError) as error:
            raise self._unavailable(error) from error
        if response.status >= MIN_SERVER_ERROR and response.status != SERVICE_UNAVAILABLE:
            raise PlatformUnavailable(f"the {self._service} answered with status {response.status}")
        return check_status(response, self._service)

    async def write(
        self, method: str, path: str, body: Any = None, query: Query | None = None
    ) -> Response:
        """Send a write; raise `WriteUnknown` if it may have taken effect although it failed.

        Raises `PlatformUnavailable` or `PlatformThrottled` if it had no effect. A body of bytes is
        sent unchanged, any other as JSON.
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
            raise WriteUnknown(
                f"the {self._service} answered a write with status {response.status}"
            )
        return check_status(response, self._service)

    async def _request(
        self,
        method: str,
        target: str,
        headers: Headers | None,
        body: bytes,
        timeout_s: float,
        pause_s: float | None = None,
        body_limit_bytes: int | None = None,
    ) -> Response:
        """Send a request, retrying with a new connection while connecting times out."""
        connect_deadline = asyncio.get_running_loop().time() + timeout_s * CONNECT_SHARE
        for attempt_s in CONNECT_ATTEMPTS_S:
            remaining_s = connect_deadline - asyncio.get_running_loop().time()
            connect_s = attempt_s * random.uniform(1.0 - CONNECT_JITTER, 1.0 + CONNECT_JITTER)
            if connect_s >= remaining_s:
                break
            try:
                return await self._http.request(
                    self._address,
                    method,
                    target,
                    headers,
                    body,
                    timeout_s,
                    pause_s,
                    connect_s,
                    body_limit_bytes,
                )
            except NotConnectedError as error:
                if not error.is_timeout:
                    raise
        remaining_s = max(MIN_CONNECT_S, connect_deadline - asyncio.get_running_loop().time())
        return await self._http.request(
            self._address,
            method,
            target,
            headers,
            body,
            timeout_s,
            pause_s,
            remaining_s,
            body_limit_bytes,
        )

    def unexpected_status(self, response: Response) -> PlatformError:
        """Return the error for a status that the caller doesn't handle."""
        return BadPlatformAnswer(
            f"the {self._service} answered with unexpected status {response.status}"
        )

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
