"""Fault: one entry of another writer ends the service on all instances."""

import asyncio
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import Target, route_of, run_case, service_of  # noqa: E402

ZONE = 'zone-a'
DESK, DESK_KEY = route_of('r-desk', '127.98.0.1', 443, 'safe', 'desk', 4000, 250)
WORK_S = 0.02
PER_S = 40
TRAFFIC_S = 20
#: Number of digits after the first one of `slots` in the unusable entry.
DIGITS = 400


def unusable_entry(world):
    """Return an entry whose `slots` is no number that can be read."""
    entry = {
        'service': 'desk', 'address': f'{world.host(2, 9)}:8000', 'zone': ZONE,
        'version': 'v1', 'slots': 10**DIGITS, 'state': 'ready',
        'warmup_left_ms': 0, 'sequence': 1, 'born': 1_780_000_000_000,
    }
    return json.dumps(entry).encode()


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
            (world.host(2, number), 8000), slots=4,
        )
        world.targets.append(target)
        await target.start()
    world.write_config([DESK], [service_of('desk')])
    await world.start_entries()
    if has_trouble:
        world.store.put('servers/i-00c0ffee', unusable_entry(world))
        world.record.write('another writer has written servers/i-00c0ffee')
    await asyncio.sleep(1)
    client = await world.add_client(1, ZONE)
    outcomes = []
    task = asyncio.ensure_future(load(client, outcomes))
    await asyncio.sleep(TRAFFIC_S)
    task.cancel()
    done = await asyncio.gather(*outcomes)
    served = sum(each.end == 'answered' for each in done)
    world.record.write(f'{served} of {len(done)} requests were served')
    if not served:
        return [f'Fault: none of {len(done)} requests was served']
    return []


run_case(FOLDER, case)
