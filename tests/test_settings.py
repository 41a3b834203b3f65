"""Settings: parsing, and one clear error for each kind of invalid file."""

from decimal import Decimal
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from machines import ENTRY_LIMITS, fill_in, platform_fields
from syrupy.assertion import SnapshotAssertion
from thrift.Thrift import TType

from lacewinggw.cli import ExitCode, main
from lacewinggw.errors import LacewingError, SettingsError
from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.settings import (
    default_settings,
    detect_process_kind,
    load_settings,
    parse_settings,
    write_settings,
)
from lacewinggw.settingskeys import SECTIONS, Key, ProcessKind, section_keys, section_names

ROOT = Path(__file__).resolve().parent.parent
BROKEN = Path(__file__).resolve().parent / "data" / "settings"
EXAMPLES = ROOT / "docs" / "examples"
ENTRY = SECTIONS[ProcessKind.ENTRY]


@pytest.mark.parametrize("name", sorted(path.name for path in BROKEN.glob("*.ini")))
def test_broken_file_gives_one_error_and_exit_code_2(
    name: str,
    snapshot: SnapshotAssertion,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    monkeypatch.chdir(BROKEN)
    assert main(["check", name]) == ExitCode.BAD_INPUT
    out, err = capsys.readouterr()
    assert out == ""
    assert err.count("\n") == 1
    assert name in err
    assert err == snapshot


@pytest.mark.parametrize("kind", list(ProcessKind))
def test_example_is_valid(kind: ProcessKind) -> None:
    path = EXAMPLES / f"{kind.value}.ini"
    assert detect_process_kind(path) is kind
    load_settings(path, SECTIONS[kind])


def test_values_have_the_units_of_their_fields() -> None:
    settings = load_settings(EXAMPLES / "agent.ini", SECTIONS[ProcessKind.AGENT])
    assert settings.agent.link_bytes_per_s == 1_250_000_000
    assert settings.agent.weights_share_percent == 60
    assert settings.agent.target_fences is True
    assert settings.spread.patience_ms == 200


def test_list_items_are_separated_by_lines_or_commas() -> None:
    settings = load_settings(EXAMPLES / "entry.ini", ENTRY)
    assert settings.entry.accounts == ["radio-desk:secret-1:200:64", "growers:secret-2:50:16"]
    operator = load_settings(EXAMPLES / "operator.ini", SECTIONS[ProcessKind.OPERATOR]).operator
    assert operator.entries == ["10.1.1.1:8081", "10.2.1.1:8081"]


def test_required_key_of_another_process_may_be_missing() -> None:
    assert parse_settings("[agent]\ntarget = 127.0.0.1:9\n", "x", ()).agent.peer_listen == ""


def test_port_0_clashes_with_nothing() -> None:
    text = "[entry]\ncaller_listen = 127.0.0.1:0\noperator_listen = 127.0.0.1:0\n"
    with pytest.raises(SettingsError, match="peer_listen: the value is missing"):
        parse_settings(text, "x", ("entry",))
    parse_settings(text + "peer_listen = 127.0.0.1:0\n", "x", ("entry",))


def test_missing_file_is_bad_input(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["check", "no-such.ini"]) == ExitCode.BAD_INPUT
    assert "LW-1001 settings-unreadable: no-such.ini: No such file" in capsys.readouterr().err


def test_file_that_is_not_utf8_is_bad_input(tmp_path: Path) -> None:
    path = tmp_path / "x.ini"
    path.write_bytes(b"[process]\nhost = \xff\n")
    with pytest.raises(SettingsError, match="not UTF-8"):
        load_settings(path, ())


def test_written_settings_read_back_the_same() -> None:
    for kind in ProcessKind:
        settings = load_settings(EXAMPLES / f"{kind.value}.ini", ())
        assert parse_settings(write_settings(settings), "x", ()) == settings
    assert parse_settings(write_settings(default_settings()), "x", ()) == default_settings()


def test_no_two_keys_of_a_section_have_one_name() -> None:
    for section in section_names():
        names = [key.name for key in section_keys(section)]
        assert len(names) == len(set(names))


def test_message_never_shows_a_token(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["check", str(BROKEN / "bad_account.ini")]) == ExitCode.BAD_INPUT
    assert "secret" not in capsys.readouterr().err


@given(st.text(alphabet="[]=\n #;:%prtocesablg0123.é\0", max_size=200))
def test_any_text_is_parsed_or_rejected(text: str) -> None:
    try:
        parse_settings(f"[process]\n{text}", "x", ())
    except LacewingError as error:
        assert isinstance(error, SettingsError)


FLEET = """[process]
host = 10.0.0.1
place = hall
fleet_key = fleet
[fleet]
store = 10.9.0.1:8007
{key} = {text}
"""
FILLED_IN = [key for key in section_keys("fleet") if key.kind in (TType.I32, TType.I64)]
UNITS = {None: "", "time": "ms", "share": "%"}


def read_fleet(key: str, text: str) -> int:
    settings = parse_settings(FLEET.format(key=key, text=text), "entry.ini", ("process", "fleet"))
    field = next(each.field for each in FILLED_IN if each.name == key)
    value: int = getattr(settings.fleet, field)
    return value


# A platform may compute a value with a fraction. Rejecting it made every entry of a deployment exit
# at once and at each restart: "[fleet] extra_retries: '37.833333333333336' is not a whole number".
@pytest.mark.parametrize("key", FILLED_IN, ids=lambda key: str(key.name))
@given(number=st.floats(1, 90))
def test_value_filled_in_by_a_platform_may_have_a_fraction(key: Key, number: float) -> None:
    unit = UNITS[key.measure.name if key.measure else None]
    assert read_fleet(key.name, f"{number:.9f}{unit}") == int(Decimal(f"{number:.9f}"))
    assert read_fleet(key.name, f"{number:.8e}{unit}") == int(Decimal(f"{number:.8e}"))


@pytest.mark.parametrize("key", FILLED_IN, ids=lambda key: str(key.name))
@pytest.mark.parametrize("text", ["nan", "inf", "-1", "1e99", "1e30", "", "1.2.3", "one"])
def test_invalid_number_is_rejected_with_the_name_of_its_key(key: Key, text: str) -> None:
    unit = UNITS[key.measure.name if key.measure else None]
    if text + unit:
        with pytest.raises(SettingsError, match=rf"\[fleet\] {key.name}"):
            read_fleet(key.name, text + unit)


def test_operator_set_count_with_a_fraction_is_rejected() -> None:
    with pytest.raises(SettingsError, match="whole number"):
        parse_settings("[spread]\ngateways = 2.5\n", "agent.ini", ("spread",))


MACHINE = """
[process]
host = entry-1
place = hall
fleet_key = fleet
{key} = {text}
"""


def read_process(key: str, text: str) -> Settings:
    return parse_settings(MACHINE.format(key=key, text=text), "entry.ini", ("process",))


# The platform fills in the limits of the machine, which may have a fraction.
@pytest.mark.parametrize("text", ["300.5MB", "168.33333333333334MB", "552MB"])
def test_memory_filled_in_by_a_platform_may_have_a_fraction(text: str) -> None:
    megabytes = Decimal(text.removesuffix("MB"))
    assert read_process("memory", text).process.memory_bytes == int(megabytes * 1_000_000)


def test_descriptors_filled_in_by_a_platform_may_have_a_fraction() -> None:
    assert read_process("descriptors", "4100.5").process.descriptors == 4100


@pytest.mark.parametrize(
    ("key", "text"),
    [("memory", "63MB"), ("memory", "0MB"), ("memory", "300"), ("descriptors", "255")],
)
def test_limits_of_a_machine_that_no_process_can_keep_are_rejected(key: str, text: str) -> None:
    with pytest.raises(SettingsError, match=rf"\[process\] {key}"):
        read_process(key, text)


@pytest.mark.parametrize("role", ["entry", "agent"])
@pytest.mark.parametrize("limits", [{}, {"MemoryMb": 300.5, "FileDescriptors": 4100.0}])
def test_limits_that_a_platform_does_not_give_have_defaults(role: str, limits: dict) -> None:
    fields = platform_fields("10.0.0.1", "10.9.0.1:8007", ENTRY_LIMITS, "10.0.0.1:8001")
    fields["Limits"] = {"LinkMbps": 1000.0, **limits}
    text = fill_in((ROOT / "deploy" / f"{role}.ini").read_text(), fields)
    process = parse_settings(text, f"{role}.ini", ("process", "fleet", role)).process
    default = default_settings().process
    assert process.memory_bytes == (300_500_000 if limits else default.memory_bytes)
    assert process.descriptors == (4100 if limits else default.descriptors)
