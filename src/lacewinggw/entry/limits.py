"""Admission control at an entry: enforces the limits of client accounts across all entries."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass

from lacewinggw.background import Background
from lacewinggw.clients.membership import MemberRole
from lacewinggw.decisions.addresses import LiveEntry, count_addresses
from lacewinggw.decisions.limits import AccountDeclaration, AccountShare, DemandReport
from lacewinggw.entry.accountentries import AccountEntries, Members
from lacewinggw.errors import LacewingError, Refusal, RequestRefused
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.generated.messages.ttypes import Priority
from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.ids import Account, HostId
from lacewinggw.metrics import Metrics
from lacewinggw.wire.peers import Exchange, PeerNode
from lacewinggw.wire.validation import require_valid

MS_PER_S = 1000.0
PERCENT = 100.0
STALE_INTERVALS = 6  # an entry's share goes to the others after this many missed reports
OVERLOAD_RETRY_MS = 200


@dataclass(frozen=True)
class AccountAdmission:
    """The request is admitted; call `release` for its account when it has ended."""

    weight: float


@dataclass(frozen=True)
class AccountRejection:
    """The request exceeds a limit; `retry_after_ms` is the delay before a retry."""

    reason: Refusal
    retry_after_ms: int

    def to_error(self) -> RequestRefused:
        """Return the rejection as an error."""
        texts = {
            Refusal.ACCOUNT_LIMIT: "the account exceeds its limit",
            Refusal.OVERLOADED: "this entry has too many requests in progress",
        }
        return RequestRefused.because(self.reason, texts[self.reason], self.retry_after_ms)


class AccountLimits:
    """The accounts known to this entry, its share of their limits, and their demand.

    Entries report their demand to each other; each limit is split by these reports.
    """

    def __init__(
        self, settings: Settings, node: PeerNode, members: Members, metrics: Metrics
    ) -> None:
        entry = settings.entry
        self._own_host = HostId(settings.process.host)
        self._node = node
        self._members = members
        self._min_entries = entry.addresses_per_answer
        self._rate_per_address = float(entry.requests_per_address)
        self._requests_limit = entry.requests_limit
        self._urgent_share = settings.routing.urgent_percent / PERCENT
        self._interval_s = entry.demand_ms / MS_PER_S
        declared = [AccountDeclaration.parse(text) for text in entry.accounts or []]
        self._declared = {each.account: each for each in declared}
        self._by_token = {each.token: each for each in declared}
        self._shares: dict[Account, AccountShare] = {}
        self._in_progress = 0
        metrics.read_gauge("requests_in_progress", lambda: self._in_progress)
        self._sequence = 0
        self._loop = Background("demand", self._run)
        self._demand_changed = asyncio.Event()
        self._is_leaving = False
        self._account_entries = AccountEntries(members, entry.drain_limit_ms / MS_PER_S)
        self._notify_tasks: set[asyncio.Task[None]] = set()

    @classmethod
    def from_config(
        cls, settings: Settings, node: PeerNode, members: Members, metrics: Metrics
    ) -> "AccountLimits":
        """Return the limits of the accounts in [entry]; raise `ValueError` for a malformed one."""
        return cls(settings, node, members, metrics)

    async def start(self) -> None:
        """Start to exchange demand with the other entries."""
        self._announce(leaving=False)
        self._loop.start()

    def begin_drain(self) -> None:
        """Notify all other entries to omit this one from address answers."""
        self._is_leaving = True
        self._announce(leaving=True)

    async def close(self) -> None:
        """Stop exchanging demand."""
        await self._loop.close()
        for task in list(self._notify_tasks):
            task.cancel()

    def account_of(self, token: str) -> AccountDeclaration | None:
        """Return the account that a token belongs to, or None for an unknown token."""
        return self._by_token.get(token)

    def entries_of(self, account: Account) -> tuple[LiveEntry, ...]:
        """Return the entries assigned to an account, the same at every entry."""
        declared = self._declared.get(account)
        rate = declared.rate_per_s if declared is not None else 0.0
        count = count_addresses(rate, self._min_entries, self._rate_per_address)
        now = asyncio.get_running_loop().time()
        return self._account_entries.for_account(account, count, now)

    def admit(
        self, account: Account, priority: Priority, now: float
    ) -> AccountAdmission | AccountRejection:
        """Admit or reject a request of an account; `now` is loop time, in seconds."""
        declared = self._declared.get(account)
        if declared is None:
            return self._refuse(Refusal.ACCOUNT_LIMIT, 0)
        share = self._share(declared, now)
        if share.offered.idle_s(now) > self._interval_s:
            self._demand_changed.set()
        share.offered.note(now)
        urgent = priority is Priority.URGENT
        if not self._has_capacity(urgent):
            return self._refuse(Refusal.OVERLOADED, OVERLOAD_RETRY_MS)
        urgent_share = 0.0 if urgent else self._urgent_share
        if not share.has_slot(urgent, urgent_share):
            share.wanted_running.note(now)
            return self._refuse(Refusal.ACCOUNT_LIMIT, self._retry_ms(share))
        if not share.bucket.take(now, share.bucket.burst * urgent_share / 2):
            return self._refuse(Refusal.ACCOUNT_LIMIT, self._retry_ms(share))
        share.admitted.note(now)
        share.running += 1
        self._in_progress += 1
        return AccountAdmission(declared.weight)

    def release(self, account: Account) -> None:
        """Record the end of an admitted request."""
        self._shares[account].running -= 1
        self._in_progress -= 1

    async def handle(self, exchange: Exchange) -> None:
        """Apply another entry's demand report after validating it."""
        demand: messages.Demand = exchange.message
        require_valid(demand)
        now = asyncio.get_running_loop().time()
        self._account_entries.note_leaving(
            HostId(exchange.link.remote.host), bool(demand.leaving), now
        )
        for each in demand.accounts or []:
            declared = self._declared.get(Account(each.account))
            if declared is None:
                continue
            share = self._share(declared, now)
            report = DemandReport(each.offered_per_s, each.running, now)
            share.reports[HostId(exchange.link.remote.host)] = report
            self._rebalance(share, now)

    def _announce(self, leaving: bool) -> None:
        message = messages.Demand(self._own_host, self._sequence, [], leaving)
        for member in self._members():
            if member.role is MemberRole.ENTRY and member.host != self._own_host:
                self._start_notify(member.address, message)

    def _share(self, declared: AccountDeclaration, now: float) -> AccountShare:
        share = self._shares.get(declared.account)
        if share is None:
            entries = len(self.entries_of(declared.account))
            share = AccountShare.from_declaration(declared, entries, now)
            self._shares[declared.account] = share
        return share

    def _has_capacity(self, urgent: bool) -> bool:
        limit = self._requests_limit * (1.0 if urgent else 1.0 - self._urgent_share)
        return self._in_progress + 1 <= limit

    def _retry_ms(self, share: AccountShare) -> int:
        return int(share.bucket.retry_after_s() * MS_PER_S)

    def _refuse(self, reason: Refusal, retry_after_ms: int) -> AccountRejection:
        return AccountRejection(reason, retry_after_ms)

    async def _run(self) -> None:
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(self._interval_s):
                    await self._demand_changed.wait()
            self._demand_changed.clear()
            self._report_demand(asyncio.get_running_loop().time())
            await asyncio.sleep(self._interval_s / 4)

    def _report_demand(self, now: float) -> None:
        by_peer: dict[HostId, list[messages.AccountDemand]] = {}
        for account, share in self._shares.items():
            entries = self._rebalance(share, now)
            offered = share.offered.rate(now)
            if offered < share.declared.rate_per_s * 1e-4 and not share.running:
                continue
            demand = messages.AccountDemand(
                account, offered, share.admitted.rate(now), share.running_demand(now)
            )
            for host in (entries | share.reports.keys()) - {self._own_host}:
                by_peer.setdefault(host, []).append(demand)
        self._sequence += 1
        if not by_peer:
            return
        for member in self._members():
            if member.host in by_peer:
                self._send(member.address, by_peer[member.host])

    def _rebalance(self, share: AccountShare, now: float) -> frozenset[HostId]:
        entries = self.entries_of(share.declared.account)
        hosts = frozenset(entry.host for entry in entries)
        share.rebalance(self._own_host, hosts, now, self._interval_s * STALE_INTERVALS)
        return hosts

    def _send(self, address: str, demands: list[messages.AccountDemand]) -> None:
        self._start_notify(
            address, messages.Demand(self._own_host, self._sequence, demands, self._is_leaving)
        )

    def _start_notify(self, address: str, message: messages.Demand) -> None:
        task = asyncio.get_running_loop().create_task(self._notify(address, message))
        self._notify_tasks.add(task)
        task.add_done_callback(self._notify_tasks.discard)

    async def _notify(self, address: str, message: messages.Demand) -> None:
        with suppress(LacewingError):
            link = await self._node.link(address)
            link.notify(message)
