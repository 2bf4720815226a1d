"""A target loses power and starts again while the store is down."""

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins2 as st  # noqa: E402

RATE_PER_S = 90
WARMUP_S = 2.0
WARMUP_PER_S = 0.0
BOUND = WARMUP_PER_S * st.BOUNDS['cold_over'] + st.BOUNDS['cold_slack']
DOWN_S = 4.0
DARK_S = 0.9


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
    for _ in range(3):
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
            outcomes.append(bool(await flow.request(f'q-{number}', 'GET')))
        else:
            outcomes.append(False)
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
    down_s = time.monotonic()
    first = len(victim.openings)
    began_s = down_s
    if st.has_trouble():
        net.store.is_silent = True
        record('the store is silent')
        await asyncio.sleep(0.3)
        await victim.go_dark()
        record(f'{victim.name} loses power')
        await asyncio.sleep(DARK_S)
        victim.power_up()
        first = len(victim.openings)
        began_s = time.monotonic()
        await victim.start(is_cold=True)
        record(f'{victim.name} starts again under its id, cold for {WARMUP_S} s')
    await asyncio.sleep(max(down_s + DOWN_S - time.monotonic(), 0))
    net.store.is_silent = False
    record('the store answers')
    await asyncio.sleep(3.0)
    generator.cancel()
    await asyncio.sleep(1.0)
    times = []
    for arrived_s, src, copy in victim.openings[first:]:
        if began_s <= arrived_s < began_s + WARMUP_S and st.has_trouble():
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
