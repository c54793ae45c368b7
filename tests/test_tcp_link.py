"""Tests links over plain TCP connections on the loopback interface."""

import socket

import pytest
import trio

from gooseberrylink.exceptions import LinkClosedError
from gooseberrylink.peers.tcp_link import TcpDialer, TcpLink, TcpListener


@pytest.fixture
def run_linked():
    """Returns a function that runs a test with both ends of an open link."""

    def run(test):
        async def main():
            listener = TcpListener()
            await listener.start("127.0.0.1:0")
            with trio.fail_after(10):
                dialed = await TcpDialer().dial(listener.address)
                await test(dialed, await listener.accept())
            await listener.stop()

        trio.run(main)

    return run


def test_frames_arrive_whole_and_in_order(run_linked):
    async def test(dialed, accepted):
        frames = [bytes([number]) * number * 1000 for number in range(100)] + [b""]
        for frame in frames:
            dialed.send(frame)
        assert [await accepted.receive() for _ in frames] == frames
        accepted.send(b"back")
        assert await dialed.receive() == b"back"

    run_linked(test)


def test_frames_are_buffered_for_a_slow_reader(run_linked):
    async def test(dialed, accepted):
        frame = b"x" * 1_000_000
        for _ in range(7):
            dialed.send(frame)
        await trio.sleep(0.05)
        for _ in range(7):
            assert await accepted.receive() == frame

    run_linked(test)


def test_link_to_a_peer_that_never_reads_is_closed(run_linked):
    async def test(dialed, accepted):
        with pytest.raises(LinkClosedError):
            for _ in range(40):
                dialed.send(b"x" * 1_000_000)
                await trio.sleep(0)
        assert dialed.is_closed

    run_linked(test)


def test_close_is_seen_by_both_ends(run_linked):
    async def test(dialed, accepted):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(expect_closed, accepted)
            nursery.start_soon(expect_closed, dialed)
            await trio.sleep(0.05)
            dialed.close()
        with pytest.raises(LinkClosedError):
            dialed.send(b"late")

    run_linked(test)


async def expect_closed(link: TcpLink) -> None:
    with pytest.raises(LinkClosedError):
        await link.receive()


def test_frames_before_a_close_still_arrive(run_linked):
    async def test(dialed, accepted):
        dialed.send(b"last")
        dialed.close()
        assert await accepted.receive() == b"last"
        await expect_closed(accepted)

    run_linked(test)


def test_bytes_that_are_not_frames_close_the_link(run_linked):
    async def test(dialed, accepted):
        dialed._socket.send(b"GET / HTTP/1.1\r\n\r\n")
        await expect_closed(accepted)

    run_linked(test)


def test_dialing_without_a_listener_fails():
    async def main():
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            port = unused.getsockname()[1]
        with pytest.raises(LinkClosedError):
            await TcpDialer().dial(f"127.0.0.1:{port}")

    trio.run(main)
