"""Which entries client accounts are told to use, worked out once for each list of hosts.

Ranking hundreds of entries for an account takes a millisecond or two, and the split of its limit
asks for them several times a second.
"""

from collections.abc import Callable, Iterable, Sequence

from lacewinggw.clients.membership import Member, MemberRole, MemberState
from lacewinggw.decisions.addresses import LiveEntry, account_entries
from lacewinggw.ids import Account, HostId

Members = Callable[[], Sequence[Member]]


def live_entries(members: Iterable[Member]) -> list[LiveEntry]:
    """Return the entries that callers may be told of."""
    return [
        LiveEntry(member.host, member.place, member.caller_address)
        for member in members
        if member.role is MemberRole.ENTRY and member.state is MemberState.LIVE
    ]


class AccountEntries:
    """The entries that callers are told of: live by the list, and not known to leave.

    Whoever says that it leaves is left out until it says otherwise, at most for `leaving_s`
    seconds. A list is known again by its identity, so `members` returns the same object until
    there is another list.
    """

    def __init__(self, members: Members, leaving_s: float) -> None:
        self._members = members
        self._leaving_s = leaving_s
        self._leaving_until: dict[HostId, float] = {}  # until when
        self._cached_members: Sequence[Member] | None = None
        self._cached_leaving: frozenset[HostId] = frozenset()
        self._entries: list[LiveEntry] = []
        self._by_account: dict[tuple[Account, int], tuple[LiveEntry, ...]] = {}

    def note_leaving(self, host: HostId, leaving: bool, now: float) -> None:
        """Note what an entry says of itself."""
        if leaving:
            self._leaving_until[host] = now + self._leaving_s
        else:
            self._leaving_until.pop(host, None)

    def for_account(self, account: Account, count: int, now: float) -> tuple[LiveEntry, ...]:
        """Return the `count` entries of an account, the same at every entry."""
        self._refresh(now)
        key = account, count
        if key not in self._by_account:
            self._by_account[key] = account_entries(account, self._entries, count)
        return self._by_account[key]

    def _refresh(self, now: float) -> None:
        members = self._members()
        left = frozenset(host for host, until in self._leaving_until.items() if until > now)
        if members is self._cached_members and left == self._cached_leaving:
            return
        self._cached_members, self._cached_leaving = members, left
        self._entries = [each for each in live_entries(members) if each.host not in left]
        self._by_account.clear()
