"""The entries assigned to accounts, cached for each list of hosts."""

from dataclasses import replace

import pytest

from lacewinggw.clients.membership import Member, MemberRole, MemberState
from lacewinggw.decisions.addresses import LiveEntry, account_entries
from lacewinggw.entry import accountentries
from lacewinggw.entry.accountentries import AccountEntries
from lacewinggw.ids import Account, Address, HostId, Place

BUYERS, PRESS = Account("buyers"), Account("press")
LEAVING_S = 60.0


def make_list(count: int) -> tuple[Member, ...]:
    return tuple(
        Member(
            HostId(f"entry-{n}"),
            Place(f"place-{n % 3}"),
            MemberRole.ENTRY,
            Address(f"10.0.0.{n}:7000"),
            caller_address=Address(f"10.0.0.{n}:7002"),
        )
        for n in range(count)
    )


def hosts(entries: tuple[LiveEntry, ...]) -> set[str]:
    return {entry.host for entry in entries}


def test_each_list_is_ranked_once_for_each_account(monkeypatch: pytest.MonkeyPatch) -> None:
    ranked: list[Account] = []

    def rank(account: Account, entries: list[LiveEntry], count: int) -> tuple[LiveEntry, ...]:
        ranked.append(account)
        return account_entries(account, entries, count)

    monkeypatch.setattr(accountentries, "account_entries", rank)
    listed = [make_list(20)]
    entries = AccountEntries(lambda: listed[0], LEAVING_S)
    first = [entries.for_account(account, 3, 0.0) for account in (BUYERS, PRESS)]
    assert [entries.for_account(account, 3, 9.0) for account in (BUYERS, PRESS)] == first
    assert ranked == [BUYERS, PRESS]
    listed[0] = make_list(21)
    entries.for_account(BUYERS, 3, 9.0)
    assert ranked == [BUYERS, PRESS, BUYERS]


def test_a_new_list_is_used_at_once() -> None:
    listed = [make_list(20)]
    entries = AccountEntries(lambda: listed[0], LEAVING_S)
    leaving = entries.for_account(BUYERS, 3, 0.0)[0].host
    listed[0] = tuple(
        replace(each, state=MemberState.LEAVING) if each.host == leaving else each
        for each in listed[0]
    )
    assert leaving not in hosts(entries.for_account(BUYERS, 3, 0.0))


def test_a_leaving_entry_is_omitted_until_it_reports_otherwise_or_a_time_limit() -> None:
    listed = make_list(20)
    entries = AccountEntries(lambda: listed, LEAVING_S)
    before = entries.for_account(BUYERS, 3, 0.0)
    leaving = before[0].host
    entries.note_leaving(leaving, True, 0.0)
    assert leaving not in hosts(entries.for_account(BUYERS, 3, 1.0))
    assert entries.for_account(BUYERS, 3, LEAVING_S) == before
    entries.note_leaving(leaving, True, LEAVING_S)
    entries.note_leaving(leaving, False, LEAVING_S + 1)
    assert entries.for_account(BUYERS, 3, LEAVING_S + 1) == before


def test_a_larger_count_adds_entries() -> None:
    listed = make_list(20)
    entries = AccountEntries(lambda: listed, LEAVING_S)
    assert hosts(entries.for_account(BUYERS, 3, 0.0)) < hosts(entries.for_account(BUYERS, 6, 0.0))
