"""A machine freezes while openings arrive; the flows are kept open."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins2 as st  # noqa: E402

FREEZE_S = 3.0
#: Pause after the freeze: all machines are in touch again, and the flows are
#: idle for less than idle_timeout_ms (15,000).
PAUSE_S = 6.0
FLOWS = 8


async def scenario(net, record):
    routes = [('r-1', '198.18.0.1', 8080, 'unsafe', 2500, 150, 'svc-a')]
    services = [('svc-a', 2.0, 10.0, 2000)]
    net.store.put('op/config', st.configuration(7, routes, services))
    for number in (1, 2, 3):
        await net.add_target(number, 0x7A10 + number, 'svc-a')
    nodes = [net.add_entry() for _ in range(3)]
    client = await net.add_client(1)
    if not await net.until_in_rotation():
        return None
    await asyncio.sleep(2.0)
    destination = st.endpoint('198.18.0.1', 8080)
    frozen = nodes[0]
    flows = []
    while len(flows) < FLOWS:
        flow = client.flow(destination)
        if net.router.node_of(flow.src + flow.dst) is frozen:
            flows.append(flow)
    stopped_s = time.monotonic()
    if st.has_trouble():
        frozen.signal(signal.SIGSTOP)
        record(f'{frozen.name} freezes')
        while net.router.misses[frozen] == 0:
            await asyncio.sleep(0.005)
    is_open = await asyncio.gather(*(flow.open() for flow in flows))
    answers = await asyncio.gather(
        *(flow.request(f'first-{flow.port}') for flow in flows)
    )
    record(f'{sum(is_open)} of {FLOWS} flows are open')
    await asyncio.sleep(max(stopped_s + FREEZE_S - time.monotonic(), 0))
    frozen.signal(signal.SIGCONT)
    record(f'{frozen.name} runs on')
    await asyncio.sleep(PAUSE_S)
    if not await net.until_in_rotation(5):
        return None
    broken = []
    for flow, answer in zip(flows, answers, strict=True):
        if not answer or flow.state != 'open':
            continue
        owner = next(
            each
            for each in net.targets
            if f'first-{flow.port}' in {ident for _, ident, _ in each.runs}
        )
        before = {each: len(each.resets) for each in net.targets}
        ident = f'second-{flow.port}'
        await flow.request(ident)
        senders = [
            each.name
            for each in net.targets
            if len(each.resets) > before[each]
        ]
        if flow.state.startswith('reset') and owner.name not in senders:
            broken.append(
                f'FLOW (a): {flow.port} is open at {owner.name}, which lives; '
                f'its client got a reset from {senders}, and {ident} is lost'
            )
        await flow.close()
    return broken


st.run(FOLDER, scenario)
