"""A write of a target's earlier process is executed late by the store."""

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins2 as st  # noqa: E402

RATE_PER_S = 120
WARMUP_S = 2.0
WARMUP_PER_S = 0.0
BOUND = WARMUP_PER_S * st.BOUNDS['cold_over'] + st.BOUNDS['cold_slack']
LATE_S = 1.4
DOWN_S = 0.5


async def scenario(net, record):
    routes = [('r-1', '198.18.0.1', 8080, 'safe', 2500, 150, 'svc-a')]
    services = [('svc-a', WARMUP_S, WARMUP_PER_S, 2000)]
    net.store.put('op/config', st.configuration(7, routes, services))
    targets = [
        await net.add_target(
            each, 0x7A10 + each, 'svc-a', work_s=0.02, slots=4
        )
        for each in (1, 2, 3)
    ]
    for _ in range(2):
        net.add_entry()
    client = await net.add_client(1)
    if not await net.until_in_rotation():
        return None
    await asyncio.sleep(1.0)
    destination = st.endpoint('198.18.0.1', 8080)
    flows = {}
    outcomes = []

    async def one(number):
        flow = client.flow(destination)
        flows[flow.src] = flow
        if await flow.open():
            answer = await flow.request(f'q-{number}', 'GET')
            outcomes.append(bool(answer))
        await flow.close()

    async def load():
        number = 0
        while True:
            number += 1
            asyncio.create_task(one(number))
            await asyncio.sleep(random.expovariate(RATE_PER_S))

    generator = asyncio.create_task(load())
    await asyncio.sleep(4.0)
    victim = targets[0]
    # The heartbeat that is due is sent; its answer gets lost, and the store
    # executes it late. The entry is that of the present process.
    late = victim.entry()
    sent_s = time.monotonic()
    record(f'{victim.name} writes its entry; the answer is lost')
    if not st.has_trouble():
        net.store.put(victim.key, late)
    await asyncio.sleep(0.1)
    record(f'{victim.name} crashes')
    await victim.crash()
    await asyncio.sleep(DOWN_S)
    first = len(victim.openings)
    began_s = time.monotonic()
    await victim.start(is_cold=True)
    record(f'{victim.name} starts again under its id, cold for {WARMUP_S} s')
    await asyncio.sleep(max(sent_s + LATE_S - time.monotonic(), 0))
    if st.has_trouble():
        net.store.put(victim.key, late)
        record('the store executes the write of the earlier process')
    await asyncio.sleep(5.0)
    generator.cancel()
    await asyncio.sleep(1.0)
    times = []
    for arrived_s, src, copy in victim.openings[first:]:
        if began_s <= arrived_s < began_s + WARMUP_S:
            times.append((flows[src].sent_at[copy], arrived_s))
    most = max(
        (
            sum(start <= sent and arrived < start + 1 for sent, arrived in times)
            for start, _ in times
        ),
        default=0,
    )
    record(f'{sum(outcomes)} of {len(outcomes)} requests were answered')
    record(f'most requests in a second while cold: {most}, bound {BOUND}')
    if most > BOUND:
        return [
            f'FAILBACK: the cold target {victim.name} got {most} requests '
            f'within a second, the bound is {BOUND}'
        ]
    return []


st.run(FOLDER, scenario)
