"""Tests that quotas hold over all entries, however demand is distributed."""

import pytest
import trio

from gooseberrylink.codes import Code


@pytest.mark.parametrize("spread", [(1, 1, 1), (80, 15, 5), (0, 0, 100)])
def test_quota_holds_over_all_entries(
    run_on_deployment, make_job, declarations_text, spread
):
    # Demand is 2.5 times the quota of 40 starts per second. After the burst of 2 s
    # the rate must be within a fifth of the quota; it is counted from 8 s to 20 s.
    text = declarations_text.replace(
        "hobbyists, weight: 1, quota_starts_per_s: 200",
        "hobbyists, weight: 1, quota_starts_per_s: 40",
    )

    async def test(deployment):
        for name in ("entry-1", "entry-2", "entry-3"):
            await deployment.add_entry(name)
        for number in range(1, 6):
            await deployment.add_agent(f"tank-{number}")
        await deployment.wait_connected()
        order = [i for i, share in enumerate(spread) for _ in range(share)]
        codes = []

        async def submit(entry):
            answer = await entry.submit(make_job(0.05, 0.05, customer="hobbyists"))
            codes.append((trio.current_time(), answer.code))

        started_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(1000):
                # 37 has no factor in common with len(order), so that the jobs of each
                # entry are spread over time.
                entry = deployment.entries[order[number * 37 % len(order)]]
                nursery.start_soon(submit, entry)
                await trio.sleep(0.02)
        steady_codes = [code for time_s, code in codes if time_s > started_s + 8]
        assert set(steady_codes) <= {Code.OK, Code.OVER_QUOTA}
        starts_per_s = 2 * steady_codes.count(Code.OK) / 12
        assert 32 <= starts_per_s <= 48

    run_on_deployment(test, text=text)


def test_customer_within_its_share_is_served_while_another_overloads(
    run_on_deployment, make_job
):
    async def test(deployment):
        entry = await deployment.add_entry("entry-1")
        await deployment.add_agent("tank-1")
        await deployment.wait_connected()
        answers = {"shops": [], "hobbyists": [], "drivers": []}

        async def submit(customer, count):
            request = make_job(*[0.2] * count, customer=customer, deadline_s=5)
            answers[customer].append((await entry.submit(request)).code)

        async with trio.open_nursery() as nursery:
            for number in range(200):
                nursery.start_soon(submit, "shops", 12)
                if number % 4 == 0:
                    nursery.start_soon(submit, "hobbyists", 1)
                    nursery.start_soon(submit, "drivers", 1)
                await trio.sleep(0.1)
        assert set(answers["hobbyists"]) == {Code.OK}
        assert set(answers["drivers"]) == {Code.OK}
        assert Code.OVERLOADED in answers["shops"]
        assert answers["shops"].count(Code.OK) >= 40

    run_on_deployment(test)
