"""Look up a request's outcome here, or at the entry that the request id names."""

from collections.abc import Callable, Sequence

from lacewinggw.clients.membership import Member, MemberRole
from lacewinggw.entry.outcomes import RequestLog, RequestOutcome, RequestState
from lacewinggw.entry.parsing import entry_of
from lacewinggw.errors import LacewingError, RowMissing
from lacewinggw.generated.messages.ttypes import AskOutcome, RequestTold
from lacewinggw.ids import Account
from lacewinggw.wire.peers import Exchange, PeerNode

ASK_TIMEOUT_S = 2.0

Members = Callable[[], Sequence[Member]]


class OutcomeLookup:
    """Finds the outcome of an account's request, and answers other entries' lookups."""

    def __init__(self, log: RequestLog, node: PeerNode, members: Members) -> None:
        self._log = log
        self._node = node
        self._members = members

    async def find(self, request_id: str, account: Account) -> RequestOutcome:
        """Return an outcome; raise `RowMissing` if neither this nor the named entry has it."""
        found = self._log.find(request_id, account)
        return found if found is not None else await self._ask(request_id, account)

    def answer(self, exchange: Exchange) -> None:
        """Send another entry an outcome; raise `RowMissing` if this entry does not have it."""
        query: AskOutcome = exchange.message
        found = self._log.find(query.request_id or "", Account(query.account or ""))
        if found is None:
            raise _unknown(query.request_id)
        exchange.finish(RequestTold(found.state.value, found.code, found.reason))

    async def _ask(self, request_id: str, account: Account) -> RequestOutcome:
        address = self._address_of(entry_of(request_id))
        if not address:
            raise _unknown(request_id)
        query = AskOutcome(request_id, account)
        try:
            reply = await self._node.call(address, query, ASK_TIMEOUT_S)
        except LacewingError as error:
            raise _unknown(request_id) from error
        if not isinstance(reply, RequestTold):
            raise _unknown(request_id)
        return RequestOutcome(RequestState(reply.state), account, reply.code, reply.reason)

    def _address_of(self, entry: str) -> str:
        """Return the peer address of another entry, or "" if it is not listed."""
        for member in self._members():
            if member.role is MemberRole.ENTRY and member.host == entry:
                return "" if entry == self._node.identity.host else member.address
        return ""


def _unknown(request_id: str) -> RowMissing:
    return RowMissing(
        f"no entry has an outcome of request {request_id}",
        remedy="check the id; only the entry that accepted a request keeps its outcome, for a time",
    )
