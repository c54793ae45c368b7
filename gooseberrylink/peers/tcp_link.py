"""Carries links over plain TCP connections, with a length prefix on each frame.

A frame over grpc.aio takes 0.63 ms of CPU time, both ends together. This is too much
where the hosts of backend servers have half a core; docs/DESIGN.md has the figures.
"""

import errno
import socket
import struct

import trio

from gooseberrylink.addresses import split_address
from gooseberrylink.exceptions import (
    LinkClosedError,
    ListenError,
    MalformedAddressError,
)
from gooseberrylink.logs import log_event

_LENGTH = struct.Struct("!I")
_MAX_FRAME_BYTES = 32 * 1024 * 1024
_READ_BYTES = 64 * 1024
# A peer that still reads leaves far fewer bytes unsent than this.
_MAX_UNSENT_BYTES = 8 * 1024 * 1024
_CONNECT_TIMEOUT_S = 1.0
_ACCEPT_RETRY_S = 0.1


class TcpLink:
    """One end of a TCP connection; see Link."""

    def __init__(self, connection: socket.socket):
        connection.setblocking(False)
        self._socket = connection
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._received = bytearray()
        self._unsent = bytearray()
        self._is_flushing = False
        self.is_closed = False

    def send(self, data: bytes) -> None:
        """See Link; also closes the link if the peer has stopped reading."""
        if self.is_closed:
            raise LinkClosedError("the link is closed")
        if len(self._unsent) > _MAX_UNSENT_BYTES:
            self.close()
            raise LinkClosedError(
                f"the peer does not read: {len(self._unsent)} bytes are unsent"
            )
        self._unsent += _LENGTH.pack(len(data)) + data
        if not self._is_flushing and not self._send_available():
            self._is_flushing = True
            trio.lowlevel.spawn_system_task(self._flush)

    async def receive(self) -> bytes:
        """See Link."""
        while True:
            frame = self._pop_frame()
            if frame is not None:
                return frame
            self._received += await self._read()

    def close(self) -> None:
        """See Link."""
        if not self.is_closed:
            self.is_closed = True
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()

    async def _read(self) -> bytes:
        while not self.is_closed:
            try:
                data = self._socket.recv(_READ_BYTES)
                if data:
                    return data
                self.close()
            except BlockingIOError:
                await self._wait_for_socket(trio.lowlevel.wait_readable)
            except OSError:
                self.close()
        raise LinkClosedError("the link is closed")

    async def _wait_for_socket(self, wait) -> None:
        try:
            await wait(self._socket)
        except (trio.ClosedResourceError, OSError):
            self.close()

    def _pop_frame(self) -> bytes | None:
        if len(self._received) < _LENGTH.size:
            return None
        (length,) = _LENGTH.unpack_from(self._received)
        if length > _MAX_FRAME_BYTES:
            self.close()
            raise LinkClosedError(
                f"a frame of {length} bytes exceeds the limit of {_MAX_FRAME_BYTES}"
            )
        end = _LENGTH.size + length
        if len(self._received) < end:
            return None
        frame = bytes(self._received[_LENGTH.size : end])
        del self._received[:end]
        return frame

    def _send_available(self) -> bool:
        """Sends what the socket accepts now; returns whether nothing is left."""
        try:
            sent = self._socket.send(self._unsent)
        except BlockingIOError:
            return False
        except OSError:
            self.close()
            raise LinkClosedError("the connection failed") from None
        del self._unsent[:sent]
        return not self._unsent

    async def _flush(self) -> None:
        """Sends the remaining bytes as the peer reads."""
        try:
            while not self.is_closed and not self._send_available():
                await self._wait_for_socket(trio.lowlevel.wait_writable)
        except LinkClosedError:
            # The task that reads from the link gets the same error and handles it.
            pass
        finally:
            self._is_flushing = False


class TcpDialer:
    """Opens links to the entries; see Dialer."""

    async def dial(self, address: str) -> TcpLink:
        """See Dialer; the address is host:port."""
        try:
            host_and_port = split_address(address)
        except MalformedAddressError as error:
            raise LinkClosedError(str(error)) from None
        connection = socket.socket()
        connection.setblocking(False)
        try:
            with trio.fail_after(_CONNECT_TIMEOUT_S):
                await _connect(connection, host_and_port)
        except BaseException as error:
            connection.close()
            # A host name that can't be encoded gives a UnicodeError.
            if isinstance(error, OSError | trio.TooSlowError | UnicodeError):
                raise LinkClosedError(
                    f"can't connect to {address}: {error!r}"
                ) from None
            raise
        return TcpLink(connection)


class TcpListener:
    """Accepts the links that agents open to this entry; see Listener."""

    def __init__(self):
        self._listener: trio.SocketListener | None = None
        self.address = ""

    async def start(self, address: str) -> None:
        """See Listener."""
        try:
            host, port = split_address(address)
            (self._listener,) = await trio.open_tcp_listeners(port, host=host)
        except (MalformedAddressError, OSError) as error:
            raise ListenError(f"can't listen on {address}: {error}") from None
        self.address = f"{host}:{self._listener.socket.getsockname()[1]}"

    async def accept(self) -> TcpLink:
        """See Listener."""
        while True:
            try:
                stream = await self._listener.accept()
            except OSError as error:
                # The process may be out of file descriptors, which become available
                # again as links close.
                log_event("link_not_accepted", "WARNING", error=error)
                await trio.sleep(_ACCEPT_RETRY_S)
                continue
            return TcpLink(socket.socket(fileno=stream.socket.detach()))

    async def stop(self) -> None:
        """See Listener."""
        await self._listener.aclose()


async def _connect(connection: socket.socket, address: tuple[str, int]) -> None:
    code = connection.connect_ex(address)
    if code == errno.EINPROGRESS:
        await trio.lowlevel.wait_writable(connection)
        code = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, "connect failed")
