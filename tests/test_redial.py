"""Tests how soon an agent is linked to an entry that was away."""

import pytest
import trio

from gooseberrylink.exceptions import LinkClosedError
from gooseberrylink.standins.network import MemoryDialer


@pytest.mark.parametrize("dark_s", [0.2, 1.3, 1.9])
def test_links_are_up_soon_after_an_entry_whose_host_was_dark(
    run_on_deployment, monkeypatch, dark_s
):
    # After all hosts lost power, half of the links came up a second after the
    # processes: the first packet to a dark host is lost, and is repeated after 1 s.
    dial = MemoryDialer.dial

    async def dial_like_tcp(self, address):
        try:
            return await dial(self, address)
        except LinkClosedError:
            await trio.sleep(1.0)
            raise

    monkeypatch.setattr(MemoryDialer, "dial", dial_like_tcp)

    async def test(deployment):
        entry = await deployment.add_entry("entry-1")
        for number in range(8):
            await deployment.add_agent(f"tank-{number}")
        await deployment.wait_connected()
        await deployment.kill_entry(entry)
        await trio.sleep(dark_s)
        await deployment.add_entry("entry-1")
        with trio.fail_after(0.21):
            await deployment.wait_connected()

    run_on_deployment(test)


def test_entry_that_is_gone_is_dialled_ever_less_often(run_on_deployment, monkeypatch):
    dialled_s = []
    dial = MemoryDialer.dial

    async def dial_and_count(self, address):
        dialled_s.append(trio.current_time())
        return await dial(self, address)

    monkeypatch.setattr(MemoryDialer, "dial", dial_and_count)

    async def test(deployment):
        entry = await deployment.add_entry("entry-1")
        await deployment.add_agent("tank-1")
        await deployment.wait_connected()
        await deployment.kill_entry(entry)
        gone_s = trio.current_time()
        await trio.sleep(60)
        ages_s = [at_s - gone_s for at_s in dialled_s if at_s > gone_s]
        assert len([age_s for age_s in ages_s if age_s < 2]) < 60
        assert len([age_s for age_s in ages_s if age_s > 50]) < 11

    run_on_deployment(test)
