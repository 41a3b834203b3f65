"""Which clients give way under a crowd, decided without a network."""

from hypothesis import given
from hypothesis import strategies as st

from lacewinggw.decisions.clientload import (
    LARGE_SHARE,
    PROGRESS_BYTES,
    SMALL_BODY_BYTES,
    SMALL_BYTES,
    STALL_S,
    ClientState,
    ClientUse,
    ConnectionLimit,
    MemoryLimit,
    choose_for_memory,
    next_room,
)

LIMIT = 8
NOW = 100.0
MEMORY = 64 * SMALL_BYTES


def uses_of(state: ClientState, count: int) -> list[ClientUse]:
    return [ClientUse(state) for _ in range(count)]


def limit_of(*groups: list[ClientUse]) -> ConnectionLimit:
    limit = ConnectionLimit(LIMIT)
    for use in (use for group in groups for use in group):
        limit.add(use)
    return limit


# A crowd connects and sends nothing, beside callers that keep connections between two requests.
def test_a_crowd_that_sends_nothing_displaces_itself():
    kept, crowd = uses_of(ClientState.KEPT, 3), uses_of(ClientState.ARRIVING, 5)
    limit = limit_of(kept, crowd)
    assert limit.is_reached
    for use in crowd:
        assert limit.choose(NOW) is use
        limit.remove(use)
        limit.add(ClientUse())


# A crowd asks once and keeps its connections, and an ordinary caller connects.
def test_kept_connections_give_way_to_few_that_arrive():
    kept, arriving = uses_of(ClientState.KEPT, 7), uses_of(ClientState.ARRIVING, 1)
    assert limit_of(arriving, kept).choose(NOW) is kept[0]


def test_connections_that_wait_for_the_client_to_read_give_way_first():
    closing = uses_of(ClientState.CLOSING, 1)
    limit = limit_of(uses_of(ClientState.ARRIVING, 4), uses_of(ClientState.KEPT, 3), closing)
    assert limit.choose(NOW) is closing[0]


def test_complete_requests_never_give_way():
    limit = limit_of(uses_of(ClientState.SERVED, LIMIT))
    assert limit.is_reached and limit.choose(NOW) is None


# A crowd reads none of its answers, beside a client whose answer is on its way.
def test_clients_that_do_not_read_give_way_once_they_stall():
    unread = uses_of(ClientState.UNREAD, 7)
    limit = limit_of(unread, uses_of(ClientState.KEPT, 1))
    assert limit.choose(NOW) is unread[0]
    for use in unread:
        use.note_progress(NOW - STALL_S / 2)
    assert limit.choose(NOW).state is ClientState.KEPT


def test_progress_moves_a_connection_behind_the_others():
    crowd = uses_of(ClientState.ARRIVING, LIMIT)
    limit = limit_of(crowd)
    assert crowd[0].note_bytes(PROGRESS_BYTES, 1.0)
    limit.move(crowd[0], ClientState.ARRIVING)
    assert limit.choose(NOW) is crowd[1]


def test_a_connection_that_was_removed_stays_removed():
    limit = limit_of(crowd := uses_of(ClientState.ARRIVING, 2))
    limit.remove(crowd[0])
    limit.move(crowd[0], ClientState.SERVED)
    assert len(limit) == 1


# Large bodies leave room for ordinary requests.
def test_large_uses_leave_a_share_to_small_ones():
    memory = MemoryLimit(MEMORY)
    large = [ClientUse() for _ in range(100)]
    taken = sum(memory.take(use, 2 * SMALL_BYTES) for use in large)
    assert taken == LARGE_SHARE * MEMORY / (2 * SMALL_BYTES)
    small = [ClientUse() for _ in range(100)]
    assert sum(memory.take(use, SMALL_BYTES) for use in small) == (1 - LARGE_SHARE) * 64


def test_the_only_large_client_may_exceed_the_limit():
    memory = MemoryLimit(MEMORY)
    assert memory.take(ClientUse(), 2 * MEMORY)
    assert memory.is_exceeded
    assert not memory.take(ClientUse(), 2 * SMALL_BYTES)


# A crowd holds bodies that are one byte short, beside a caller whose small request is slow.
def test_what_is_of_no_use_for_longest_gives_way_first():
    crowd = [ClientUse(held_bytes=8 << 20, progressed_at=0.1 * number) for number in range(10)]
    slow = ClientUse(held_bytes=4000, progressed_at=0.0)
    chosen = []
    while (use := choose_for_memory([slow, *crowd], 5.0)) is not None:
        chosen.append(use)
        use.held_bytes = 0
    assert chosen == [*crowd, slow]


# A crowd waits for memory, beside a slow caller that is the only one stalled for now.
def test_little_memory_does_not_give_way_for_a_large_request():
    memory = MemoryLimit(MEMORY)
    slow = ClientUse(held_bytes=4000, progressed_at=0.0)
    uploading = ClientUse(held_bytes=8 << 20, progressed_at=4.5)
    uses = [slow, uploading]
    assert choose_for_memory(uses, 5.0, memory.small_limit_bytes) is None
    assert choose_for_memory(uses, 5.0) is slow
    small = [ClientUse(held_bytes=SMALL_BYTES, progressed_at=0.0) for _ in range(20)]
    assert choose_for_memory([*uses, *small], 5.0, memory.small_limit_bytes) is small[0]


def test_clients_that_make_progress_do_not_give_way():
    now = 10.0
    uploading = ClientUse(held_bytes=8 << 20, progressed_at=now - STALL_S / 2)
    waiting = ClientUse(ClientState.SERVED, held_bytes=8 << 20, progressed_at=0.0)
    assert choose_for_memory([uploading, waiting], now) is None
    waiting.state = ClientState.UNREAD
    assert choose_for_memory([uploading, waiting], now) is waiting


# A client sends a byte now and then, so that it is never silent.
def test_a_trickle_is_no_progress():
    use = ClientUse(held_bytes=8 << 20, progressed_at=0.0)
    for step in range(20):
        assert not use.note_bytes(1, 0.1 * step)
    assert use.stalled_s(2.0) == 2.0


def test_a_body_of_unknown_length_gets_a_small_room_and_then_the_longest():
    assert next_room(1, 4 << 20) == SMALL_BODY_BYTES
    assert next_room(SMALL_BODY_BYTES + 1, 4 << 20) == 4 << 20
    assert next_room(1, 1000) == 1000


@given(st.lists(st.tuples(st.integers(0, 4), st.sampled_from(ClientState), st.booleans())))
def test_a_limit_counts_each_connection_once(steps):
    uses = [ClientUse() for _ in range(5)]
    limit, opened = ConnectionLimit(3), set()
    for number, state, is_removed in steps:
        use = uses[number]
        if is_removed:
            limit.remove(use)
            opened.discard(number)
        elif number in opened:
            limit.move(use, state)
        else:
            limit.add(use)
            opened.add(number)
        assert len(limit) == len(opened)


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 20 * SMALL_BYTES), st.booleans())))
def test_memory_is_given_back_exactly(steps):
    memory, uses = MemoryLimit(MEMORY), [ClientUse() for _ in range(4)]
    for number, size, is_taken in steps:
        if is_taken:
            memory.take(uses[number], size)
        else:
            memory.release(uses[number], size)
        assert memory.used_bytes == sum(use.held_bytes for use in uses) >= 0
    for use in uses:
        memory.release(use)
    assert memory.used_bytes == 0
