"""Tests how request bodies are read without a framework."""

import pytest
import trio

from gooseberrylink.asgi import BodyTooLargeError, ClientDisconnectedError, read_body


def body_message(size: int, is_last: bool = False) -> dict:
    return {"type": "http.request", "body": b"x" * size, "more_body": not is_last}


async def read(messages: list[dict], limit_bytes: int = 10) -> tuple[bytes, int]:
    """Returns the body and the number of messages left unread."""
    unread = list(messages)

    async def receive():
        return unread.pop(0)

    return await read_body(receive, limit_bytes), len(unread)


def test_body_of_maximum_length_is_accepted():
    body, unread = trio.run(read, [body_message(4), body_message(6, is_last=True)])
    assert (len(body), unread) == (10, 0)


def test_too_long_body_is_read_to_its_end_before_it_is_refused():
    # Closing a connection with unread bytes resets it. Under load, a client with a
    # megabyte of its body unread never got its 413.
    messages = [
        body_message(8),
        body_message(8),
        body_message(8, is_last=True),
        body_message(1),
    ]

    async def count_unread():
        unread = list(messages)

        async def receive():
            return unread.pop(0)

        with pytest.raises(BodyTooLargeError):
            await read_body(receive, 10)
        return len(unread)

    assert trio.run(count_unread) == 1


def test_reading_of_an_endless_body_stops():
    with pytest.raises(BodyTooLargeError):
        trio.run(read, [body_message(8)] * 6)


def test_client_disconnect_raises_its_own_error():
    with pytest.raises(ClientDisconnectedError):
        trio.run(read, [body_message(4), {"type": "http.disconnect"}])
