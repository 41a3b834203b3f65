"""Writing log lines never blocks the process, and dropped lines are counted."""

import json

from lacewinggw.logstream import BURST_LINES, MAX_BUFFER_BYTES, LogStream


class Pipe:
    """A pipe that accepts `room` more bytes, and a clock."""

    def __init__(self, room):
        self.room = room
        self.taken = b""
        self.now = 0.0

    def write(self, _, data):
        if not self.room:
            raise BlockingIOError
        part = data[: self.room]
        self.room -= len(part)
        self.taken += part
        return len(part)

    def clock(self):
        return self.now

    def stream(self):
        return LogStream(1, self.write, self.clock)


def test_lines_are_written_in_order():
    pipe = Pipe(room=1000)
    stream = pipe.stream()
    stream.write("one\n")
    stream.write("two\n")
    assert pipe.taken == b"one\ntwo\n"


def test_lines_that_a_slow_reader_delays_are_written_completely_later():
    pipe = Pipe(room=2)
    stream = pipe.stream()
    stream.write("one\n")
    pipe.room = 1000
    stream.write("two\n")
    assert pipe.taken == b"one\ntwo\n"


def test_an_absent_reader_costs_bounded_memory_and_never_blocks():
    pipe = Pipe(room=0)
    stream = pipe.stream()
    for number in range(2000):
        pipe.now = number
        stream.write("x" * 1000 + "\n")
    assert stream.dropped > 1000
    pipe.room = 10 * MAX_BUFFER_BYTES
    pipe.now += 1
    stream.write("last\n")
    stream.write("after\n")
    lines = pipe.taken.decode().splitlines()
    assert json.loads(lines[-2])["count"] == stream.dropped
    assert lines[-1] == "after"


def test_a_burst_of_lines_is_limited_to_the_rate():
    pipe = Pipe(room=1 << 30)
    stream = pipe.stream()
    for _ in range(int(BURST_LINES) + 50):
        stream.write("a\n")
    assert stream.dropped == 50
    pipe.now = 1.0
    stream.write("b\n")
    assert b"log_lines_dropped" in pipe.taken and pipe.taken.endswith(b"b\n")


def test_a_closed_pipe_raises_no_error():
    def write(_, data):
        raise BrokenPipeError

    LogStream(1, write).write("line\n")
