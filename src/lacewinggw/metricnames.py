"""All metrics of the processes: name, kind, and meaning for an operator.

`/metrics` exports the meanings as help texts; docs/operators/METRICS.md lists them.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


class MetricKind(Enum):
    """Kind of a metric; the value is the Prometheus type."""

    COUNTER = "counter"
    GAUGE = "gauge"
    LATENCY = "summary"


@dataclass(frozen=True)
class MetricFacts:
    """Description of one metric; `role` is the kind of process that exports it."""

    kind: MetricKind
    role: str
    meaning: str


def _counter(role: str, meaning: str) -> MetricFacts:
    return MetricFacts(MetricKind.COUNTER, role, meaning)


def _gauge(role: str, meaning: str) -> MetricFacts:
    return MetricFacts(MetricKind.GAUGE, role, meaning)


def _latency(role: str, meaning: str) -> MetricFacts:
    return MetricFacts(MetricKind.LATENCY, role, meaning)


METRICS: Mapping[str, MetricFacts] = {
    "claim_writes": _counter("entry", "Writes of claims, each for one or more keyed requests."),
    "client_connections": _gauge("both", "Connections of clients, by listener."),
    "client_memory": _gauge("both", "Bytes that clients make this process hold."),
    "client_memory_limit": _gauge("both", "The most bytes that clients may make it hold."),
    "client_memory_refusals": _counter("both", "Requests refused for want of memory."),
    "clients_evicted": _counter("both", "Connections of clients closed for others, by reason."),
    "clients_refused": _counter("both", "Connections refused as none gave way, by listener."),
    "configuration_news": _counter("both", "Log entries received from peers."),
    "configuration_news_sent_bytes": _counter("both", "Bytes of log entries sent on to peers."),
    "configuration_revision": _gauge("both", "Highest revision applied."),
    "configuration_snapshots_adopted": _counter("both", "Times a snapshot replaced the state."),
    "configuration_store_reads": _counter("entry", "Reads of the log's tail from the table."),
    "configuration_upstreams_left": _counter("both", "Peers left for another as source of news."),
    "evacuations": _counter("entry", "Evacuations of zones that began, by who said so."),
    "first_part": _latency("entry", "Time from an offer to the first part of its answer."),
    "invalid_answers": _counter("entry", "Answers of targets that are none, by their fault."),
    "load_orders": _counter("agent", "Orders to a target to load what is staged."),
    "log_lines_dropped": _gauge("both", "Log lines dropped, over the rate or for a slow reader."),
    "offers": _counter("entry", "Offers of requests straight to targets, by what became of them."),
    "operator_refusals": _counter("entry", "Operators' calls refused, by kind of error."),
    "peer_sent_bytes": _gauge("agent", "Bytes sent to other processes of the fleet, in all."),
    "pieces_held": _gauge(
        "agent", "Pieces of answers kept for callers that have yet to take them."
    ),
    "placement_probes_answered": _counter("entry", "Silent hosts that answered a last question."),
    "placements": _counter("entry", "Placements proposed, by what became of them."),
    "places_evacuated": _gauge("entry", "Zones whose targets get no requests."),
    "queue_wait": _latency("agent", "Time from a request's arrival to its start."),
    "refusals": _counter("both", "Requests refused as not run, by reason."),
    "request": _latency("entry", "Time of answered requests, from admission to the end."),
    "request_errors": _counter("entry", "Requests that ended with an error, by code and kind."),
    "requests": _counter("entry", "Requests that ended, by outcome."),
    "requests_in_progress": _gauge("entry", "Requests admitted and not ended yet."),
    "requests_running_evacuated": _gauge(
        "entry", "This entry's requests that still run in evacuated zones."
    ),
    "requests_waiting": _gauge("entry", "Requests that wait for a target with room."),
    "requests_quarantined": _gauge("entry", "Requests kept away from targets, as these ended."),
    "prompt_parts_quarantined": _gauge(
        "entry", "Prompt parts whose requests are kept away from targets, as these ended."
    ),
    "reservations": _gauge("agent", "Reservations given and not used yet."),
    "retries": _counter("both", "What was tried again, by reason."),
    "routes_age": _gauge("entry", "Seconds since the routes were known to be the newest."),
    "routes_behind": _latency("entry", "From news of newer routes until they are in force."),
    "routes_decoding": _latency("entry", "Decoding of routes from another entry."),
    "routes_fetches": _counter("entry", "Fetches of newer routes from other entries, by outcome."),
    "routes_version": _gauge("entry", "Version of the routes in force."),
    "service_replicas": _gauge("entry", "Replicas of a service: declared, placed, and serving."),
    "slots_asked": _counter("agent", "Answers to entries that asked for a slot, by outcome."),
    "slots_limited": _counter(
        "agent", "Requests for a slot declined as a cold target would start them too late."
    ),
    "slots_taken": _gauge("agent", "Slots of the target that are taken, by leases and its report."),
    "slots_waited_for": _gauge("agent", "Requests of all entries that wait for a slot."),
    "spoilt_loads": _counter("agent", "Loads in which a target may have taken a spoilt piece."),
    "staged_checks_outdated": _counter(
        "agent", "Orders put off as checks of pieces were outdated."
    ),
    "staged_pieces_replaced": _counter("agent", "Staged pieces found spoilt before an order."),
    "store_entries_unreadable": _counter(
        "both", "Entries of the operators' store that cannot be read, by topic."
    ),
    "store_eras": _counter("both", "Times the operators' store came back from an older copy."),
    "store_reads": _counter("both", "Reads of the operators' store, by topic."),
    "target_cold_periods": _counter("entry", "Cold periods of targets, by who reported them."),
    "target_crashes": _counter("entry", "Targets found to have ended under requests."),
    "target_fences_unkept": _counter(
        "agent", "Orders whose fence the target did not keep, though `target_fences` is set."
    ),
    "target_slow_moments": _counter(
        "agent", "Times the target began to take longer than declared."
    ),
    "target_limit_changes": _counter("entry", "Limits that targets named, changed or ended."),
    "target_backoffs": _counter("entry", "Times a target asked an entry to back off."),
    "targets_cold": _gauge("entry", "Targets that are cold, of services that limit these."),
    "targets_ejected": _counter("entry", "Times a failing target was left out of the choice."),
    "targets_known": _gauge("entry", "Targets believed to be there, leaving ones included."),
    "targets_left": _counter("entry", "Targets found to be leaving, by who said so."),
    "targets_slow": _gauge("entry", "Targets that take longer than declared, by their streams."),
    "targets_limited": _gauge("entry", "Targets that name a limit of requests a second."),
    "unproved_refusals": _counter(
        "entry", 'Errors of targets replaced by 502, as they would say "not run", by status.'
    ),
    "uploads_stuck": _counter("agent", "Uploads given up because the receiver took nothing."),
    "vouching": _counter("entry", "Questions to other entries for the routes, by outcome."),
    "weights_bytes": _counter("agent", "Bytes of verified chunks received, by kind of source."),
    "weights_memory_bytes": _gauge("agent", "Bytes of verified chunks held in memory."),
    "weights_sent_bytes": _counter("agent", "Bytes of chunks sent to other hosts."),
}


def help_of(name: str) -> str:
    """Return the meaning of a metric, or an empty string for an unlisted name."""
    facts = METRICS.get(name)
    return facts.meaning if facts is not None else ""
