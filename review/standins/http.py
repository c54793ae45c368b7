"""A small HTTP/1.1 server and client, for the stand-ins."""

import asyncio
import dataclasses
import json
import socket
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any


@dataclasses.dataclass(frozen=True)
class Request:
    """A request with its whole body."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: Any


# Returns a status and a JSON body; None to close the connection without a response.
Handler = Callable[[Request], Awaitable[tuple[int, Any] | None]]


@dataclasses.dataclass(frozen=True)
class Reply:
    """A response; status 0 if the connection broke or the time limit passed."""

    status: int
    body: Any = None


def find_free_port(ip: str) -> int:
    """Returns a port of an address that nothing listens on."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class HttpServer:
    """Serves one handler at an address, until it is stopped."""

    def __init__(self, ip: str, port: int, handler: Handler):
        self.address = f"{ip}:{port}"
        self._ip, self._port, self._handler = ip, port, handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts to listen, unless it listens already."""
        if self._server is not None:
            return
        self._server = await asyncio.start_server(self._serve, self._ip, self._port)

    async def stop(self) -> None:
        """Stops to listen, and resets all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                answer = await self._handler(request)
                if answer is None:
                    return
                status, body = answer
                data = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass  # The other end is gone.
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = await _read_headers(reader)
    data = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urllib.parse.urlsplit(target)
    query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
    path = urllib.parse.unquote(parts.path)
    return Request(method, path, query, headers, json.loads(data) if data else None)


async def _read_headers(reader: asyncio.StreamReader) -> dict[str, str]:
    headers = {}
    while True:
        line = (await reader.readline()).decode("latin-1").strip()
        if not line:
            return headers
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()


async def call(
    address: str,
    method: str,
    target: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 2.0,
) -> Reply:
    """Sends one request over a new connection and returns the response."""
    try:
        async with asyncio.timeout(timeout_s):
            return await _exchange(address, method, target, body, headers or {})
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return Reply(0)


async def _exchange(
    address: str, method: str, target: str, body: Any, headers: dict[str, str]
) -> Reply:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {target} HTTP/1.1"]
        all_headers = {
            "Host": address,
            "Content-Type": "application/json",
            "Content-Length": str(len(data)),
            **headers,
        }
        lines += [f"{name}: {value}" for name, value in all_headers.items()]
        writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + data)
        await writer.drain()
        status = int((await reader.readline()).split(b" ")[1])
        response_headers = await _read_headers(reader)
        length = int(response_headers.get("content-length", "0"))
        text = await reader.readexactly(length)
        return Reply(status, json.loads(text) if text else None)
    except IndexError:
        # The connection was closed before the status line.
        return Reply(0)
    finally:
        writer.close()
