"""Log lines: JSON or text, with the fields of the process."""

import io
import json

from lacewinggw.errors import NoTarget
from lacewinggw.generated.settings.ttypes import ProcessSettings
from lacewinggw.log import configure_process_log, get_logger


def _configure(log_format: str, level: str = "info") -> io.StringIO:
    out = io.StringIO()
    settings = ProcessSettings("h-1", "lakeba-room", "key", log_format, level)
    configure_process_log(settings, "agent", "abc", out)
    return out


def test_json_line_has_the_fields_of_the_process() -> None:
    out = _configure("json")
    get_logger("lacewinggw.agent.target").info("target_loaded", release="market-7")
    line = json.loads(out.getvalue())
    assert line.pop("timestamp").endswith("Z")
    assert line == {
        "event": "target_loaded",
        "level": "info",
        "module": "agent.target",
        "release": "market-7",
        "host": "h-1",
        "place": "lakeba-room",
        "role": "agent",
        "incarnation": "abc",
    }


def test_error_is_expanded_into_fields() -> None:
    out = _configure("json")
    get_logger().warning("request_refused", error=NoTarget("none serves x"))
    line = json.loads(out.getvalue())
    assert line["error"] == "no-target"
    assert line["code"] == "LW-6001"
    assert line["reason"] == "none serves x"
    assert line["remedy"] == NoTarget.default_remedy


def test_exception_is_one_json_line() -> None:
    out = _configure("json")
    try:
        raise OSError("broken")
    except OSError as error:
        get_logger().error("crashed", error=error, exc_info=error)
    line = json.loads(out.getvalue())
    assert line["error"] == "OSError: broken"
    assert "Traceback" in line["exception"]


def test_text_format_is_human_readable() -> None:
    out = _configure("text")
    get_logger().info("started", revision=4)
    assert "started" in out.getvalue()
    assert "revision=4" in out.getvalue()


def test_lines_below_the_level_are_dropped() -> None:
    out = _configure("json", "warning")
    get_logger().info("started")
    assert out.getvalue() == ""


def test_logger_created_before_configuration_uses_it() -> None:
    early = get_logger("early")
    out = _configure("json")
    early.info("started")
    assert json.loads(out.getvalue())["module"] == "early"


def test_fleet_key_is_never_logged() -> None:
    out = _configure("json")
    get_logger().info("started")
    assert '"key"' not in out.getvalue()
