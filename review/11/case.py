"""FLOW: a flow is reset by a target that an opening packet had also reached.

Clients keep flows open for two requests with a pause between them. While the
flows open, datagrams are lost at random (with TROUBLE=0 none); the loss ends
long before the second requests.
"""

import asyncio
import pathlib
import random
import socket
import sys

HERE = pathlib.Path(__file__).resolve()
sys.path.insert(0, str(next(
    p for p in HERE.parents if (p / 'standins3.py').exists()
)))
import standins3 as s  # noqa: E402

ROUTE = ('198.18.0.1', 8080)
SERVICE = 'huvo11a'
FLOWS = 300
OPENING_S = 5
# Idle time of a flow, in seconds; idle_timeout_ms is 15,000.
PAUSE_S = (10.5, 13.0)
LOSS = 0.025 if s.TROUBLE else 0
STABLE_S = 5.0  # stable_window_ms is 4,000, and 5,000 on larger deployments
FLOW_MAX_S = 60


class Server(s.Server):
    """Serves any number of requests on a flow, and closes none by itself."""

    def on_open_packet(self, key, flow, flags, seq, ack, data):
        flow.setdefault('runs', {})
        if data and seq not in flow['runs']:
            run = flow['runs'][seq] = {'acked': False}
            asyncio.create_task(self._respond(key, flow, seq, data, run))
        for run in flow['runs'].values():
            if 'end' in run and ack >= run['end']:
                run['acked'] = True
        if flags & s.FIN:
            self._send(key, s.ACK, ack, seq + len(data) + 1)
            flow['state'] = 'ended'

    async def _respond(self, key, flow, seq, data, run):
        async with self._room:
            self.world.on_run(self, key, data)
            await asyncio.sleep(self.work_s)
        start = flow.get('next', flow['seq'] + 1)
        response = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok ' + data
        flow['next'] = run['end'] = start + len(response)
        gap = 0.2
        for _ in range(9):
            if run['acked'] or flow['state'] == 'ended':
                return
            self._send(key, s.ACK, start, seq + len(data), data=response)
            await asyncio.sleep(gap)
            gap = min(2 * gap, 1.6)
        flow['state'] = 'ended'


class Case(s.World):
    def __init__(self, folder):
        super().__init__(folder)
        zones = (
            'alfold-a', 'alfold-a', 'alfold-a', 'alfold-b', 'alfold-b',
            'alfold-c', 'alfold-c',
        )
        self.servers = [
            Server(self, i + 1, SERVICE, zone) for i, zone in enumerate(zones)
        ]
        self.loss = 0
        self.last_loss = -100.0
        self.opened = {}  # flow -> name of its target, and when it opened
        self.runs = {}
        self.sent, self.answered, self.broken = [], [], []

    # Datagrams of targets to clients are lost at random.
    def to_client(self, server, key, packet):
        if random.random() < self.loss:
            self.last_loss = s.now()
            flags = packet[14]
            self.record(f'lost {server.name} -> {key[1]} flags={flags}')
            return
        super().to_client(server, key, packet)

    def on_open(self, server, key):
        if key not in self.opened:
            self.opened[key] = server.name, s.now()

    def on_run(self, server, key, data):
        self.runs.setdefault(data.decode(), []).append(server.name)
        self.record(f'run {data.decode()} by {server.name}')

    async def keep_flow(self, client, number):
        """Open a flow, send a request, pause, send the second one."""
        client._port += 1
        key = (client.ip, client._port, socket.inet_aton(ROUTE[0]), ROUTE[1])
        queue = client.flows[key] = asyncio.Queue()
        seq = random.randrange(1, 1 << 30)
        flow = {'echo': 0, 'next': 0, 'name': f'f{number}'}
        opened = None
        for copy, wait_s in enumerate((0.2, 0.4, 0.8)):
            client.send(key, s.SYN, seq, copy)
            ends = s.now() + wait_s
            while opened is None and (packet := await receive(queue, ends)):
                if packet[0] & s.SYN and packet[2] == seq + 1:
                    opened = packet
                elif packet[0] & s.RST:
                    self.record(f'{flow["name"]} refused')
                    return
            if opened is not None:
                break
        if opened is None:
            self.record(f'{flow["name"]} did not open')
            return
        flow['echo'], flow['next'] = opened[4], opened[1] + 1
        seq += 1
        for part in (1, 2):
            text = f'f{number}-{part}'
            if part == 2:
                # Idle: only the last echo is noted, see PROTOCOL.md.
                ends = s.now() + random.uniform(*PAUSE_S)
                while packet := await receive(queue, ends):
                    self.note(key, flow, packet)
            answer = await self.ask(client, key, queue, flow, seq, text)
            seq += len(text)
            if answer is None:
                return
        client.send(key, s.ACK | s.FIN, seq, flow['next'], flow['echo'])

    def note(self, key, flow, packet):
        """Take the echo of a packet of the flow."""
        if packet[4] != flow['echo']:
            self.record(
                f'{flow["name"]} of {self.opened.get(key, "-")[0]} gets another echo, '
                f'flags={packet[0]} from {self.name_of(packet[6])}'
            )
        flow['echo'] = packet[4]

    def name_of(self, address):
        for each in (*self.servers, *self.entries):
            if each.host == address[0]:
                return each.name
        return address[0]

    async def ask(self, client, key, queue, flow, seq, text):
        self.sent.append(text)
        self.record(f'sent {text}')
        gap, deadline = 0.2, s.now() + 4.0
        while s.now() < deadline:
            client.send(
                key, s.ACK, seq, flow['next'], flow['echo'], text.encode()
            )
            ends = min(s.now() + gap, deadline)
            gap = min(2 * gap, 1.6)
            while packet := await receive(queue, ends):
                if packet[0] & s.RST:
                    self.on_flow_reset(key, flow, text, packet)
                    return None
                self.note(key, flow, packet)
                if packet[5] and packet[1] == flow['next']:
                    flow['next'] += len(packet[5])
                    client.send(
                        key, s.ACK, seq + len(text), flow['next'], flow['echo']
                    )
                    self.answered.append(text)
                    self.record(f'answered {text}')
                    return packet[5]
        self.record(f'{text} was not answered')
        return None

    def on_flow_reset(self, key, flow, text, packet):
        """Judge a reset as FLOW (a) does."""
        sender = self.name_of(packet[6])
        if key not in self.opened:
            self.record(f'{text}: reset by {sender}, the flow is not open')
            return
        target, opened = self.opened[key]
        calm = s.now() - self.last_loss
        self.record(
            f'{text}: reset by {sender}, the flow is open at {target} since '
            f'{s.now() - opened:.1f} s, last loss {calm:.1f} s ago, '
            f'run by {self.runs.get(text, [])}'
        )
        young = s.now() - opened < FLOW_MAX_S
        if sender != target and calm > STABLE_S and young:
            self.broken.append(text)

    async def start(self):
        routes = [(*ROUTE, 'unsafe', SERVICE)]
        self.store.put('op/config', s.configuration(7, routes, [SERVICE]))
        await super().start()

    async def run(self):
        await asyncio.sleep(4)
        self.loss = LOSS
        flows = []
        for number in range(FLOWS):
            client = random.choice(self.clients)
            flows.append(self.spawn(self.keep_flow(client, number)))
            await asyncio.sleep(random.expovariate(FLOWS / OPENING_S))
        self.loss = 0
        self.record('no more loss')
        await asyncio.gather(*flows)
        text = (
            f'flows {FLOWS}, requests sent {len(self.sent)}, answered '
            f'{len(self.answered)}, flows reset by others {len(self.broken)}'
        )
        self.record(text)
        print(text)
        return bool(self.broken)


async def receive(queue, ends):
    """Return the next packet, None at the time `ends`."""
    left = ends - s.now()
    if left <= 0:
        return None
    try:
        return await asyncio.wait_for(queue.get(), left)
    except asyncio.TimeoutError:
        return None


if __name__ == '__main__':
    s.main(Case)
