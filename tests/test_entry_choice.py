"""Tests which entries an agent connects to when many addresses are dead."""

import pytest
import trio

from gooseberrylink import entry_discovery
from gooseberrylink.agent import Agent
from gooseberrylink.entry_choice import GONE_AFTER_S, EntryChoice
from gooseberrylink.entry_discovery import register_entry, watch_entries
from gooseberrylink.metrics import Metrics
from gooseberrylink.peers.tcp_link import TcpDialer
from gooseberrylink.settings import AgentSettings
from gooseberrylink.store import StoredRow, StoreErrorKind

DEAD = [f"gone-{number}:1" for number in range(150)]


def make_choice(addresses, now_s=0.0, max_entries=4) -> EntryChoice:
    choice = EntryChoice("tank-1", [], max_entries, Metrics("agent", "tank-1"))
    choice.add(addresses, now_s)
    return choice


def connected_count(agent) -> int:
    return sum(peer.is_connected for peer in agent._peers.values())


def test_live_entries_are_found_among_many_dead_addresses(run_on_deployment):
    # After 150 replacements, agents that restarted chose dead addresses for good.
    async def test(deployment):
        for number in range(6):
            await deployment.add_entry(f"entry-{number}")
        live = [entry.address_for_agents for entry in deployment.entries]
        agents = [
            await deployment.add_agent(
                f"tank-{number}", entries=[*DEAD, *live], max_entries=4
            )
            for number in range(8)
        ]
        await trio.sleep(10)
        for agent in agents:
            assert 4 <= connected_count(agent) <= 5

    run_on_deployment(test)


def test_entries_that_are_away_for_some_seconds_are_replaced(run_on_deployment):
    async def test(deployment):
        for number in range(8):
            await deployment.add_entry(f"entry-{number}")
        agent = await deployment.add_agent("tank-1", max_entries=2)
        await trio.sleep(1)
        first = set(agent.entry_choice.choose(trio.current_time()))
        assert connected_count(agent) == 2
        entry = next(e for e in deployment.entries if e.address_for_agents in first)
        await deployment.kill_entry(entry)
        await trio.sleep(5)
        assert connected_count(agent) == 1
        await trio.sleep(3)
        assert connected_count(agent) == 2
        # It is connected to again, and the link to the other one remains.
        await deployment.add_entry(entry.settings.entry)
        await trio.sleep(3)
        assert agent._peers[entry.address_for_agents].is_connected
        assert connected_count(agent) == 3

    run_on_deployment(test)


def test_entry_that_is_back_soon_is_not_replaced(run_on_deployment):
    async def test(deployment):
        for number in range(8):
            await deployment.add_entry(f"entry-{number}")
        agent = await deployment.add_agent("tank-1", max_entries=2)
        await trio.sleep(1)
        for entry in list(deployment.entries):
            await deployment.kill_entry(entry)
        await trio.sleep(3.5)
        for number in range(8):
            await deployment.add_entry(f"entry-{number}")
        await trio.sleep(5)
        assert connected_count(agent) == 2

    run_on_deployment(test)


def test_gone_addresses_are_forgotten_and_not_learned_again_soon():
    choice = make_choice([*DEAD, "live:1"])
    choice.record_connected("live:1", 0.0)
    for now_s in range(3 * int(GONE_AFTER_S)):
        choice.choose(now_s)
        choice.forget_gone(now_s)
        choice.add(DEAD[:20], now_s)
        if now_s in (130, 230):
            # Others may name them until they have noticed, too.
            assert choice.known() == ["live:1"]
            assert not choice.wants(DEAD[0], now_s)
    assert "live:1" in choice


def test_agent_without_a_link_forgets_nothing():
    choice = make_choice(DEAD)
    for now_s in range(300):
        choice.choose(now_s)
        assert not choice.forget_gone(now_s)
    # It was cut off: what it knew answers again.
    choice.record_connected(DEAD[0], 300)
    choice.choose(301)
    assert not choice.forget_gone(301)


@pytest.mark.parametrize("is_suspended", [False, True])
def test_links_that_are_being_opened_count_for_a_while(is_suspended):
    choice = make_choice([f"entry-{number}:1" for number in range(8)], max_entries=2)
    *chosen, other = choice.choose(0.0)[:2] + [choice.choose(20.0)[-1]]
    for address in chosen:
        choice.record_opening(address, 20.0)
        if not is_suspended:
            choice.record_connected(address, 20.01)
    assert not choice.wants(other, 20.1)
    assert choice.wants(other, 22.0) is is_suspended


def test_entry_that_is_not_dialled_does_not_count_as_gone():
    live = [f"entry-{number}:1" for number in range(8)]
    choice = make_choice(live)
    choice.choose(0.0)
    choice.choose(20.0)
    for address in live[:4]:
        choice.record_connected(address, 20.0)
    for now_s in range(20, 300):
        for address in choice.choose(now_s):
            if address not in live[:4] and choice.wants(address, now_s):
                choice.record_connected(address, now_s)
        assert not choice.forget_gone(now_s)
    assert len(choice.known()) == 8


def test_entry_forgets_what_no_agent_knows(run_on_deployment):
    async def test(deployment):
        entry = await deployment.add_entry("entry-1")
        await deployment.add_agent("tank-1", entries=["entry-1:1", "old:1"])
        await deployment.add_agent("tank-2", entries=["entry-1:1", "old:2"])
        await deployment.wait_connected()
        assert entry.other_entries() == {"old:1", "old:2"}
        deployment.kill_agent("tank-1")
        await deployment.add_agent("tank-1", entries=["entry-1:1"])
        await trio.sleep(10)
        assert entry.other_entries() == {"old:2"}

    run_on_deployment(test)


def test_rows_of_entries_that_are_gone_are_removed(run_with_store, monkeypatch):
    monkeypatch.setattr(entry_discovery, "_REMOVE_S", (0.01, 0.02))
    monkeypatch.setattr(entry_discovery, "_REFRESH_S", (0.2, 0.2))

    async def test(fake_store, store, nursery):
        agent = Agent(AgentSettings(worker="tank-1", data_centre="dc-1"), TcpDialer())
        choice, metrics = agent.entry_choice, Metrics("entry", "e")
        fake_store.put("gooseberrylink-entries", "old", b"old:1")
        nursery.start_soon(register_entry, store, "new", "new:1", metrics)
        nursery.start_soon(watch_entries, store, agent)
        while choice.known() != ["new:1", "old:1"]:
            await trio.sleep(0.01)
        now_s = trio.current_time()
        choice.record_connected("new:1", now_s)
        choice.choose(now_s)
        await trio.sleep(0.05)
        assert fake_store.get_value("gooseberrylink-entries", "old")
        assert choice.forget_gone(now_s + GONE_AFTER_S) == ["old:1"]
        while fake_store.get_value("gooseberrylink-entries", "old"):
            await trio.sleep(0.01)
        assert fake_store.get_value("gooseberrylink-entries", "new") == b"new:1"
        # An entry that only this agent can't reach writes its row again.
        row = await store.read_row("gooseberrylink-entries", "new")
        assert await store.remove("gooseberrylink-entries", row) is None
        while not fake_store.get_value("gooseberrylink-entries", "new"):
            await trio.sleep(0.01)

    run_with_store(test)


def test_row_that_was_written_again_is_not_removed(run_with_store):
    async def test(fake_store, store, nursery):
        fake_store.put("t", "k", b"1")
        row = await store.read_row("t", "k")
        fake_store.put("t", "k", b"1")
        assert await store.remove("t", row) is StoreErrorKind.NO_EFFECT
        assert await store.read_row("t", "k") == StoredRow("k", b"1", row.version + 1)

    run_with_store(test)
