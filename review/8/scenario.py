"""The settings files change: one bound becomes a fraction."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins2 as st  # noqa: E402

#: Starts after which an end of the process by itself is the third one.
ENDS = 3
RESTART_DELAY_S = 0.5


async def scenario(net, record):
    routes = [('r-1', '198.18.0.1', 8080, 'unsafe', 2500, 150, 'svc-a')]
    services = [('svc-a', 2.0, 10.0, 2000)]
    net.store.put('op/config', st.configuration(7, routes, services))
    for number in (1, 2):
        await net.add_target(number, 0x7A10 + number, 'svc-a')
    nodes = [net.add_entry() for _ in range(3)]
    client = await net.add_client(1)
    if not await net.until_in_rotation():
        return None
    await asyncio.sleep(1.0)
    destination = st.endpoint('198.18.0.1', 8080)

    async def serve(count, word):
        answered = 0
        for number in range(count):
            flow = client.flow(destination)
            if await flow.open():
                answered += bool(await flow.request(f'{word}-{number}'))
            await flow.close()
        record(f'{word}: {answered} of {count} requests are answered')
        return answered

    if await serve(10, 'before') < 10:
        return None
    drain_ms = 2500.5 if st.has_trouble() else 2500
    for node in nodes:
        node.bounds = st.BOUNDS | {'drain_ms': drain_ms}
        node.write_settings()
    nodes[0].signal(signal.SIGHUP)
    record(f'drain_ms becomes {drain_ms}; {nodes[0].name} gets SIGHUP')
    await asyncio.sleep(2.0)
    broken = []
    for node in nodes:
        record(f'{node.name} gets SIGTERM and is started again')
        node.signal(signal.SIGTERM)
        due = time.monotonic() + 7
        while node.process.poll() is None and time.monotonic() < due:
            await asyncio.sleep(0.05)
        ends = 0
        while ends < ENDS:
            await asyncio.sleep(RESTART_DELAY_S)
            node.start()
            due = time.monotonic() + 3
            while node.process.poll() is None and time.monotonic() < due:
                await asyncio.sleep(0.05)
            if node.process.poll() is None:
                break
            ends += 1
            last = 'key=' + node.log().rpartition('key=')[2].strip()
            record(f'{node.name} ends by itself: {last}')
        if ends == ENDS:
            broken.append(
                f'Fault: {node.name} ended by itself {ends} times, each time '
                f'at its start'
            )
        await asyncio.sleep(1.0)
    answered = await serve(10, 'after')
    if broken:
        broken.append(f'{answered} of 10 requests were served at the end')
    return broken


st.run(FOLDER, scenario)
