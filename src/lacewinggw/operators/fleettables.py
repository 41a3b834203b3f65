"""The tables of the operators' language, made from an entry's view of the fleet."""

from collections import defaultdict
from collections.abc import Callable, Iterator
from datetime import UTC, datetime

from lacewinggw.clients.membership import Member, MemberRole
from lacewinggw.decisions.commands import describe_goals
from lacewinggw.decisions.revisions import is_placement_only
from lacewinggw.errors import UnknownName
from lacewinggw.generated.messages.ttypes import (
    LogEntry,
    Prefer,
    ServiceKind,
    SpreadReport,
    TargetState,
)
from lacewinggw.operators.language import nearest
from lacewinggw.operators.progress import HoldUp, progress_of, serves
from lacewinggw.operators.tables import Row, Table
from lacewinggw.operators.view import FleetView

DIGEST_SHOWN = 12
MS_PER_S = 1000
REQUEST_COUNTERS = ("requests", "refusals", "retries")
HISTORY_COLUMNS = ("revision", "at", "author", "words", "command")


def make_table(name: str, position: int, view: FleetView) -> Table:
    """Return a table by name, whole."""
    maker = TABLES.get(name)
    if maker is not None:
        return maker(view)
    close = nearest(name, TABLES)
    raise UnknownName(
        f"at character {position + 1}: there is no table {name}, only {', '.join(TABLES)}",
        remedy=f"did you mean {close!r}?" if close else "",
    )


def services_table(view: FleetView) -> Table:
    """Return what each service is declared to be and how far it is."""
    columns = (
        "name",
        "kind",
        "goals",
        "declared",
        "placed",
        "serving",
        "floor",
        "prefer",
        "revision",
        "held_up_by",
    )
    rows: list[Row] = []
    for _, service in sorted(view.state().services.items()):
        progress = progress_of(service, view)
        rows.append(
            {
                "name": service.name,
                "kind": ServiceKind(service.kind).name.lower(),
                "goals": describe_goals(service),
                "declared": progress.declared,
                "placed": progress.placed,
                "serving": progress.serving,
                "floor": service.floor_percent,
                "prefer": Prefer(service.prefer).name.lower().replace("_", "-"),
                "revision": service.revision,
                "held_up_by": _first_hold_up(progress.hold_ups),
            }
        )
    return Table(columns, rows)


def _first_hold_up(hold_ups: tuple[HoldUp, ...]) -> str:
    if not hold_ups:
        return ""
    first = f"{hold_ups[0].subject}: {hold_ups[0].reason}"
    return first if len(hold_ups) == 1 else f"{first} (and {len(hold_ups) - 1} more)"


def releases_table(view: FleetView) -> Table:
    """Return the releases and who uses them."""
    state = view.state()
    columns = ("name", "digest", "size_bytes", "chunks", "services", "placed", "serving")
    rows: list[Row] = []
    for name, release in sorted(state.releases.items()):
        placed = [
            (service, host)
            for service, hosts in state.placements.items()
            for host, each in hosts.items()
            if each == name
        ]
        heard = view.heartbeats()
        serving = [
            host
            for service, host in placed
            if service in state.services
            and serves(state, state.services[service], host, heard.get(host))
        ]
        rows.append(
            {
                "name": name,
                "digest": release.digest[:DIGEST_SHOWN],
                "size_bytes": release.size_bytes,
                "chunks": release.chunk_count,
                "services": ", ".join(sorted({service for service, _ in placed})),
                "placed": len(placed),
                "serving": len(serving),
            }
        )
    return Table(columns, rows)


def targets_table(view: FleetView) -> Table:
    """Return each placed target and each one heard of."""
    columns = (
        "host",
        "place",
        "service",
        "release",
        "digest",
        "state",
        "running",
        "queued",
        "capacity",
        "age",
        "held_up_by",
    )
    state = view.state()
    heard = view.heartbeats()
    places = {member.host: str(member.place) for member in view.members()}
    rows: list[Row] = []
    for host in sorted({*state.placed_hosts(), *heard}):
        last = heard.get(host)
        assigned = state.assignments_of(host)
        service, release = assigned[0] if assigned else ("", "")
        row: Row = {
            "host": host,
            "place": places.get(host, ""),  # type: ignore[call-overload]
            "service": service,
            "release": release,
            "digest": "",
            "state": "unheard",
            "running": 0,
            "queued": 0,
            "capacity": 0,
            "age": "",
            "held_up_by": "",
        }
        if last is not None:
            beat = last.heartbeat
            row["place"] = row["place"] or beat.place
            row["digest"] = (beat.digest or "")[:DIGEST_SHOWN]
            row["state"] = TargetState(beat.state).name.lower()
            row["age"] = round(last.age_s, 2)
            row["held_up_by"] = _spread_hold_up(beat.spreads or [])
            if beat.load is not None:
                row["running"] = beat.load.running or 0
                row["queued"] = beat.load.queued or 0
                row["capacity"] = beat.load.capacity or 0
        rows.append(row)
    return Table(columns, rows)


def _spread_hold_up(spreads: list[SpreadReport]) -> str:
    return next((each.held_up_by for each in spreads if each.held_up_by), "")


def hosts_table(view: FleetView) -> Table:
    """Return the listed target hosts, and placed ones that the list lacks."""
    state = view.state()
    rows: list[Row] = []
    listed = [member for member in view.members() if member.role is MemberRole.AGENT]
    for member in sorted(listed, key=lambda each: each.host):
        rows.append(_host_row(member.host, member, view))
    known = {member.host for member in listed}
    for host in sorted(set(state.placed_hosts()) | state.draining):
        if host not in known:
            rows.append(_host_row(host, None, view))
    return Table(("host", "place", "state", "service", "release", "address", "plain"), rows)


def _host_row(host: str, member: Member | None, view: FleetView) -> Row:
    state = view.state()
    assigned = state.assignments_of(host)
    service, release = assigned[0] if assigned else ("", "")
    standing = member.state.value if member is not None else "missing"
    return {
        "host": host,
        "place": str(member.place) if member is not None else "",
        "state": "draining" if host in state.draining else standing,
        "service": service,
        "release": release,
        "address": str(member.address) if member is not None else "",
        "plain": str(member.service) if member is not None else "",
    }


def entries_table(view: FleetView) -> Table:
    """Return the listed entries."""
    rows: list[Row] = [
        {
            "host": member.host,
            "place": member.place,
            "state": member.state.value,
            "caller_address": member.caller_address,
            "operator_address": member.operator_address,
        }
        for member in sorted(view.members(), key=lambda each: each.host)
        if member.role is MemberRole.ENTRY
    ]
    return Table(("host", "place", "state", "caller_address", "operator_address"), rows)


def spread_table(view: FleetView) -> Table:
    """Return how far each release has spread in each place."""
    columns = (
        "release",
        "place",
        "hosts",
        "done",
        "share",
        "rate_bytes_per_s",
        "time_left",
        "origin_bytes",
        "origin_copies",
        "cross_place_bytes",
        "stalls",
        "corrupt",
        "bad_sources",
        "held_up_by",
    )
    groups: dict[tuple[str, str], list[SpreadReport]] = defaultdict(list)
    for last in view.heartbeats().values():
        for report in last.heartbeat.spreads or []:
            groups[(report.release, last.heartbeat.place)].append(report)
    rows = [
        _spread_row(release, place, reports, view)
        for (release, place), reports in sorted(groups.items())
    ]
    return Table(columns, rows)


def _spread_row(release: str, place: str, reports: list[SpreadReport], view: FleetView) -> Row:
    held = sum(each.chunks_held or 0 for each in reports)
    chunks = sum(each.chunk_count or 0 for each in reports)
    rate = sum(each.rate_bytes_per_s or 0.0 for each in reports)
    known = view.state().releases.get(release)
    size = known.size_bytes if known is not None else 0
    share = held / chunks if chunks else 0.0
    left = size * len(reports) * (1 - share)
    origin = sum(each.origin_bytes or 0 for each in reports)
    return {
        "release": release,
        "place": place,
        "hosts": len(reports),
        "done": sum(1 for each in reports if each.chunk_count and _is_whole(each)),
        "share": round(share, 3),
        "rate_bytes_per_s": round(rate),
        "time_left": round(left / rate, 1) if rate > 0 else ("" if left else 0),
        "origin_bytes": origin,
        "origin_copies": round(origin / size, 2) if size else 0,
        "cross_place_bytes": sum(each.cross_place_bytes or 0 for each in reports),
        "stalls": sum(each.stalls or 0 for each in reports),
        "corrupt": sum(each.corrupt_chunks or 0 for each in reports),
        "bad_sources": ", ".join(sorted({s for each in reports for s in each.bad_sources or []})),
        "held_up_by": _spread_hold_up(reports),
    }


def _is_whole(report: SpreadReport) -> bool:
    return report.chunks_held == report.chunk_count


def requests_table(view: FleetView) -> Table:
    """Return this entry's counters of requests, refusals and retries, by reason."""
    rows = list(_request_rows(view))
    return Table(("what", "reason", "count"), rows)


def _request_rows(view: FleetView) -> Iterator[Row]:
    for name, value in sorted(view.counters().items()):
        what, _, labels = name.partition("{")
        if what in REQUEST_COUNTERS:
            reason = labels.rstrip("}").partition("=")[2].strip('"')
            yield {"what": what, "reason": reason, "count": value}


def history_table(view: FleetView) -> Table:
    """Return what was accepted, placements included, the newest first."""
    rows = [history_row(entry) for entry in reversed(view.state().history)]
    return Table(HISTORY_COLUMNS, rows)


def commands_table(view: FleetView) -> Table:
    """Return what operators had accepted, the newest first."""
    rows = [
        history_row(entry)
        for entry in reversed(view.state().history)
        if not is_placement_only(entry)
    ]
    return Table(HISTORY_COLUMNS, rows)


def history_row(entry: LogEntry) -> Row:
    """Return one accepted entry as a row of `HISTORY_COLUMNS`."""
    at = datetime.fromtimestamp(entry.accepted_at_ms / MS_PER_S, UTC)
    return {
        "revision": entry.revision,
        "at": at.isoformat(timespec="seconds"),
        "author": entry.author,
        "words": entry.words.replace("\n", "; "),
        "command": entry.command_id,
    }


TABLES: dict[str, Callable[[FleetView], Table]] = {
    "services": services_table,
    "releases": releases_table,
    "targets": targets_table,
    "hosts": hosts_table,
    "entries": entries_table,
    "spread": spread_table,
    "requests": requests_table,
    "commands": commands_table,
    "history": history_table,
}
