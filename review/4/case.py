"""FAILBACK: a target that restarts under its id gets full load while cold."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    Target,
    most_in_one_second,
    route_of,
    run_case,
    service_of,
)

ZONE = 'zone-a'
DESK, DESK_KEY = route_of('r-desk', '127.98.0.1', 443, 'safe', 'desk', 4000, 250)
WORK_S = 0.02
PER_S = 60
#: Time for which the target is down; its entry would lapse after 3.6 s.
DOWN_S = 0.8
#: Time for which the store is down, from the crash on.
STORE_DOWN_S = 4.0
WARMUP_S, WARMUP_PER_S = 2.0, 0.0
COLD_OVER, COLD_SLACK = 1.5, 5


async def load(client, outcomes):
    number = 0
    while True:
        number += 1
        coro = client.request(DESK_KEY, f'desk-{number}', WORK_S, 4.0)
        outcomes.append(asyncio.ensure_future(coro))
        await asyncio.sleep(1 / PER_S)


async def case(world, has_trouble):
    await world.start([ZONE] * 3)
    for number in range(1, 4):
        target = Target(
            world, f'i-{0x7f3a91c0 + 977 * number:x}', 'desk', ZONE,
            (world.host(2, number), 8000), slots=4, cold_s=WARMUP_S,
        )
        world.targets.append(target)
        await target.start()
    world.write_config(
        [DESK],
        [service_of('desk', warmup_s=WARMUP_S, warmup_per_s=WARMUP_PER_S)],
    )
    await world.start_entries()
    client = await world.add_client(1, ZONE)
    outcomes = []
    task = asyncio.ensure_future(load(client, outcomes))
    await asyncio.sleep(4)
    target = world.targets[1]
    if has_trouble:
        world.store.silent = True
        world.record.write('the store is down')
        target.crash()
        await asyncio.sleep(DOWN_S)
        await target.start(is_cold=True)
        await asyncio.sleep(STORE_DOWN_S - DOWN_S)
        world.store.silent = False
        world.record.write('the store is back')
    await asyncio.sleep(4)
    task.cancel()
    await asyncio.gather(*outcomes)
    bound = WARMUP_PER_S * COLD_OVER + COLD_SLACK
    most = most_in_one_second(target)
    world.record.write(
        f'{target.name} got {most} requests in one second while it was cold'
    )
    if most > bound:
        return [f'FAILBACK: {most} requests in one second, bound {bound}']
    return []


run_case(FOLDER, case)
