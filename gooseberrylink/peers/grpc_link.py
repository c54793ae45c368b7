"""Carries links over gRPC streams that run on one asyncio thread.

Each synchronous gRPC stream costs two threads, whereas all streams of a
process share one thread under grpc.aio; docs/DESIGN.md has the figures.
Frames pass between trio and that thread in batches; each batch contains all the
frames that are waiting.
"""

import asyncio
import collections
import math
import threading
from collections.abc import AsyncIterator

import grpc
import trio
from grpc import aio

from gooseberrylink.exceptions import LinkClosedError, ListenError

_SERVICE = "gooseberrylink.Peers"
_METHOD = "Connect"
_MAX_FRAME_BYTES = 32 * 1024 * 1024
_MAX_UNSENT_FRAMES = 4096
_CONNECT_TIMEOUT_S = 5.0
_STOP_TIMEOUT_S = 2.0
_OPTIONS = [
    ("grpc.max_receive_message_length", _MAX_FRAME_BYTES),
    ("grpc.max_send_message_length", _MAX_FRAME_BYTES),
    # A second process that listens on the same port must fail. With SO_REUSEPORT it
    # would receive some of the links.
    ("grpc.so_reuseport", 0),
    # Links are direct connections, even if the environment names an HTTP proxy.
    ("grpc.enable_http_proxy", 0),
]


class GrpcThread:
    """A thread with the asyncio event loop that runs all gRPC streams."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.trio_token = trio.lowlevel.current_trio_token()
        self._thread = threading.Thread(target=self._run, name="grpc", daemon=True)
        self._thread.start()

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()

    async def run(self, coroutine):
        """Runs a coroutine on the gRPC thread and awaits its result in trio."""
        done = trio.Event()
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        future.add_done_callback(lambda _: self._run_in_trio(done.set))
        try:
            await done.wait()
        except trio.Cancelled:
            future.cancel()
            raise
        return future.result()

    def _run_in_trio(self, function, *args) -> None:
        try:
            self.trio_token.run_sync_soon(function, *args)
        except trio.RunFinishedError:
            pass

    def stop(self) -> None:
        """Cancels all open streams and ends the thread."""
        self.loop.call_soon_threadsafe(self._cancel_all)
        self._thread.join(timeout=_STOP_TIMEOUT_S)

    def _cancel_all(self) -> None:
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        all_cancelled = asyncio.gather(*tasks, return_exceptions=True)
        all_cancelled.add_done_callback(lambda _: self.loop.stop())


class GrpcLink:
    """One end of a gRPC stream; see Link."""

    def __init__(self, thread: GrpcThread):
        self._thread = thread
        self._inbox_send, self._inbox = trio.open_memory_channel[bytes](math.inf)
        self._outbox: collections.deque[bytes] = collections.deque()
        self._wakeup = asyncio.Event()
        self._call: aio.StreamStreamCall | None = None
        self._received: list[bytes] = []
        self._lock = threading.Lock()
        self.is_closed = False

    def send(self, data: bytes) -> None:
        """See Link; also closes the link if the peer has stopped reading."""
        if self.is_closed:
            raise LinkClosedError("the link is closed")
        if len(self._outbox) >= _MAX_UNSENT_FRAMES:
            self.close()
            raise LinkClosedError(
                f"the peer does not read: {_MAX_UNSENT_FRAMES} frames are unsent"
            )
        self._outbox.append(data)
        self._thread.loop.call_soon_threadsafe(self._wakeup.set)

    async def receive(self) -> bytes:
        """See Link."""
        try:
            return await self._inbox.receive()
        except (trio.EndOfChannel, trio.ClosedResourceError):
            raise LinkClosedError("the link is closed") from None

    def close(self) -> None:
        """See Link."""
        if self.is_closed:
            return
        self.is_closed = True
        self._inbox_send.close()
        self._thread.loop.call_soon_threadsafe(self._end_stream)

    def _end_stream(self) -> None:
        self._wakeup.set()
        if self._call is not None:
            # A frozen peer never ends the stream, so this end cancels it.
            self._call.cancel()

    async def outgoing_frames(self) -> AsyncIterator[bytes]:
        """Yields frames to the stream; runs on the gRPC thread."""
        while True:
            while self._outbox:
                yield self._outbox.popleft()
            if self.is_closed:
                return
            await self._wakeup.wait()
            self._wakeup.clear()

    def queue_received_frame(self, data: bytes) -> None:
        """Queues a frame for trio; runs on the gRPC thread."""
        with self._lock:
            self._received.append(data)
            is_first = len(self._received) == 1
        if is_first:
            self._thread._run_in_trio(self._deliver)

    def _deliver(self) -> None:
        with self._lock:
            frames, self._received = self._received, []
        for data in frames:
            if not self.is_closed:
                self._inbox_send.send_nowait(data)

    def close_after_stream_end(self) -> None:
        """Closes the link once the received frames are delivered.

        Runs on the gRPC thread.
        """
        self._thread._run_in_trio(self.close)


class GrpcDialer:
    """Opens links to the entries; see Dialer."""

    def __init__(self, thread: GrpcThread):
        self._thread = thread

    async def dial(self, address: str) -> GrpcLink:
        """See Dialer; the address is host:port."""
        link = GrpcLink(self._thread)
        channel = await self._thread.run(self._connect(address))
        asyncio.run_coroutine_threadsafe(
            self._run_stream(channel, link), self._thread.loop
        )
        return link

    async def _connect(self, address: str) -> aio.Channel:
        channel = aio.insecure_channel(address, options=_OPTIONS)
        try:
            await asyncio.wait_for(channel.channel_ready(), _CONNECT_TIMEOUT_S)
        except TimeoutError:
            await channel.close()
            raise LinkClosedError(
                f"can't connect to {address} within {_CONNECT_TIMEOUT_S} s"
            ) from None
        except asyncio.CancelledError:
            await channel.close()
            raise
        return channel

    async def _run_stream(self, channel: aio.Channel, link: GrpcLink) -> None:
        method = channel.stream_stream(f"/{_SERVICE}/{_METHOD}")
        link._call = method(link.outgoing_frames())
        try:
            async for data in link._call:
                link.queue_received_frame(data)
        except (grpc.RpcError, asyncio.CancelledError):
            pass
        finally:
            link.close_after_stream_end()
            await channel.close()


class GrpcListener:
    """Accepts the links that agents open to this entry.

    Attributes:
        address: host:port that it listens on; "" before start.
    """

    def __init__(self, thread: GrpcThread):
        self._thread = thread
        self._links_send, self._links = trio.open_memory_channel[GrpcLink](math.inf)
        self._server: aio.Server | None = None
        self.address = ""

    async def start(self, address: str) -> None:
        """Listens on host:port; with port 0, on any free port."""
        host, _, _ = address.rpartition(":")
        port = await self._thread.run(self._start_server(address))
        self.address = f"{host}:{port}"

    async def accept(self) -> GrpcLink:
        """Waits for the next link that an agent opens."""
        return await self._links.receive()

    async def stop(self) -> None:
        """Closes the port and all links."""
        await self._thread.run(self._server.stop(0.2))

    async def _start_server(self, address: str) -> int:
        self._server = aio.server(options=_OPTIONS)
        handler = grpc.stream_stream_rpc_method_handler(self._handle_stream)
        self._server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(_SERVICE, {_METHOD: handler}),)
        )
        try:
            port = self._server.add_insecure_port(address)
        except RuntimeError as error:
            raise ListenError(f"can't listen on {address}: {error}") from None
        await self._server.start()
        return port

    async def _handle_stream(self, requests, context) -> AsyncIterator[bytes]:
        link = GrpcLink(self._thread)
        reader = asyncio.ensure_future(self._read(requests, link))
        self._thread._run_in_trio(self._links_send.send_nowait, link)
        try:
            async for data in link.outgoing_frames():
                yield data
        finally:
            reader.cancel()
            link.close_after_stream_end()

    async def _read(self, requests, link: GrpcLink) -> None:
        try:
            async for data in requests:
                link.queue_received_frame(data)
        except (grpc.RpcError, asyncio.CancelledError):
            pass
        finally:
            link.close_after_stream_end()
