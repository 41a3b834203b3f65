"""The entries assigned to client accounts, cached until the list of hosts changes.

Ranking hundreds of entries for an account takes one to two milliseconds, and the split of its limit
needs the result several times a second.
"""

from collections.abc import Callable, Iterable, Sequence

from lacewinggw.clients.membership import Member, MemberRole, MemberState
from lacewinggw.decisions.addresses import LiveEntry, account_entries
from lacewinggw.ids import Account, HostId

Members = Callable[[], Sequence[Member]]


def live_entries(members: Iterable[Member]) -> list[LiveEntry]:
    """Return the live entries among the members."""
    return [
        LiveEntry(member.host, member.place, member.caller_address)
        for member in members
        if member.role is MemberRole.ENTRY and member.state is MemberState.LIVE
    ]


class AccountEntries:
    """Assigns entries to accounts: those that are listed as live and not known to be leaving.

    An entry that reports that it is leaving is omitted until it reports otherwise, at most for
    `leaving_s` seconds. The cache compares lists by identity, so `members` has to return the same
    object until the list changes.
    """

    def __init__(self, members: Members, leaving_s: float) -> None:
        self._members = members
        self._leaving_s = leaving_s
        self._leaving_until: dict[HostId, float] = {}  # end, in loop time
        self._cached_members: Sequence[Member] | None = None
        self._cached_leaving: frozenset[HostId] = frozenset()
        self._entries: list[LiveEntry] = []
        self._by_account: dict[tuple[Account, int], tuple[LiveEntry, ...]] = {}

    def note_leaving(self, host: HostId, leaving: bool, now: float) -> None:
        """Record whether an entry reports that it is leaving."""
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
        leaving = frozenset(host for host, until in self._leaving_until.items() if until > now)
        if members is self._cached_members and leaving == self._cached_leaving:
            return
        self._cached_members, self._cached_leaving = members, leaving
        self._entries = [each for each in live_entries(members) if each.host not in leaving]
        self._by_account.clear()
