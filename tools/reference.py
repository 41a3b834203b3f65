"""Write the pages that follow from the code and the schema; run by `make docs`."""

import re
import sys
from collections.abc import Iterator
from pathlib import Path

from thrift.Thrift import TType

from lacewinggw.errors import LacewingError, Outcome, RequestRefused, error_classes
from lacewinggw.metricnames import METRICS, MetricFacts, MetricKind
from lacewinggw.settings import default_settings
from lacewinggw.settingskeys import ADDRESSES, CHOICES, SECTIONS, Key, section_keys, section_names
from lacewinggw.settingsvalues import format_value

ROOT = Path(__file__).resolve().parent.parent
SCHEMA = ROOT / "schema" / "settings.thrift"
ERRORS = ROOT / "docs" / "ERRORS.md"
SETTINGS = ROOT / "docs" / "SETTINGS.md"

METRICS_PAGE = ROOT / "docs" / "operators" / "METRICS.md"
METRICS_SOURCE = ROOT / "src" / "lacewinggw" / "metrics.py"

FIELD = re.compile(r"\s+\d+: (?:required )?\S+ (?P<name>\w+)[^/]*(?:// (?P<comment>.*))?")

ERRORS_HEAD = """# Errors

Every error has a stable code, a kind, and a message that says what was met and what to do. The
outcome says what is known of a request: `not-run` is proved, `unknown` means that it may have run,
and an empty one that the error is not about a request. HTTP answers carry the error as problem
JSON. The exit code of a command is 1 for an error, 2 for bad input (settings, command line or
language) and 3 for the outcome `unknown`.

Generated from `src/lacewinggw/errors.py` by `make docs`.

| code | kind | outcome | HTTP | meaning | remedy |
| --- | --- | --- | --- | --- | --- |
"""

RETRY = re.compile(r'    [A-Z_]+ = "(?P<reason>[a-z-]+)"  # (?P<comment>.+)')

METRICS_HEAD = """# Metrics

Each process answers `/metrics` on its `operator_listen`, in Prometheus text. Latencies are HDR
histograms, rendered as summaries in seconds with the quantiles 0.5, 0.95, 0.99 and 1 since the
process began. One name has at most 512 series; what comes after is counted with the labels
`other`.

Generated from `src/lacewinggw/metricnames.py`, `metrics.py` and `errors.py` by `make docs`.

| metric | kind | process | meaning |
| --- | --- | --- | --- |
{metrics}
## Refusals

The label `reason` of `lacewinggw_refusals_total`. An entry counts what it tells a caller, an agent
what it tells an entry. Each reason is there from the start with 0.

| reason | meaning | what a caller does |
| --- | --- | --- |
{refusals}
## Retries

The label `reason` of `lacewinggw_retries_total`.

| reason | meaning |
| --- | --- |
{retries}"""

SETTINGS_HEAD = """# Settings

A process reads one INI file. A value carries its unit: time in `ms`, `s`, `min`, `h`; size in `B`,
`kB`, `KiB`, `MB`, `MiB`, `GB`, `GiB`; a rate as a size `/s`; a share in `%`. Switches are `yes` or
`no`. A list has one item a line, or commas between. An address is an IP number and a port. `#`
after a space starts a comment. `lacewinggw check FILE` says what is wrong with a file; so does a
process at its start, with exit code 2. `docs/examples/` has a file for each kind of process.

Generated from `schema/settings.thrift` by `make docs`.
"""


def error_row(error: type[LacewingError]) -> str:
    """Return the row of one kind of error."""
    outcome = f"`{error.outcome.value}`" if error.outcome is not Outcome.NONE else ""
    meaning = (error.__doc__ or "").splitlines()[0]
    cells = (
        error.code,
        f"`{error.kind}`",
        outcome,
        str(error.http_status),
        meaning,
        error.default_remedy,
    )
    return f"| {' | '.join(cells)} |\n"


def errors_text() -> str:
    """Return the whole of docs/ERRORS.md."""
    return ERRORS_HEAD + "".join(error_row(error) for error in error_classes())


def schema_comments() -> dict[tuple[str, str], str]:
    """Return the schema's comment on each field, by struct and field name."""
    comments = {}
    struct = ""
    for line in SCHEMA.read_text().splitlines():
        if line.startswith("struct "):
            struct = line.split()[1]
        elif match := FIELD.match(line):
            comments[struct, match["name"]] = match["comment"] or ""
    return comments


def key_row(key: Key, comment: str) -> str:
    """Return the row of one key."""
    cells = (f"`{key.name}`", _key_type(key), _key_default(key), comment.replace("|", "\\|"))
    return f"| {' | '.join(cells)} |\n"


def _key_type(key: Key) -> str:
    if key.measure is not None:
        return key.measure.name
    if key.field in ADDRESSES and key.kind == TType.STRING:
        return "address"
    if key.field in CHOICES:
        return " or ".join(f"`{choice}`" for choice in CHOICES[key.field])
    if isinstance(key.empty, list):
        return "list"
    if isinstance(key.empty, bool):
        return "yes or no"
    return "number" if isinstance(key.empty, int) else "text"


def _key_default(key: Key) -> str:
    if key.required:
        return "required"
    return f"`{format_value(key, key.empty)}`" if key.empty not in ("", []) else ""


def section_text(section: str, comments: dict[tuple[str, str], str]) -> Iterator[str]:
    """Yield the parts of one section's chapter."""
    kinds = [kind.value for kind, sections in SECTIONS.items() if section in sections]
    yield f"\n## [{section}]\n\nRead by: {', '.join(kinds)}.\n\n"
    yield "| key | type | default | meaning |\n| --- | --- | --- | --- |\n"
    struct = type(getattr(default_settings(), section)).__name__
    for key in section_keys(section):
        yield key_row(key, comments[struct, key.field])


def settings_text() -> str:
    """Return the whole of docs/SETTINGS.md."""
    comments = schema_comments()
    chapters = (part for section in section_names() for part in section_text(section, comments))
    return SETTINGS_HEAD + "".join(chapters)


def metric_row(name: str, facts: MetricFacts) -> str:
    """Return the row of one metric, with its name as rendered."""
    suffix = {MetricKind.COUNTER: "_total", MetricKind.GAUGE: "", MetricKind.LATENCY: "_seconds"}
    rendered = f"lacewinggw_{name}{suffix[facts.kind]}"
    return f"| `{rendered}` | {facts.kind.value} | {facts.role} | {facts.meaning} |\n"


def refusal_rows() -> Iterator[str]:
    """Yield a row for each reason to refuse a request."""
    for error in error_classes():
        if issubclass(error, RequestRefused) and error.refusal is not None:
            meaning = (error.__doc__ or "").splitlines()[0]
            yield f"| `{error.refusal.value}` | {meaning} | {error.default_remedy} |\n"


def retry_rows() -> Iterator[str]:
    """Yield a row for each reason to try again, with the comment on it in the source."""
    for match in RETRY.finditer(METRICS_SOURCE.read_text()):
        yield f"| `{match['reason']}` | {match['comment']} |\n"


def metrics_text() -> str:
    """Return the whole of docs/operators/METRICS.md."""
    rows = (metric_row(name, facts) for name, facts in sorted(METRICS.items()))
    return METRICS_HEAD.format(
        metrics="".join(rows),
        refusals="".join(refusal_rows()),
        retries="".join(retry_rows()),
    )


def main() -> int:
    """Write all pages."""
    ERRORS.write_text(errors_text())
    SETTINGS.write_text(settings_text())
    METRICS_PAGE.write_text(metrics_text())
    return 0


if __name__ == "__main__":
    sys.exit(main())
