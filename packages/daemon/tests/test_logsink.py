"""Log output to a reader that is slow or has closed the stream."""

import json
import os

import pytest
from wagtailpaddle_daemon.logsink import BoundedStream


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    for end in (reader, writer):
        try:
            os.close(end)
        except OSError:
            continue


def read_available(reader):
    pieces = []
    while True:
        try:
            piece = os.read(reader, 1 << 16)
        except BlockingIOError:
            break
        if not piece:
            break
        pieces.append(piece)
    return b"".join(pieces)


def test_stalled_reader_does_not_block_and_dropped_lines_are_counted(pipe):
    reader, writer = pipe
    stream = BoundedStream(writer, max_pending=10_000)
    n_lines = 20_000
    for n in range(n_lines):
        stream.write(json.dumps({"n": n}) + "\n")
    assert stream.n_dropped > 0
    received = b""
    for _ in range(10):
        received += read_available(reader)
        stream.write_pending()
    lines = [json.loads(line) for line in received.splitlines()]
    numbers = [line["n"] for line in lines if "n" in line]
    assert numbers == list(range(len(numbers)))
    (dropped,) = [line for line in lines if "n_dropped" in line]
    assert dropped["n_dropped"] + len(numbers) == n_lines


def test_lines_go_on_after_the_reader_caught_up(pipe):
    reader, writer = pipe
    stream = BoundedStream(writer, max_pending=1000)
    for _ in range(20_000):
        stream.write("x" * 9 + "\n")
    assert stream.n_dropped
    for _ in range(10):
        read_available(reader)
        stream.write_pending()
    n_dropped = stream.n_dropped
    stream.write("last\n")
    assert read_available(reader) == b"last\n"
    assert stream.n_dropped == n_dropped


def test_closed_reader_raises_no_error(pipe):
    reader, writer = pipe
    os.close(reader)
    stream = BoundedStream(writer)
    stream.write("nobody reads this\n")
    assert stream.n_dropped == 1
