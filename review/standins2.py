"""Stand-ins for the scripts of the second review: store, targets, clients.

They follow PROTOCOL.md and use the standard library only. All of them run in
one event loop; the entry processes are started as separate processes with the
command of the deploy file and settings from the deploy template. All addresses
are loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HEAD = struct.Struct('>H4s2s2s4sBIIII')
SYN, ACK, FIN, RST = 64, 2, 4, 8
KEY = b'key of the ends'
SYN_COPIES_S = (0.0, 0.2, 0.6)
SYN_LIMIT_S = 1.4
RETRY_S = 0.2
LONGEST_RETRY_S = 1.6
RESET_WINDOW = 76_800
HEARTBEAT_S = 1.2


def has_trouble():
    """Return whether the disruption is wanted (TROUBLE=0 switches it off)."""
    return os.environ.get('TROUBLE', '1') != '0'


def packet(src, dst, flags, seq=0, ack=0, echo=0, data=b''):
    """Return a packet; src and dst are 4 bytes of address, 2 of port."""
    body = struct.pack('>H6s6sBII', len(data), src, dst, flags, seq, ack) + data
    total = zlib.crc32(body, zlib.crc32(KEY))
    return (
        HEAD.pack(
            len(data),
            dst[:4],
            src[4:],
            dst[4:],
            src[:4],
            flags,
            seq,
            ack,
            total,
            echo,
        )
        + data
    )


class Packet:
    """Decoded packet."""

    def __init__(self, raw):
        fields = HEAD.unpack_from(raw)
        length, dst, sport, dport, src, self.flags = fields[:6]
        self.seq, self.ack, self.sum, self.echo = fields[6:]
        self.src = src + sport
        self.dst = dst + dport
        self.data = raw[HEAD.size :]
        again = packet(
            self.src, self.dst, self.flags, self.seq, self.ack, 0, self.data
        )
        self.is_intact = (
            len(self.data) == length and HEAD.unpack_from(again)[8] == self.sum
        )


def endpoint(host, port):
    """Return address and port as 6 bytes."""
    return socket.inet_aton(host) + port.to_bytes(2, 'big')


class Record:
    """What was sent, answered and run, for record.txt."""

    def __init__(self):
        self.lines = []
        self.began = time.monotonic()

    def __call__(self, text):
        self.lines.append(f'{time.monotonic() - self.began:8.3f}  {text}')

    def write(self, folder):
        Path(folder, 'record.txt').write_text('\n'.join(self.lines) + '\n')


class _Udp(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self._handler = handler

    def datagram_received(self, data, addr):
        self._handler(data)


async def open_udp(host, port, handler):
    """Return a bound UDP transport whose datagrams go to a handler."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _Udp(handler), local_addr=(host, port)
    )
    return transport


class Store:
    """The platform's key-value store."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.rev = 1
        self.leases = {}
        self.is_silent = False
        self._last_lease = 1000
        self._changed = asyncio.Event()
        self._server = None
        self._tasks = set()
        self.port = 0

    async def start(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._expiry = asyncio.create_task(self._expire())

    async def close(self):
        self._expiry.cancel()
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()

    def put(self, key, value, lease=0):
        """Write a key and return the revision."""
        self.rev += 1
        created = self.items[key]['create_revision'] if key in self.items else 0
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'rev': self.rev,
            'create_revision': created or self.rev,
            'lease': lease,
        }
        self.items[key] = item
        self._note(item)
        return self.rev

    def remove(self, key):
        """Remove a key, if it is there."""
        if self.items.pop(key, None) is not None:
            self.rev += 1
            self._note({'key': key, 'rev': self.rev, 'removed': True})

    def _note(self, event):
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (_, due) in tuple(self.leases.items()):
                if due <= now:
                    self._end(lease)

    def _end(self, lease):
        self.leases.pop(lease, None)
        for key, item in tuple(self.items.items()):
            if item['lease'] == lease:
                self.remove(key)

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                found = re.search(r'(?i)content-length: *(\d+)', head)
                length = int(found.group(1)) if found else 0
                body = await reader.readexactly(length)
                method, url, _ = head.split(' ', 2)
                await asyncio.sleep(0.004)
                while self.is_silent:
                    await asyncio.sleep(0.01)
                status, answer = await self._answer(method, url, body)
                data = json.dumps(answer).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                    f'Content-Length: {len(data)}\r\n\r\n'.encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._tasks.discard(asyncio.current_task())
            writer.close()

    async def _answer(self, method, url, body):
        parts = urlsplit(url)
        name = parts.path.removeprefix('/siskinproxy/')
        query = {key: each[0] for key, each in parse_qs(parts.query).items()}
        if name == 'kv-key':
            item = self.items.get(query['key'])
            return (200, item | {'current_rev': self.rev}) if item else (404, {})
        if name == 'kv-range':
            return 200, self._range(query)
        if name == 'kv-watch':
            return await self._watch(query)
        if name == 'kv-txn':
            return self._txn(json.loads(body))
        if name == 'kv-lease':
            self._last_lease += 1
            ttl = json.loads(body)['ttl_ms']
            self.leases[self._last_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {'lease': self._last_lease, 'ttl_ms': ttl}
        verb, _, number = name.partition('/')
        lease = int(number)
        if lease not in self.leases:
            return 404, {}
        ttl = self.leases[lease][0]
        if verb == 'kv-keep':
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {'ttl_ms': ttl}
        self._end(lease)
        return 200, {}

    def _range(self, query):
        prefix, after = query.get('prefix', ''), query.get('after', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return {
            'items': [self.items[key] for key in keys[:500]],
            'has_more': len(keys) > 500,
            'current_rev': self.rev,
        }

    async def _watch(self, query):
        prefix, after = query.get('prefix', ''), int(query['after'])
        due = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            changed = self._changed
            found = [
                each
                for each in self.events
                if each['rev'] > after and each['key'].startswith(prefix)
            ]
            left = due - time.monotonic()
            if found or left <= 0:
                return 200, {'events': found, 'current_rev': self.rev}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    def _txn(self, call):
        rows = call.get('precondition', ())
        current = [self.items.get(row['key']) for row in rows]
        for row, item in zip(rows, current, strict=True):
            if row['rev'] != (item['rev'] if item else 0):
                return 412, {'items': [each for each in current if each]}
        writes = call.get('writes', ())
        if any(each.get('lease', 0) not in {0, *self.leases} for each in writes):
            return 404, {}
        for each in writes:
            value = base64.b64decode(each['value'])
            self.put(each['key'], value, each.get('lease', 0))
        for key in call.get('remove', ()):
            self.remove(key)
        return 200, {'rev': self.rev}


class Target:
    """A target: registers itself, accepts flows, runs requests, answers checks.

    `drop` is called with each packet to a client and returns whether the
    network loses it.
    """

    def __init__(self, net, ident, service, host, record, **options):
        self.net = net
        self.ident = ident
        self.service = service
        self.host = host
        self.record = record
        self.work_s = options.get('work_s', 0.03)
        self.most_flows = options.get('max_conns', 2000)
        self.warmup_s = options.get('warmup_s', 2.0)
        self.slots = options.get('slots', 2)
        self.zone = options.get('zone', 'z-a')
        self.drop = options.get('drop', lambda each, target: False)
        self.is_draining = False
        self.runs = []
        self.openings = []
        self.resets = []
        self.flows = {}
        self.ended = set()
        self.sequence = 0
        self.warm_from = 0
        self.born = int(time.time() * 1000) - 60_000
        self._slots = asyncio.Semaphore(self.slots)

    @property
    def key(self):
        return f'servers/i-{self.ident:x}'

    @property
    def name(self):
        return f'i-{self.ident:x}'

    def entry(self):
        """Return the next entry as text."""
        self.sequence += 1
        left = max(self.warm_from - time.monotonic(), 0)
        return json.dumps(
            {
                'service': self.service,
                'address': f'{self.host}:{self.net.target_port}',
                'zone': self.zone,
                'version': 'v1',
                'slots': self.slots,
                'state': 'draining' if self.is_draining else 'ready',
                'warmup_left_ms': round(left * 1000),
                'sequence': self.sequence,
                'born': self.born,
            }
        ).encode()

    async def start(self, *, is_cold=False):
        """Start; a cold start begins a new incarnation under the same id."""
        if is_cold:
            self.born = int(time.time() * 1000)
            self.sequence = 0
            self.warm_from = time.monotonic() + self.warmup_s
        self.flows = {}
        self._udp = await open_udp(
            self.host, self.net.target_port, self._receive
        )
        self._tcp = await asyncio.start_server(
            self._check, self.host, self.net.target_port
        )
        self._beat = asyncio.create_task(self._announce())

    async def crash(self):
        """End without a word."""
        self._beat.cancel()
        self._udp.close()
        self._tcp.close()
        for flow in self.flows.values():
            flow['task'].cancel()
        self.flows = {}

    close = crash

    async def go_dark(self):
        """Lose power: packets and connections get no answer, not even a reset."""
        await self.crash()
        await asyncio.sleep(0)
        self._dark = [socket.socket() for _ in range(3)]
        listener = self._dark[0]
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.host, self.net.target_port))
        listener.listen(0)
        for filler in self._dark[1:]:
            # They fill the queue, so that other connections hang.
            filler.setblocking(False)
            filler.connect_ex((self.host, self.net.target_port))

    def power_up(self):
        """End the time without power."""
        for each in self._dark:
            each.close()

    async def _announce(self):
        while True:
            if not self.net.store.is_silent:
                self.net.store.put(self.key, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def _check(self, reader, writer):
        try:
            await reader.readuntil(b'\r\n\r\n')
            async with self._slots:
                await asyncio.sleep(0.001)
            status = '503 X' if self.is_draining else '200 OK'
            writer.write(
                f'HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def _receive(self, raw):
        ident = int.from_bytes(raw[:8], 'big')
        if ident not in {0, self.ident}:
            return
        got = Packet(raw[8:])
        if not got.is_intact:
            self.record(f'UNASKED {self.name} got a changed packet')
            return
        flow = self.flows.get(got.src)
        if flow:
            flow['echo'] = got.echo
        if got.flags & SYN:
            self._on_opening(got, flow)
        elif flow is None:
            self._on_unknown(got)
        elif got.ack != flow['seq'] + 1 and not flow['open']:
            # The handshake ended at another target: this one has no such flow.
            self._reset(got)
        else:
            self._on_packet(got, flow)

    def _on_opening(self, got, flow):
        if flow is None:
            if len(self.flows) >= self.most_flows:
                self.record(f'{self.name} is full, no answer to a SYN')
                return
            flow = {
                'seq': random.randrange(1, 2**30),
                'open': False,
                'echo': got.echo,
                'heard': got.seq + 1,
                'done': set(),
                'dst': got.dst,
                'answer': None,
            }
            self.flows[got.src] = flow
            self.openings.append((time.monotonic(), got.src, got.ack))
            flow['task'] = asyncio.create_task(self._accept(got, flow))
        else:
            self._accept_once(got, flow)

    def _accept_once(self, got, flow):
        self._send(got, SYN | ACK, flow['seq'], flow['heard'], flow['echo'])

    async def _accept(self, got, flow):
        """Answer a SYN, and forget the flow if its client opens it elsewhere."""
        self._accept_once(got, flow)
        await asyncio.sleep(SYN_LIMIT_S)
        if not flow['open'] and self.flows.get(got.src) is flow:
            del self.flows[got.src]

    def _on_unknown(self, got):
        if got.flags & RST:
            return
        if got.src in self.ended and got.flags & FIN:
            self._send(got, ACK, got.ack, got.seq + 1, got.echo)
        else:
            self._reset(got)

    def _reset(self, got):
        self.resets.append(got.src)
        self.record(f'{self.name} does not hold {port_of(got)}, sends RST')
        self._send(got, RST, got.ack, 0, got.echo)

    def _on_packet(self, got, flow):
        if not flow['open']:
            flow['open'] = True
            self.record(f'{self.name} opens the flow {port_of(got)}')
        if got.flags & RST:
            self.flows.pop(got.src, None)
            return
        if got.data and got.seq not in flow['done']:
            flow['done'].add(got.seq)
            flow['heard'] = got.seq + len(got.data)
            asyncio.create_task(self._run(got, flow))
        elif got.data and flow['answer'] and flow['answer'][0] == got.seq:
            self._answer(got, flow)
        elif got.flags & FIN:
            self.flows.pop(got.src, None)
            self.ended.add(got.src)
            flow['heard'] = got.seq + 1
            self._send(got, FIN | ACK, got.ack, got.seq + 1, flow['echo'])

    async def _run(self, got, flow):
        found = re.search(rb'Request-Id: (\S+)', got.data)
        ident = found.group(1).decode()
        self.record(f'{self.name} runs {ident}')
        self.runs.append((time.monotonic(), ident, port_of(got)))
        async with self._slots:
            await asyncio.sleep(self.work_s)
        if self.flows.get(got.src) is not flow:
            return
        flow['answer'] = (got.seq, ident, got.ack)
        self._answer(got, flow)

    def _answer(self, got, flow):
        _, ident, ack = flow['answer']
        body = f'{ident} by {self.name}'.encode()
        text = (
            f'HTTP/1.1 200 OK\r\nServer-Signature: {self.name}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode() + body
        self._send(got, ACK, ack, flow['heard'], flow['echo'], text)

    def _send(self, got, flags, seq, ack, echo, data=b''):
        if self.drop(flags, self):
            self.record(f'the network loses a packet of {self.name}')
            return
        raw = packet(got.dst, got.src, flags, seq, ack, echo, data)
        host = socket.inet_ntoa(got.src[:4])
        self._udp.sendto(raw, (host, self.net.packet_port))


def port_of(got):
    """Return the client's port of a packet."""
    return int.from_bytes(got.src[4:], 'big')


class Flow:
    """A flow of a client: one HTTP/1.1 connection."""

    def __init__(self, client, port, destination):
        self.client = client
        self.src = endpoint(client.host, port)
        self.dst = destination
        self.port = port
        self.seq = random.randrange(1, 2**30)
        self.echo = 0
        self.ack = 0
        self.state = 'new'
        self.sent_at = []
        self.answer = None
        self._news = asyncio.Event()

    def _accepts_reset(self, got):
        if self.state == 'new':
            return True
        distance = (got.seq - self.ack) % 2**32
        return min(distance, 2**32 - distance) <= RESET_WINDOW

    def receive(self, got):
        self.echo = got.echo if not got.flags & RST else self.echo
        if got.flags & RST and not self._accepts_reset(got):
            self.client.record(f'{self.port} ignores a reset out of window')
        elif got.flags & RST:
            if self.state in {'new', 'open'}:
                origin = 'the system' if got.sum == 0 else 'a target'
                self.client.record(
                    f'{self.port} ({self.state}) gets a reset from {origin}'
                )
                self.state = (
                    'refused' if self.state == 'new' else f'reset by {origin}'
                )
        elif got.flags & SYN:
            if self.state == 'new':
                self.state = 'open'
                self.ack = got.seq + 1
                self.seq += 1
                self.send(ACK)
        elif got.data:
            if got.seq == self.ack:
                self.answer = got.data
                self.ack = got.seq + len(got.data)
            self.send(ACK)
        self._news.set()

    def send(self, flags, data=b''):
        raw = packet(
            self.src, self.dst, flags, self.seq, self.ack, self.echo, data
        )
        self.client.net.router.deliver(raw, self.src + self.dst)

    async def _wait(self, seconds, is_done):
        due = time.monotonic() + seconds
        while not is_done():
            left = due - time.monotonic()
            if left <= 0:
                return False
            self._news.clear()
            try:
                await asyncio.wait_for(self._news.wait(), left)
            except TimeoutError:
                return False
        return True

    async def open(self):
        """Open the flow; return whether a target accepted it."""
        times = (*SYN_COPIES_S, SYN_LIMIT_S)
        for copy, start in enumerate(SYN_COPIES_S):
            self.sent_at.append(time.monotonic())
            raw = packet(self.src, self.dst, SYN, self.seq, copy)
            self.client.net.router.deliver(raw, self.src + self.dst)
            pause = times[copy + 1] - start
            if await self._wait(pause, lambda: self.state != 'new'):
                break
        if self.state == 'new':
            self.state = 'given up'
        self.client.record(f'{self.port} {self.state}, {copy + 1} SYN')
        return self.state == 'open'

    async def request(self, ident, method='POST', deadline_s=2.5):
        """Send a request; return the answer, None without one."""
        text = (
            f'{method} / HTTP/1.1\r\nHost: h\r\nRequest-Id: {ident}\r\n'
            f'Content-Length: 0\r\n\r\n'
        ).encode()
        self.answer = None
        self.client.record(
            f'{self.port} sends {ident} with echo {self.echo:08x}'
        )
        due = time.monotonic() + deadline_s
        pause = RETRY_S
        while self.state == 'open' and self.answer is None:
            left = due - time.monotonic()
            if left <= 0:
                break
            self.send(ACK, text)
            await self._wait(
                min(pause, left),
                lambda: self.answer is not None or self.state != 'open',
            )
            pause = min(2 * pause, LONGEST_RETRY_S)
        self.seq += len(text)
        outcome = 'answered' if self.answer else f'not answered ({self.state})'
        self.client.record(f'{self.port} {ident} {outcome}')
        return self.answer

    async def close(self):
        """Close the flow."""
        if self.state == 'open':
            self.send(FIN | ACK)
            self.state = 'closed'
            self.seq += 1


class Client:
    """A client with one address."""

    def __init__(self, net, host, record):
        self.net = net
        self.host = host
        self.record = record
        self.flows = {}
        self._port = 20_000

    async def start(self):
        self._udp = await open_udp(
            self.host, self.net.packet_port, self._receive
        )

    async def close(self):
        self._udp.close()

    def flow(self, destination):
        """Return a new flow from a new port."""
        self._port += 1
        flow = Flow(self, self._port, destination)
        self.flows[flow.src] = flow
        return flow

    def _receive(self, raw):
        got = Packet(raw)
        if not got.is_intact and not got.flags & RST:
            self.record('MIXED a client got a changed packet')
            return
        flow = self.flows.get(got.dst)
        if flow is not None:
            flow.receive(got)


class Router:
    """The platform's routers: readiness probes, and `mod` over the hash."""

    def __init__(self, net, record):
        self.net = net
        self.record = record
        self.misses = {}
        self._tasks = []

    async def start(self):
        self._udp = await open_udp('127.0.0.1', 0, lambda raw: None)

    async def close(self):
        for task in self._tasks:
            task.cancel()
        self._udp.close()

    def add(self, process):
        """Probe a node from now on."""
        self.misses[process] = 2
        self._tasks.append(asyncio.create_task(self._probe(process)))

    def rotation(self):
        """Return the nodes that get packets."""
        nodes = list(self.misses)
        ready = [each for each in nodes if self.misses[each] < 2]
        return ready if 2 * len(ready) >= len(nodes) else nodes

    def node_of(self, flow, without=None):
        """Return the node of a flow, also if one node were out."""
        nodes = [each for each in self.rotation() if each is not without]
        return nodes[zlib.crc32(flow) % len(nodes)]

    def deliver(self, raw, flow):
        node = self.node_of(flow)
        self._udp.sendto(raw, (node.host, self.net.packet_port))

    async def _probe(self, process):
        due = time.monotonic()
        while True:
            is_ready = False
            try:
                async with asyncio.timeout(0.4):
                    is_ready = await self._ask(process)
            except (TimeoutError, OSError, asyncio.IncompleteReadError):
                is_ready = False
            was_in = self.misses[process] < 2
            self.misses[process] = 0 if is_ready else self.misses[process] + 1
            if was_in != (self.misses[process] < 2):
                self.record(f'{process.name} in rotation: {not was_in}')
            due += 0.5
            await asyncio.sleep(max(due - time.monotonic(), 0))

    async def _ask(self, process):
        reader, writer = await asyncio.open_connection(
            process.host, self.net.ready_port
        )
        try:
            writer.write(
                b'GET /siskinproxy/readiness HTTP/1.1\r\nHost: x\r\n\r\n'
            )
            head = await reader.readuntil(b'\r\n\r\n')
            return b' 200 ' in head.split(b'\r\n', 1)[0]
        finally:
            writer.close()


def render(template, fields):
    """Fill in a template, as far as this project's one needs it."""

    def value(found):
        each = fields
        for name in found.group(1).split('.'):
            each = each[int(name)] if name.isdigit() else each[name]
        return json.dumps(each) if found.group(2) else str(each)

    return re.sub(r'\{\{([a-z0-9_.]+)(\|json)?\}\}', value, template)


class Entry:
    """An entry process, started with the command of the deploy file."""

    def __init__(self, net, number, zone, bounds):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._role = deploy['roles']['entry']
        self.net = net
        self.number = number
        self.name = f'front-{zone}-{number}'
        self.zone = zone
        self.host = f'127.{net.octet}.0.{number}'
        self.bounds = bounds
        self.process = None
        self._path = net.folder / f'{self.name}.toml'
        self._log = net.folder / f'{self.name}.log'

    def write_settings(self):
        """Write the settings file from the deploy template."""
        net = self.net
        control = [f'127.{net.octet}.0.{each}:{net.control_port}' for each in (1, 2)]
        fields = {
            'node_name': self.name,
            'zone': self.zone,
            'ip': self.host,
            'limits': {'link_mbps': 1000.0},
            'listen_addrs': {
                'packets': f'{self.host}:{net.packet_port}',
                'ready': f'{self.host}:{net.ready_port}',
            },
            'internal_port_range': [net.peer_port, net.peer_port + 15],
            'platform': {'address': f'{net.store_host}:{net.store.port}'},
            'seeds': control,
            'heartbeat_ms': round(HEARTBEAT_S * 1000),
            'bounds': self.bounds,
        }
        template = (ROOT / self._role['template']).read_text()
        self._path.write_text(render(template, fields))

    def start(self):
        self.write_settings()
        words = shlex.split(self._role['run'])
        if words[0] == 'python3':
            words[0] = sys.executable
        kept = ('PATH', 'HOME', 'LANG')
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env['SISKINPROXY_BOOT'] = str(self._path)
        with self._log.open('ab') as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        """Kill the process and wait for it."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait()

    def log(self):
        return self._log.read_text() if self._log.exists() else ''


BOUNDS = {
    'drain_ms': 3000,
    'config_apply_ms': 3000,
    'evac_ms': 5000,
    'grace_s': 6,
    'flow_max_s': 60,
    'cold_over': 1.5,
    'cold_slack': 5,
}


class Net:
    """A small deployment on a loopback network of its own."""

    def __init__(self, record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.octet = self._free_octet()
        base = random.randrange(21_000, 29_000)
        self.packet_port = base
        self.ready_port = base + 1
        self.control_port = base + 2
        self.target_port = base + 3
        self.peer_port = base + 10
        self.store_host = f'127.{self.octet}.3.1'
        self.entries = []
        self.targets = []
        self.clients = []

    def _free_octet(self):
        """Return a loopback network that no other run uses."""
        octets = list(range(20, 250))
        random.shuffle(octets)
        for octet in octets:
            self._lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                self._lock.bind((f'127.{octet}.3.2', 20_999))
            except OSError:
                self._lock.close()
            else:
                return octet
        raise RuntimeError('no loopback network is free')

    async def start(self):
        self.store = Store()
        await self.store.start(self.store_host)
        self.router = Router(self, self.record)
        await self.router.start()

    async def add_target(self, number, ident, service, **options):
        host = f'127.{self.octet}.2.{number}'
        target = Target(self, ident, service, host, self.record, **options)
        self.targets.append(target)
        await target.start()
        return target

    async def add_client(self, number):
        client = Client(self, f'127.{self.octet}.1.{number}', self.record)
        self.clients.append(client)
        await client.start()
        return client

    def add_entry(self, zone='z-a', bounds=None):
        entry = Entry(self, len(self.entries) + 1, zone, bounds or BOUNDS)
        self.entries.append(entry)
        entry.start()
        self.router.add(entry)
        return entry

    async def until_in_rotation(self, seconds=20):
        """Wait until all nodes are in rotation; return whether they are."""
        due = time.monotonic() + seconds
        while time.monotonic() < due:
            if all(misses < 2 for misses in self.router.misses.values()):
                return True
            await asyncio.sleep(0.05)
        return False

    async def close(self):
        for entry in self.entries:
            entry.end()
        for each in (*self.targets, *self.clients):
            try:
                await each.close()
            except AttributeError:
                continue
        await self.router.close()
        await self.store.close()
        self._lock.close()
        if os.environ.get('KEEP'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, routes, services):
    """Return a configuration as text.

    routes: tuples of name, host, port, kind, timeout_ms, aim_ms, service;
    services: tuples of name, warmup_s, warmup_per_s, max_conns.
    """
    return json.dumps(
        {
            'version': version,
            'routes': [
                {
                    'name': name,
                    'host': host,
                    'prefix': f'/{port}/',
                    'kind': kind,
                    'timeout_ms': timeout_ms,
                    'aim_ms': aim_ms,
                    'priority': 1,
                    'service': service,
                    'max_attempts': 2,
                }
                for name, host, port, kind, timeout_ms, aim_ms, service in routes
            ],
            'services': [
                {
                    'name': name,
                    'health_path': '/health',
                    'max_conns': most,
                    'protocol': 'h1',
                    'tls': False,
                    'warmup_s': warmup_s,
                    'warmup_per_s': per_s,
                }
                for name, warmup_s, per_s, most in services
            ],
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 262144,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
        }
    ).encode()


def run(folder, scenario):
    """Run a scenario and exit with 0, 1 or 2.

    The scenario gets the deployment and a record, and returns a list of broken
    rules, or None if the case could not run.
    """
    record = Record()

    async def play():
        net = Net(record)
        await net.start()
        try:
            return await asyncio.wait_for(scenario(net, record), 110)
        finally:
            await net.close()

    code = 2
    try:
        broken = asyncio.run(play())
    except Exception as exc:  # the record says why the case could not run
        record(f'could not run: {type(exc).__name__}: {exc}')
    else:
        if broken is None:
            record('could not run')
        else:
            for each in broken:
                record(f'BROKEN {each}')
            code = 1 if broken else 0
    record(f'exit {code}')
    record.write(folder)
    print('\n'.join(record.lines[-6:]))
    sys.exit(code)
