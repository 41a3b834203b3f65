"""A fleet under observation: what is done to it, and what it shows, becomes a history.

The same observer serves a fleet of real processes and one in memory. Every fault goes through it,
so that the checkers know what may excuse a request without an outcome.

    observed = ObservedFleet(fleet)
    await observed.start()
    await observed.command("create release market-7")
    await observed.kill("host-001")
    violations = check(await observed.history())
    await observed.close()
"""

import asyncio
import itertools
import json
import random
from collections.abc import Mapping, Sequence
from contextlib import suppress
from typing import Any, Protocol, runtime_checkable

from lacewinggw.clients.membership import Member, MemberRole
from lacewinggw.configuration.logstore import ROW_PREFIX, decode_entry
from lacewinggw.ids import Address, HostId
from lacewinggw.lab import history as events
from lacewinggw.lab.facts import Facts
from lacewinggw.lab.requesters import Mix, Requester
from lacewinggw.lab.runs import run_events
from lacewinggw.lab.standin import now
from lacewinggw.wire.http import Headers, HttpClient, HttpError, Response

SAMPLE_S = 0.5
SAMPLE_TIMEOUT_S = 2.0
COMMAND_TIMEOUT_S = 15.0
DRAIN_LIMIT_S = 60.0
UNKNOWN = "unknown"
PLAIN_LATENCY_S = 0.005
OK = 200
LOST = (OSError, TimeoutError, HttpError)


class HostLike(Protocol):
    """A host of the product, in memory or with a process of its own."""

    member: Member
    target: Address

    @property
    def running(self) -> bool:
        """Whether its process runs."""


class FleetLike(Protocol):
    """A fleet that can be disturbed; `lab.fleet.Fleet` says what each method does."""

    http: HttpClient
    platform: dict[str, Address]

    @property
    def operator_headers(self) -> Headers:
        """The headers by which an operator shows itself."""

    @property
    def accounts(self) -> Sequence[str]:
        """Names of the client accounts."""

    @property
    def hosts(self) -> Mapping[HostId, HostLike]:
        """Every host of the product."""

    async def start(self) -> None:
        """Start everything and wait until it is ready."""

    async def close(self) -> None:
        """End everything."""

    async def kill(self, host: Any, unlist: bool = True) -> None:
        """Lose a host at once."""

    async def terminate(self, host: Any) -> None:
        """Ask a process to leave, and wait until it has."""

    async def restart(self, host: Any) -> None:
        """Start a fresh process in its place."""

    def pause(self, host: Any) -> None:
        """Freeze a process."""

    def resume(self, host: Any) -> None:
        """Let it go on."""

    async def set_leaving(self, host: Any) -> None:
        """Mark a host as leaving on the list."""

    async def unlist_host(self, host: Any) -> None:
        """Take a host off the list."""

    async def control(self, address: Address | str, **values: Any) -> None:
        """Set faults of a stand-in."""

    async def publish(self, name: str, size_bytes: int, chunk_bytes: int, seed: int = 0) -> None:
        """Make a release at the origin and the weight store."""

    def caller_headers(self, account: str) -> Headers:
        """Return the headers of a client account."""


@runtime_checkable
class Parting(Protocol):
    """A fleet whose hosts can lose sight of each other."""

    def part(self, one: Any, other: Any) -> None:
        """Part two hosts."""

    def heal(self, one: Any, other: Any) -> None:
        """Let them see each other again."""


class ObservedFleet:
    """Disturb a fleet, and keep the history of all that it shows.

    With `samples` processes are asked again and again which revision they have in force; without,
    something else has to record it.
    """

    def __init__(self, fleet: FleetLike, seed: int = 1, samples: bool = True) -> None:
        self.fleet = fleet
        self.recorder = events.Recorder(now)
        self.rng = random.Random(f"observed/{seed}")
        self._samples = samples
        self._launches: dict[HostId, int] = {}
        self._starting: set[HostId] = set(fleet.hosts)
        self._commands = itertools.count(1)
        self._samplers: list[asyncio.Task[None]] = []
        self._lag_s = 0.0
        self._log_key = ""
        self._accepted = 0

    @property
    def entries(self) -> list[str]:
        """Names of the entry hosts."""
        return self._named(MemberRole.ENTRY)

    @property
    def agents(self) -> list[str]:
        """Names of the target hosts."""
        return self._named(MemberRole.AGENT)

    def running_entries(self) -> list[str]:
        """Return the names of entries whose process runs."""
        return [name for name in self.entries if self._host(name).running]

    def is_plain(self, name: str) -> bool:
        """Return whether a plain service stands on a host."""
        return bool(self._host(name).member.service)

    async def start(self) -> None:
        """Start the fleet and begin to watch its processes."""
        await self.fleet.start()
        for name in self.fleet.hosts:
            self._note_started(name)
        loop = asyncio.get_running_loop()
        self._samplers = [loop.create_task(self._follow_log())]
        if self._samples:
            self._samplers += [loop.create_task(self._sample(name)) for name in self.fleet.hosts]

    async def close(self) -> None:
        """Stop watching and end the fleet."""
        await self._stop_sampling()
        await self.fleet.close()

    async def history(self) -> list[events.Event]:
        """Return everything recorded, with what the targets ran and what the log holds."""
        await self._read_log()
        collected = events.Recorder(now)
        collected.record(*self.recorder.history)
        for name, host in self.fleet.hosts.items():
            if host.target:
                response = await self.fleet.http.request(host.target, "GET", "/runs", timeout_s=30)
                collected.record(*run_events(name, response.json()))
        collected.record(events.Note(now(), "the end"))
        return collected.history

    def incarnation(self, name: str) -> str:
        """Return the name of the process that runs on a host now, or is about to."""
        launches = self._launches.get(HostId(name), 0)
        return f"{name}#{launches + (HostId(name) in self._starting)}"

    def say(self, words: str) -> None:
        """Put a note into the history."""
        self.recorder.record(events.Note(now(), words))

    # ---- hosts ----

    async def kill(self, name: str, unlist: bool = True) -> None:
        """Lose a host at once."""
        self.recorder.record(events.Killed(now(), name))
        await self.fleet.kill(self._host(name), unlist)

    async def restart(self, name: str) -> None:
        """Start a fresh process in the place of one that ended."""
        self._starting.add(HostId(name))
        await self.fleet.restart(self._host(name))
        self._note_started(name)

    async def terminate(self, name: str) -> None:
        """Shut a process down gracefully, and wait until it has ended."""
        host = self._host(name)
        self.recorder.record(events.ShutdownAsked(now(), name, DRAIN_LIMIT_S))
        if host.member.role is MemberRole.AGENT:
            self.recorder.record(events.Leaving(now(), name))
        await self.fleet.terminate(host)
        self.recorder.record(events.ProcessEnded(now(), name, self.incarnation(name)))
        await self.fleet.unlist_host(host)

    def pause(self, name: str) -> None:
        """Freeze a process."""
        self.recorder.record(events.Paused(now(), name))
        self.fleet.pause(self._host(name))

    def resume(self, name: str) -> None:
        """Let a frozen process go on."""
        self.fleet.resume(self._host(name))
        self.recorder.record(events.Resumed(now(), name))

    def part(self, one: str, other: str) -> None:
        """Part two hosts from each other."""
        self.recorder.record(events.PartBegan(now(), one, other))
        self._parting.part(self._host(one), self._host(other))

    def heal(self, one: str, other: str) -> None:
        """Let two hosts see each other again."""
        self._parting.heal(self._host(one), self._host(other))
        self.recorder.record(events.PartEnded(now(), one, other))

    async def set_leaving(self, name: str) -> None:
        """Mark a host as leaving on the platform's list."""
        self.recorder.record(events.Leaving(now(), name, self._lag_s))
        await self.fleet.set_leaving(self._host(name))

    # ---- platform and targets ----

    async def begin_outage(self, part: str, **faults: Any) -> None:
        """Have a service of the platform fail."""
        self.recorder.record(events.OutageBegan(now(), part))
        await self.disturb(part, **faults)

    async def end_outage(self, part: str, **faults: Any) -> None:
        """Have a service of the platform work again; `faults` are the sound values."""
        await self.disturb(part, **faults)
        self.recorder.record(events.OutageEnded(now(), part))

    async def disturb(self, part: str, **faults: Any) -> None:
        """Set faults of a service of the platform."""
        if part == "membership" and "lag_s" in faults:
            self._lag_s = float(faults["lag_s"])
        await self.fleet.control(self.fleet.platform[part], **faults)

    async def begin_target_fault(self, name: str, **faults: Any) -> None:
        """Have the target on a host fail: for the history, its agent loses sight of it."""
        self.recorder.record(events.PartBegan(now(), name, f"target of {name}"))
        await self.fleet.control(self._host(name).target, **faults)

    async def end_target_fault(self, name: str, **faults: Any) -> None:
        """Have the target work again; `faults` are the sound values."""
        await self.fleet.control(self._host(name).target, **faults)
        self.recorder.record(events.PartEnded(now(), name, f"target of {name}"))

    async def slow_target(self, name: str, factor: float) -> None:
        """Have a target take that many times as long, which excuses nothing."""
        self.say(f"the target of {name} takes {factor:g} times as long")
        host = self._host(name)
        slow = (
            {"latency_s": PLAIN_LATENCY_S * factor} if host.member.service else {"slowdown": factor}
        )
        await self.fleet.control(host.target, **slow)

    async def publish(self, name: str, size_bytes: int, chunk_bytes: int, seed: int = 0) -> str:
        """Make a release; return its digest."""
        await self.fleet.publish(name, size_bytes, chunk_bytes, seed)
        path = f"/releases/{name}/manifest"
        response = await self.fleet.http.request(self.fleet.platform["origin"], "GET", path)
        digest = str(response.json()["digest"])
        self.recorder.record(events.ReleasePublished(now(), digest))
        return digest

    # ---- operators and callers ----

    async def query(self, words: str, entry: str = "") -> dict[str, Any]:
        """Ask an entry, one that runs unless it is named; raise `RuntimeError` when it refuses."""
        response = await self._post(entry or self._any_entry(), "/v1/query", {"words": words})
        told: dict[str, Any] = response.json()
        if response.status != OK:
            raise RuntimeError(f"{words!r} was answered {told}")
        return told

    async def command(self, words: str, entry: str = "") -> events.Event | None:
        """Give a command; return what the operator was told, None when it was never given."""
        entry = entry or self._any_entry()
        command = f"command-{next(self._commands)}"
        try:
            revision = (await self.query("show services", entry))["revision"]
        except (*LOST, RuntimeError):
            return None
        body = {"words": words, "command_id": command, "read_revision": revision}
        told = await self._give(entry, command, body)
        self.recorder.record(told)
        return told

    async def wait_until(self, words: str, limit_s: float = 60.0) -> bool:
        """Ask `wait ...` until an entry that knows the last command says that it is done.

        Returns False after `limit_s` seconds.
        """
        end = now() + limit_s
        while now() < end:
            with suppress(*LOST, RuntimeError):
                told = await self.query(words)
                if told["done"] and told["revision"] >= self._accepted:
                    return True
            await asyncio.sleep(SAMPLE_S)
        return False

    async def hold_ups(self) -> list[str]:
        """Return what an entry says keeps the fleet from what is declared."""
        told = await self.query("wait all")
        return [f"{each['subject']}: {each['reason']}" for each in told["held_up_by"]]

    def requester(self, number: int, account: str, mix: Mix) -> Requester:
        """Return a caller whose requests become part of the history."""
        hosts = {
            str(host.member.caller_address): str(name)
            for name, host in self.fleet.hosts.items()
            if host.member.role is MemberRole.ENTRY
        }
        return Requester(
            f"{account}-{number}",
            self.fleet.http,
            hosts,
            self.fleet.caller_headers(account),
            mix,
            self.recorder,
            random.Random(f"{number}/{self.rng.random()}"),
        )

    # ---- internals ----

    def attempts_at_entries(self) -> list[str]:
        """Return the entries of the requests in progress, in the order in which they were sent."""
        attempts = Facts.from_history(self.recorder.history).attempts.values()
        return [each.sent.entry for each in attempts if each.final is None]

    def _named(self, role: MemberRole) -> list[str]:
        return [str(name) for name, host in self.fleet.hosts.items() if host.member.role is role]

    def _host(self, name: str) -> HostLike:
        return self.fleet.hosts[HostId(name)]

    @property
    def _parting(self) -> "Parting":
        if not isinstance(self.fleet, Parting):
            raise TypeError("only a fleet in memory can part two hosts")
        return self.fleet

    def _any_entry(self) -> str:
        return self.rng.choice(self.running_entries())

    def _note_started(self, name: str) -> None:
        self._starting.discard(HostId(name))
        self._launches[HostId(name)] = self._launches.get(HostId(name), 0) + 1
        self.recorder.record(events.ProcessStarted(now(), name, self.incarnation(name)))

    async def _give(self, entry: str, command: str, body: dict[str, Any]) -> events.Event:
        try:
            response = await self._post(entry, "/v1/commands", body)
        except LOST:
            return events.CommandUnknown(now(), command)
        told = response.json()
        if response.status == OK:
            self._accepted = max(self._accepted, told["revision"])
            return events.CommandAccepted(now(), command, told["revision"], entry)
        if told.get("outcome") == UNKNOWN:
            return events.CommandUnknown(now(), command)
        return events.CommandRefused(now(), command, told.get("code", ""))

    async def _post(self, entry: str, path: str, body: dict[str, Any]) -> Response:
        address = self._host(entry).member.operator_address
        data = json.dumps(body).encode()
        headers = {**self.fleet.operator_headers, "content-type": "application/json"}
        return await self.fleet.http.request(
            address, "POST", path, headers, data, COMMAND_TIMEOUT_S
        )

    async def _sample(self, name: str) -> None:
        """Record which revision a process says it has in force, again and again."""
        host = self._host(name)
        while True:
            await asyncio.sleep(SAMPLE_S)
            if not host.running:
                continue
            incarnation = self.incarnation(name)
            with suppress(*LOST):
                response = await self.fleet.http.request(
                    host.member.operator_address, "GET", "/healthz", timeout_s=SAMPLE_TIMEOUT_S
                )
                told = response.json()
                if told["ready"] and incarnation == self.incarnation(name):
                    seen = events.Applied(now(), name, incarnation, told["revision"])
                    self.recorder.record(seen)

    async def _stop_sampling(self) -> None:
        for task in self._samplers:
            task.cancel()
        await asyncio.gather(*self._samplers, return_exceptions=True)
        self._samplers = []

    async def _follow_log(self) -> None:
        """Record each row of the log as it comes, since old rows are deleted in time."""
        while True:
            with suppress(*LOST):
                await self._read_log()
            await asyncio.sleep(SAMPLE_S)

    async def _read_log(self) -> None:
        table = self.fleet.platform["table"]
        while True:
            path = f"/rows?prefix={ROW_PREFIX}&after={self._log_key}"
            response = await self.fleet.http.request(table, "GET", path)
            rows = response.json().get("rows", ())
            for row in rows:
                entry = decode_entry(row["value"])
                self.recorder.record(events.LogRow(now(), entry.revision, entry.command_id))
                self._log_key = row["key"]
            if not rows:
                return
