"""Identifiers and addresses."""

import random

import pytest

from lacewinggw.ids import join_address, new_incarnation, new_nonce, new_request_id, split_address


@pytest.mark.parametrize(
    ("address", "parts"),
    [("127.0.0.1:80", ("127.0.0.1", 80)), ("[::1]:7001", ("::1", 7001))],
)
def test_address_splits_and_joins(address: str, parts: tuple[str, int]) -> None:
    assert split_address(address) == parts
    assert join_address(*parts) == address


@pytest.mark.parametrize("address", ["", "127.0.0.1", "127.0.0.1:", "127.0.0.1:http"])
def test_address_without_a_port_is_an_error(address: str) -> None:
    with pytest.raises(ValueError, match="write ip:port"):
        split_address(address)


def test_ids_are_determined_by_the_random_source() -> None:
    assert new_incarnation(random.Random(1)) == new_incarnation(random.Random(1))
    assert new_request_id(random.Random(1)) != new_request_id(random.Random(2))
    assert len(new_incarnation(random.Random(1))) == 24
    assert len(new_nonce(random.Random(1))) == 16
