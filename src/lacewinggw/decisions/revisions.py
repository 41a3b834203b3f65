"""The configuration at one revision, and how entries of the log change it.

Pure: every process that applies the same entries in the same order has the same state. Memory is
bounded: only the newest entries are kept. They serve to recognise a repeated command, and to check
that what a command is based on has not changed since it was read.
"""

from collections import deque
from collections.abc import Container, KeysView, Sequence
from dataclasses import dataclass
from typing import Self, TypeAlias

from lacewinggw.generated.messages.ttypes import (
    Assignment,
    Change,
    CreateRelease,
    LogEntry,
    Place,
    PutService,
    Release,
    RemoveService,
    Service,
    SetDrain,
    Snapshot,
    WithdrawRelease,
)

HISTORY_LENGTH = 1000

ChangeContent: TypeAlias = (
    CreateRelease | PutService | RemoveService | WithdrawRelease | SetDrain | Place
)
Assignments: TypeAlias = dict[str, str]  # host -> release, "" for a plain service


class RevisionOutOfOrder(Exception):
    """An entry does not have the revision that follows the state's."""


@dataclass(frozen=True)
class Subject:
    """The object that a change modifies; two changes of one subject can conflict."""

    kind: str
    name: str


def content_of(change: Change) -> ChangeContent:
    """Return the one alternative that a change holds; raise `ValueError` when it holds none."""
    for spec in Change.thrift_spec:
        if spec is None:
            continue
        content: ChangeContent | None = getattr(change, spec[2])
        if content is not None:
            return content
    raise ValueError("a change of an unknown kind")


def change_of(content: ChangeContent) -> Change:
    """Wrap one alternative as a change."""
    match content:
        case CreateRelease():
            return Change(create_release=content)
        case PutService():
            return Change(put_service=content)
        case RemoveService():
            return Change(remove_service=content)
        case WithdrawRelease():
            return Change(withdraw_release=content)
        case SetDrain():
            return Change(set_drain=content)
        case Place():
            return Change(place=content)


def subject_of(content: ChangeContent) -> Subject:
    """Return the subject of a change."""
    match content:
        case CreateRelease():
            return Subject("release", content.release.name)
        case WithdrawRelease():
            return Subject("release", content.release)
        case PutService():
            return Subject("service", content.declared.name)
        case RemoveService():
            return Subject("service", content.service_name)
        case SetDrain():
            return Subject("host", content.host)
        case Place():
            return Subject("placement", content.service_name)


def is_placement_only(entry: LogEntry) -> bool:
    """Return whether an entry has only placements, which entry processes commit by themselves."""
    return all(change.place is not None for change in entry.changes)


def may_change_placements(entries: Sequence[LogEntry]) -> bool:
    """Return whether entries may change placements; an empty list stands for a snapshot."""
    contents = (content_of(change) for entry in entries for change in entry.changes)
    return not entries or any(
        isinstance(content, Place | RemoveService | SetDrain) for content in contents
    )


def declares_any(entries: Sequence[LogEntry], services: Container[str]) -> bool:
    """Return whether entries declare one of these services."""
    contents = (content_of(change) for entry in entries for change in entry.changes)
    return any(
        isinstance(content, PutService) and content.declared.name in services
        for content in contents
    )


def to_history_entry(entry: LogEntry) -> LogEntry:
    """Return an entry without its assignments, which would make the history too large."""
    if not any(change.place is not None for change in entry.changes):
        return entry
    changes = [_without_assignments(change) for change in entry.changes]
    return LogEntry(
        entry.revision,
        entry.command_id,
        entry.author,
        entry.accepted_at_ms,
        entry.read_revision,
        changes,
        entry.words,
    )


def _without_assignments(change: Change) -> Change:
    place = change.place
    if place is None:
        return change
    return Change(place=Place(place.service_name, [], place.cause, []))


def with_revision(service: Service, revision: int) -> Service:
    """Return a copy of a declaration with the revision at which it was accepted."""
    return Service(
        service.name,
        service.kind,
        list(service.goals or []),
        service.prefer,
        service.floor_percent,
        service.repeatable,
        list(service.unrepeatable_paths or []),
        revision,
        service.role,
        list(service.adapters or []),
    )


class FleetState:
    """The whole configuration at `revision`.

    `placements` maps each service to its hosts and the release that each serves, `""` for a plain
    service. `upcoming` has the next release of the hosts that are to switch. Only `apply`
    modifies the state.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.releases: dict[str, Release] = {}
        self.services: dict[str, Service] = {}
        self.draining: set[str] = set()
        self.placements: dict[str, Assignments] = {}
        self.upcoming: dict[str, Assignments] = {}
        self.history: deque[LogEntry] = deque()
        self._by_host: dict[str, Assignments] = {}
        self._commands: dict[str, int] = {}
        self._changed: dict[Subject, int] = {}

    @classmethod
    def from_snapshot(cls, snapshot: Snapshot) -> Self:
        """Return the state that a snapshot holds."""
        state = cls()
        state.revision = snapshot.revision
        state.releases = {release.name: release for release in snapshot.releases}
        state.services = {service.name: service for service in snapshot.services}
        state.draining = set(snapshot.draining)
        for place in snapshot.placements:
            state._place(place)
        for entry in snapshot.recent:
            state._add_to_history(entry)
        return state

    def to_snapshot(self) -> Snapshot:
        """Return the state as a message; it is identical for the same revision in every process."""
        return Snapshot(
            self.revision,
            [self.releases[name] for name in sorted(self.releases)],
            [self.services[name] for name in sorted(self.services)],
            sorted(self.draining),
            [self._to_place(name) for name in sorted(self.placements)],
            list(self.history),
        )

    def apply(self, entry: LogEntry) -> None:
        """Apply the next entry; raise `RevisionOutOfOrder` for any other."""
        if entry.revision != self.revision + 1:
            raise RevisionOutOfOrder(f"revision {entry.revision} after {self.revision}")
        for change in entry.changes:
            self._apply_content(content_of(change), entry.revision)
        self.revision = entry.revision
        self._add_to_history(to_history_entry(entry))

    @property
    def history_base_revision(self) -> int:
        """The revision before the oldest one in the history."""
        return self.revision - len(self.history)

    def revision_of_command(self, command_id: str) -> int | None:
        """Return the revision at which a command in the history was accepted, or None."""
        return self._commands.get(command_id)

    def entry_at(self, revision: int) -> LogEntry | None:
        """Return an entry of the history, without its assignments, or None."""
        index = revision - self.history_base_revision - 1
        return self.history[index] if 0 <= index < len(self.history) else None

    def last_changed_revision(self, subject: Subject) -> int:
        """Return the last revision in the history that changed a subject, 0 if there is none."""
        return self._changed.get(subject, 0)

    def assignments_of(self, host: str) -> list[tuple[str, str]]:
        """Return the (service, release) pairs assigned to a host."""
        return list(self._by_host.get(host, {}).items())

    def hosts_of(self, service: str) -> Assignments:
        """Return the hosts of a service and the release that each serves."""
        return self.placements.get(service, {})

    def next_releases_of(self, service: str) -> Assignments:
        """Return the hosts of a service that are to switch, and to which release."""
        return self.upcoming.get(service, {})

    def final_releases_of(self, service: str) -> Assignments:
        """Return the hosts of a service and the release of each after it has switched."""
        return {**self.hosts_of(service), **self.next_releases_of(service)}

    def placed_hosts(self) -> KeysView[str]:
        """Return every host that has an assignment."""
        return self._by_host.keys()

    def release_digest(self, name: str) -> str:
        """Return the digest of a release, `""` when there is none of that name."""
        release = self.releases.get(name)
        return release.digest if release is not None else ""

    def _apply_content(self, content: ChangeContent, revision: int) -> None:
        match content:
            case CreateRelease():
                self.releases[content.release.name] = content.release
            case WithdrawRelease():
                self.releases.pop(content.release, None)
            case PutService():
                self.services[content.declared.name] = with_revision(content.declared, revision)
            case RemoveService():
                self.services.pop(content.service_name, None)
                self._release_hosts(content.service_name, list(self.hosts_of(content.service_name)))
                self.placements.pop(content.service_name, None)
                self.upcoming.pop(content.service_name, None)
            case SetDrain(draining=True):
                self.draining.add(content.host)
            case SetDrain():
                self.draining.discard(content.host)
            case Place():
                self._place(content)

    def _place(self, place: Place) -> None:
        service = place.service_name
        self._release_hosts(service, place.released or [])
        hosts = self.placements.setdefault(service, {})
        upcoming = self.upcoming.setdefault(service, {})
        for assignment in place.assignments:
            hosts[assignment.host] = assignment.release
            upcoming.pop(assignment.host, None)
            if assignment.next_release:
                upcoming[assignment.host] = assignment.next_release
            self._by_host.setdefault(assignment.host, {})[service] = assignment.release

    def _release_hosts(self, service: str, released: list[str]) -> None:
        hosts = self.placements.get(service, {})
        for host in released:
            hosts.pop(host, None)
            self.upcoming.get(service, {}).pop(host, None)
            served = self._by_host.get(host, {})
            served.pop(service, None)
            if not served:
                self._by_host.pop(host, None)

    def _to_place(self, service: str) -> Place:
        hosts = self.placements[service]
        upcoming = self.next_releases_of(service)
        assignments = [
            Assignment(host, service, hosts[host], upcoming.get(host, "")) for host in sorted(hosts)
        ]
        return Place(service, assignments, "", [])

    def _add_to_history(self, entry: LogEntry) -> None:
        self.history.append(entry)
        self._commands[entry.command_id] = entry.revision
        for change in entry.changes:
            self._changed[subject_of(content_of(change))] = entry.revision
        if len(self.history) > HISTORY_LENGTH:
            self._remove_from_history(self.history.popleft())

    def _remove_from_history(self, entry: LogEntry) -> None:
        if self._commands.get(entry.command_id) == entry.revision:
            del self._commands[entry.command_id]
        for change in entry.changes:
            subject = subject_of(content_of(change))
            if self._changed.get(subject) == entry.revision:
                del self._changed[subject]
