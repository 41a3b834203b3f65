"""Settings files of any content are read, or refused with what to write instead."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lacewinggw.errors import SettingsError
from lacewinggw.settings import parse_settings
from lacewinggw.settingskeys import SECTIONS, section_keys, section_names

VALUES = st.one_of(
    st.text(max_size=30),
    st.sampled_from(
        ["127.0.0.1:80", "1s", "0ms", "-1", "1e400", "9" * 400, "5%", "nan", "a:b:1:1"]
    ),
)
KEYS = sorted({key.name for section in section_names() for key in section_keys(section)})


@st.composite
def settings_files(draw: st.DrawFn) -> str:
    lines = []
    for section in draw(st.lists(st.sampled_from(section_names()), max_size=4)):
        lines.append(f"[{section}]")
        for name in draw(st.lists(st.sampled_from(KEYS), max_size=4)):
            lines.append(f"{name} = {draw(VALUES)}")
    return "\n".join(lines)


@pytest.mark.parametrize("kind", SECTIONS)
@given(text=st.one_of(st.text(max_size=200), settings_files()))
def test_settings_are_read_or_refused_with_a_remedy(kind: str, text: str) -> None:
    try:
        parse_settings(text, "fuzz.ini", SECTIONS[kind])  # type: ignore[index]
    except SettingsError as error:
        assert error.code
        assert error.remedy
