"""Calls from an operator's shell to the entries: tried in turn, a command only by its id.

A command carries an id and the revision it was based on, so that giving it again to another entry
after a lost reply cannot carry it out twice.
"""

from collections.abc import Sequence
from typing import Any

from lacewinggw.errors import (
    AcceptanceUnknown,
    ConfigurationConflict,
    ConnectionLost,
    LacewingError,
    NoConfiguration,
    Outcome,
    PlatformUnavailable,
    TimedOut,
    Unreachable,
    error_classes,
)
from lacewinggw.ids import Address
from lacewinggw.wire.http import (
    HttpClient,
    HttpError,
    NotConnectedError,
    Response,
    json_response,
)
from lacewinggw.wire.network import Network

OK = 200


class EntryClient:
    """The operators' listeners of the entries.

    Raises the typed error that an entry answered with, `Unreachable` when none could be asked, and
    `AcceptanceUnknown` when a command was sent and no entry could tell what became of it.
    """

    def __init__(
        self, network: Network, entries: Sequence[Address], token: str, timeout_s: float
    ) -> None:
        self._http = HttpClient(network)
        self._entries = list(entries)
        self._token = token
        self._timeout_s = timeout_s

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()

    async def query(self, words: str) -> dict[str, Any]:
        """Return the answer to a query, from the first entry that has one."""
        return await self._first_answer("POST", "/v1/query", {"words": words})

    async def configuration(self) -> dict[str, Any]:
        """Return the declarations in force."""
        return await self._first_answer("GET", "/v1/configuration", None)

    async def evacuations(self) -> dict[str, Any]:
        """Return the evacuated zones that an entry of a declared fleet knows."""
        return await self._first_answer("GET", "/v1/evacuations", None)

    async def command(self, words: str, command_id: str, read_revision: int) -> dict[str, Any]:
        """Have commands accepted as one revision and return where they stand in the log."""
        body = {"words": words, "command_id": command_id, "read_revision": read_revision}
        in_doubt = False
        failure: LacewingError = Unreachable("no entry could be reached")
        for attempt, address in enumerate(self._entries, 1):
            try:
                attempted = {**body, "attempt": attempt}
                return await self._call(address, "POST", "/v1/commands", attempted)
            except Unreachable as error:
                failure = error
            except (NoConfiguration, PlatformUnavailable) as error:
                failure = error
            except (AcceptanceUnknown, ConnectionLost, TimedOut) as error:
                in_doubt, failure = True, error
            except ConfigurationConflict:
                raise  # final, whatever is still on its way: that would be refused too
            except LacewingError as error:
                if not in_doubt:
                    raise
                failure = error
        if in_doubt:
            raise AcceptanceUnknown(
                f"command {command_id} may have been accepted: {failure.reason}",
                remedy=f"ask `show command {command_id}` once the entries answer again",
            )
        raise failure

    async def _first_answer(
        self, method: str, path: str, body: dict[str, Any] | None
    ) -> dict[str, Any]:
        failure: LacewingError = Unreachable("no entry could be reached")
        for address in self._entries:
            try:
                return await self._call(address, method, path, body)
            except (Unreachable, NoConfiguration, ConnectionLost, TimedOut) as error:
                failure = error
        raise failure

    async def _call(
        self, address: Address, method: str, path: str, body: dict[str, Any] | None
    ) -> dict[str, Any]:
        headers = {"authorization": f"Bearer {self._token}"} if self._token else {}
        content = b"" if body is None else json_response(OK, body).content
        try:
            response = await self._http.request(
                address, method, path, headers, content, self._timeout_s
            )
        except NotConnectedError as error:
            raise Unreachable(f"nobody answers at {address}") from error
        except TimeoutError as error:
            raise TimedOut(f"no answer from {address} within {self._timeout_s:g} s") from error
        except (OSError, HttpError) as error:
            raise ConnectionLost(f"no whole answer from {address}: {error}") from error
        if response.status != OK:
            raise error_of(response)
        value: dict[str, Any] = response.json()
        return value


def error_of(response: Response) -> LacewingError:
    """Return the typed error that a problem response stands for."""
    try:
        problem = response.json()
    except ValueError:
        problem = {}
    reason = str(problem.get("detail", f"the entry answered {response.status}"))
    remedy = str(problem.get("remedy", ""))
    retry_after_ms = int(problem.get("retry_after_ms", 0))
    code = problem.get("code", "")
    found = next((each for each in error_classes() if each.code == code), None)
    if found is None:
        unknown = problem.get("outcome") == Outcome.UNKNOWN.value
        found = AcceptanceUnknown if unknown else LacewingError
    return found(reason, remedy=remedy, retry_after_ms=retry_after_ms)
