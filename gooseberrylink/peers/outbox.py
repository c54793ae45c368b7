"""Collects items for a peer until its sender task wakes up."""

import trio


class Outbox:
    """Items waiting for the next frame to one peer.

    All items that are put here before the sender runs are sent in one frame.
    """

    def __init__(self):
        self._items: list = []
        self._wakeup = trio.Event()

    def __len__(self) -> int:
        return len(self._items)

    def put(self, item) -> None:
        """Adds an item and wakes the sender."""
        self._items.append(item)
        self._wakeup.set()

    def wake_sender(self) -> None:
        """Wakes the sender even without an item, to send a frame with its header."""
        self._wakeup.set()

    async def wait(self, timeout_s: float) -> bool:
        """Waits until the sender is woken; returns False on time-out."""
        with trio.move_on_after(timeout_s) as scope:
            await self._wakeup.wait()
        self._wakeup = trio.Event()
        return not scope.cancelled_caught

    def take(self) -> list:
        """Removes and returns all items."""
        items, self._items = self._items, []
        return items
