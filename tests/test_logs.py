"""Tests the format of log lines, and that logging does not wait for the reader."""

import sys
import time

import pytest

from gooseberrylink import logs


@pytest.fixture
def read_lines(capsys):
    """Returns a function that returns the lines written since its last call."""
    logs.configure_logs("INFO")

    def read() -> list[str]:
        logs._writer.flush()
        return capsys.readouterr().out.splitlines()

    yield read
    logs.configure_logs("CRITICAL")


def test_line_is_key_value_with_time_and_level(read_lines):
    logs.log_event("task_assigned", "WARNING", job="0f", wait_s=0.25, detail='a "b" {}')
    (line,) = read_lines()
    assert line.startswith("time=20")
    assert "+00:00 level=WARNING event=task_assigned job=0f wait_s=0.25" in line
    assert line.endswith('detail="a \\"b\\" {}"')


def test_lines_are_written_whole_and_in_order(read_lines):
    for number in range(500):
        logs.log_event("numbered", number=number)
    numbers = [line.rpartition("=")[2] for line in read_lines()]
    assert numbers == [str(number) for number in range(500)]


def test_too_many_lines_are_dropped_and_counted(read_lines, monkeypatch):
    monkeypatch.setattr(logs, "_MAX_LINES_PER_S", 10)
    for number in range(50):
        logs.log_event("numbered", number=number)
    time.sleep(1.1)
    logs.log_event("later")
    lines = read_lines()
    written_count = sum("event=numbered" in line for line in lines)
    dropped = [line for line in lines if "event=log_lines_dropped" in line]
    reported_drops = sum(int(line.rpartition("=")[2]) for line in dropped)
    assert written_count <= 20
    assert written_count + reported_drops == 50


def test_slow_reader_does_not_block_logging(read_lines, monkeypatch):
    monkeypatch.setattr(sys.stdout, "write", lambda text: time.sleep(0.5))
    started_s = time.monotonic()
    for number in range(300):
        logs.log_event("numbered", number=number)
    assert time.monotonic() - started_s < 0.4
