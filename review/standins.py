"""Stand-ins for the platform's store, routers, targets and clients.

They follow PROTOCOL.md and use only the standard library. All of them run in
the event loop of one script; the entry processes run as separate processes
with the command and the settings template of `deploy/`.
"""

import asyncio
import base64
import json
import os
import random
import re
import shlex
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
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HEAD = struct.Struct('>H4sHH4sBIIII')
SYN, ACK, FIN, RST = 64, 2, 4, 8
SUM_KEY = b'stand-in key'
RETRANSMIT_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)
SYN_TIMES_S = (0.0, 0.2, 0.6)
SYN_TIMEOUT_S = 1.4
RESET_WINDOW = 76_800
HEARTBEAT_S = 1.2
NUMBERS = 2**32


def checksum(length, dst, sport, dport, src, flags, seq, ack, data):
    """Return the sum over all fields but echo, pad and BOUNCED."""
    head = struct.pack(
        '>H4sHH4sBII', length, dst, sport, dport, src, flags & 127, seq, ack
    )
    return zlib.crc32(SUM_KEY + head + data) or 1


class Packet:
    """A decoded packet."""

    def __init__(self, src, sport, dst, dport, flags, seq, ack, echo, data=b''):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack = flags, seq % NUMBERS, ack % NUMBERS
        self.echo, self.data = echo, data
        self.sum = None

    @property
    def flow(self):
        return self.src, self.sport, self.dst, self.dport

    def encode(self):
        total = checksum(
            len(self.data), self.dst, self.sport, self.dport, self.src,
            self.flags, self.seq, self.ack, self.data,
        )
        return HEAD.pack(
            len(self.data), self.dst, self.sport, self.dport, self.src,
            self.flags, self.seq, self.ack, total, self.echo,
        ) + self.data

    @classmethod
    def decode(cls, raw):
        if len(raw) < HEAD.size:
            return None
        (length, dst, sport, dport, src, flags, seq, ack, total, echo) = (
            HEAD.unpack_from(raw)
        )
        data = raw[HEAD.size:]
        if len(data) != length:
            return None
        found = cls(src, sport, dst, dport, flags & 127, seq, ack, echo, data)
        found.sum = total
        return found

    def is_genuine(self):
        """Return whether the sum is that of an end of the flow."""
        return self.sum == checksum(
            len(self.data), self.dst, self.sport, self.dport, self.src,
            self.flags, self.seq, self.ack, self.data,
        )


class Record:
    """What was sent, answered and run; written to record.txt."""

    def __init__(self, path):
        self.started_s = time.monotonic()
        self._file = open(path, 'w')

    def now(self):
        return time.monotonic() - self.started_s

    def write(self, text):
        self._file.write(f'{self.now():9.4f}  {text}\n')
        self._file.flush()


class Udp(asyncio.DatagramProtocol):
    """UDP socket with a callback."""

    def __init__(self, on_datagram):
        self.datagram_received = lambda raw, _: on_datagram(raw)
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def error_received(self, exc):
        """Ignore: nobody listens at the other end."""

    @classmethod
    async def open(cls, address, on_datagram):
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_datagram_endpoint(
            lambda: cls(on_datagram), local_addr=address
        )
        return protocol

    def send(self, raw, address):
        if not self.transport.is_closing():
            self.transport.sendto(raw, address)

    def close(self):
        self.transport.close()


class Store:
    """The platform's key-value store."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 7
        #: While set, calls get no response.
        self.silent = False
        self._leases = {}
        self._last_lease = 100
        self._changed = asyncio.Event()
        self._server = None
        self._tasks = []
        self.address = None

    async def start(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = self._server.sockets[0].getsockname()
        self._tasks.append(asyncio.ensure_future(self._expire()))

    def put(self, key, value, lease=0):
        """Write a key; the return of this call is the acknowledgment."""
        self.revision += 1
        known = self.items.get(key)
        created = known['create_revision'] if known else self.revision
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'rev': self.revision,
            'create_revision': created,
            'lease': lease,
        }
        self.events.append(self.items[key])
        self._wake()

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append(
                {'key': key, 'rev': self.revision, 'removed': True}
            )
            self._wake()

    def touch(self, key):
        """Take a heartbeat that changes nothing but `sequence`."""

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (until, _) in tuple(self._leases.items()):
                if until < now:
                    self._end(lease)

    def _end(self, lease):
        del self._leases[lease]
        for key, item in tuple(self.items.items()):
            if item['lease'] == lease:
                self.remove(key)

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode().split('\r\n')
                method, target, _ = lines[0].split(' ')
                length = 0
                for line in lines[1:]:
                    name, _, value = line.partition(':')
                    if name.lower() == 'content-length':
                        length = int(value)
                body = await reader.readexactly(length)
                while self.silent:
                    await asyncio.sleep(0.02)
                await asyncio.sleep(0.004)
                status, answer = await self._answer(method, target, body)
                while self.silent:
                    await asyncio.sleep(0.02)
                raw = json.dumps(answer).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                    f'Content-Length: {len(raw)}\r\n\r\n'.encode() + raw
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        path = parts.path.removeprefix('/siskinproxy/')
        if path == 'kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {}
            return 200, item | {'current_rev': self.revision}
        if path == 'kv-range':
            prefix, after = query.get('prefix', ''), query.get('after', '')
            keys = sorted(
                key for key in self.items
                if key.startswith(prefix) and key > after
            )
            return 200, {
                'items': [self.items[key] for key in keys[:500]],
                'has_more': len(keys) > 500,
                'current_rev': self.revision,
            }
        if path == 'kv-watch':
            return await self._watch(query)
        if path == 'kv-txn':
            return self._write(json.loads(body))
        if path == 'kv-lease':
            self._last_lease += 1
            ttl_s = max(json.loads(body)['ttl_ms'] / 1000, 1.0)
            until = time.monotonic() + ttl_s
            self._leases[self._last_lease] = (until, ttl_s)
            return 200, {
                'lease': self._last_lease, 'ttl_ms': round(1000 * ttl_s)
            }
        name, _, number = path.partition('/')
        lease = int(unquote(number) or 0)
        if lease not in self._leases:
            return 404, {}
        if name == 'kv-keep':
            ttl_s = self._leases[lease][1]
            self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        elif name == 'kv-lease-end':
            self._end(lease)
        return 200, {}

    async def _watch(self, query):
        prefix, after = query.get('prefix', ''), int(query['after'])
        until = time.monotonic() + min(int(query['wait_ms']), 30_000) / 1000
        while True:
            found = [
                event for event in self.events
                if event['rev'] > after and event['key'].startswith(prefix)
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {'events': found, 'current_rev': self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass

    def _write(self, txn):
        for row in txn.get('precondition') or ():
            item = self.items.get(row['key'])
            if (item['rev'] if item else 0) != row['rev']:
                rows = [each['key'] for each in txn['precondition']]
                return 412, {
                    'items': [self.items[k] for k in rows if k in self.items]
                }
        writes = txn.get('writes') or ()
        if any(w.get('lease', 0) not in {0, *self._leases} for w in writes):
            return 404, {}
        for each in writes:
            self.put(
                each['key'], base64.b64decode(each['value']),
                each.get('lease', 0),
            )
        for key in txn.get('remove') or ():
            self.remove(key)
        return 200, {'rev': self.revision}

    def close(self):
        for task in self._tasks:
            task.cancel()
        self._server.close()


class Target:
    """A backend server: flows over UDP, health checks over TCP, heartbeats.

    Parameters
    ----------
    world : World
        Store, record and port of the clients.
    name : str
        Id, such as ``i-7f3a91c2``.
    service, zone : str
        What the entry in the store says.
    address : tuple
        UDP and TCP address.
    slots, queue, max_conns : int
        Requests that run and wait, and flows that are held.
    cold_s : float
        Time for which a start is cold.
    """

    def __init__(
        self, world, name, service, zone, address, slots=2, queue=8,
        max_conns=2000, cold_s=0.0,
    ):
        self.world, self.name, self.service = world, name, service
        self.zone, self.address = zone, address
        self.slots, self.queue, self.max_conns = slots, queue, max_conns
        self.number = int(name.rpartition('-')[2], 16)
        self.cold_s = cold_s
        self.cold_until = 0.0
        self.state = 'ready'
        self.is_alive = False
        self.alive_since = 0.0
        #: Times at which opening packets were taken, from the first one on.
        self.taken = []
        self.flows = {}
        self.runs = []
        self._tasks = set()
        self._lapse = None

    @property
    def key(self):
        return f'servers/{self.name}'

    async def start(self, first_write_s=0.0, *, is_cold=False):
        """Start an incarnation, which writes its first entry after a time."""
        self._udp = await Udp.open(self.address, self._on_datagram)
        self._health = await asyncio.start_server(self._check, *self.address)
        self.is_alive = True
        self.alive_since = time.monotonic()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.flows = {}
        self.running, self.waiting = 0, []
        self.cold_until = self.alive_since + self.cold_s if is_cold else 0.0
        self._spawn(self._beat(first_write_s))
        self.world.record.write(f'target {self.name} starts cold={is_cold}')

    def crash(self):
        """End without a word; the entry lapses after three heartbeats."""
        self.is_alive = False
        for task in tuple(self._tasks):
            task.cancel()
        self._udp.close()
        self._health.close()
        self.flows = {}
        self.world.record.write(f'target {self.name} crashes')
        loop = asyncio.get_running_loop()
        self._lapse = loop.call_later(
            3 * HEARTBEAT_S, self.world.store.remove, self.key
        )

    def close(self):
        if self.is_alive:
            self.crash()
        if self._lapse is not None:
            self._lapse.cancel()

    def _spawn(self, coro):
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _beat(self, first_write_s):
        await asyncio.sleep(first_write_s)
        last = None
        while True:
            self.sequence += 1
            left_s = max(self.cold_until - time.monotonic(), 0)
            told = (self.state, round(left_s * 1000))
            if not self.world.store.silent:
                if self._lapse is not None:
                    self._lapse.cancel()
                    self._lapse = None
                if told != last or self.key not in self.world.store.items:
                    self.write_entry(told[1])
                    last = told
            await asyncio.sleep(HEARTBEAT_S)

    def write_entry(self, left_ms):
        host, port = self.address
        entry = {
            'service': self.service, 'address': f'{host}:{port}',
            'zone': self.zone, 'version': 'v1', 'slots': self.slots,
            'state': self.state, 'warmup_left_ms': left_ms,
            'sequence': self.sequence, 'born': self.born,
        }
        self.world.store.put(self.key, json.dumps(entry).encode())
        self.world.record.write(
            f'entry of {self.name} acknowledged: {self.state}, '
            f'cold for {left_ms} ms'
        )

    async def _check(self, reader, writer):
        """Answer a health check, which needs a slot."""
        try:
            await reader.readuntil(b'\r\n\r\n')
            done = asyncio.get_running_loop().create_future()
            self._enqueue(0.001, done)
            await done
            writer.write(
                b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n'
                b'Server-Load: 0,0,8\r\n\r\n'
            )
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _on_datagram(self, raw):
        if int.from_bytes(raw[:8], 'big') not in {0, self.number}:
            return
        packet = Packet.decode(raw[8:])
        if packet is None or not packet.is_genuine():
            self.world.record.write(f'target {self.name} got a forged packet')
            return
        flow = self.flows.get(packet.flow)
        if packet.flags & SYN:
            self._on_syn(packet, flow)
        elif flow is None:
            self._reply(packet, RST, 0, 0)
        else:
            self._on_flow(packet, flow)

    def _on_syn(self, packet, flow):
        if flow is None:
            held = sum(1 for each in self.flows.values() if not each['ended'])
            if held >= self.max_conns:
                return
            flow = {
                'seq': random.randrange(NUMBERS), 'next': packet.seq + 1,
                'open': False, 'ended': False, 'echo': 0, 'request': b'',
            }
            self.flows[packet.flow] = flow
            now = time.monotonic()
            self.taken.append((now, now < self.cold_until, packet.flow))
            self._spawn(self._repeat_syn_ack(packet.flow, flow))
        flow['echo'] = packet.echo
        self._send(packet.flow, flow, SYN | ACK, flow['seq'], b'')

    async def _repeat_syn_ack(self, key, flow):
        for delay_s in RETRANSMIT_S:
            await asyncio.sleep(delay_s)
            if flow['open'] or flow['ended']:
                return
            self._send(key, flow, SYN | ACK, flow['seq'], b'')

    def _on_flow(self, packet, flow):
        flow['echo'] = packet.echo
        if flow['ended']:
            if packet.data:
                self._reply(packet, RST, 0, 0)
            elif packet.flags & FIN:
                self._reply(packet, ACK, flow['seq'], packet.seq + 1)
            return
        if packet.flags & RST:
            flow['ended'] = True
            return
        if not flow['open']:
            if packet.ack != (flow['seq'] + 1) % NUMBERS:
                # The client has opened the flow at another target.
                flow['ended'] = True
                self._reply(packet, RST, 0, 0)
                return
            flow['open'] = True
            flow['seq'] = packet.ack
            self.world.on_open(self, packet.flow)
        answer = flow.get('answer')
        if answer and packet.ack == (flow['seq'] + len(answer)) % NUMBERS:
            flow['seq'] = packet.ack
            flow['answer'] = None
        if packet.data:
            if packet.seq == flow['next'] % NUMBERS:
                flow['next'] = packet.seq + len(packet.data)
                self._spawn(self._run(packet.flow, flow, packet.data))
            elif not flow.get('answer'):
                # A retransmission is acknowledged at once.
                self._send(packet.flow, flow, ACK, flow['seq'], b'')
        if packet.flags & FIN:
            flow['next'] += 1
            flow['ended'] = True
            self._send(packet.flow, flow, ACK | FIN, flow['seq'], b'')

    def _enqueue(self, work_s, done):
        self.waiting.append((work_s, done))
        self._start_waiting()

    def _start_waiting(self):
        while self.waiting and self.running < self.slots:
            work_s, done = self.waiting.pop(0)
            self.running += 1
            self._spawn(self._work(work_s, done))

    async def _work(self, work_s, done):
        await asyncio.sleep(work_s)
        self.running -= 1
        if not done.done():
            done.set_result(None)
        self._start_waiting()

    async def _run(self, key, flow, data):
        request = json.loads(data)
        record = self.world.record
        done = asyncio.get_running_loop().create_future()
        waits = len(self.waiting)
        if self.running >= self.slots and waits >= self.queue:
            answer = {'id': request['id'], 'status': 503, 'ran': False}
        else:
            record.write(
                f'target {self.name} takes {request["id"]} '
                f'(running {self.running}, waiting {waits})'
            )
            self._enqueue(request['work_s'], done)
            await done
            self.runs.append(request['id'])
            record.write(f'target {self.name} has run {request["id"]}')
            answer = {'id': request['id'], 'status': 200, 'by': self.name}
        flow['answer'] = json.dumps(answer).encode()
        for delay_s in RETRANSMIT_S:
            self._send(key, flow, ACK, flow['seq'], flow['answer'])
            await asyncio.sleep(delay_s)
            if not flow['answer'] or flow['ended']:
                return

    def _send(self, key, flow, flags, seq, data):
        src, sport, dst, dport = key
        packet = Packet(
            dst, dport, src, sport, flags, seq, flow['next'], flow['echo'], data
        )
        self.world.send_to_client(self._udp, packet)

    def _reply(self, packet, flags, seq, ack):
        src, sport, dst, dport = packet.flow
        answer = Packet(
            dst, dport, src, sport, flags, seq or packet.ack, ack, packet.echo
        )
        if flags & RST:
            self.world.record.write(f'target {self.name} resets port {sport}')
        self.world.send_to_client(self._udp, answer)


class Outcome:
    """What a client sees of one request."""

    def __init__(self):
        self.sent_s = time.monotonic()
        self.key = None
        self.is_open = False
        self.end = ''
        self.answer = None
        self.ended_s = None


class Client:
    """A client at one address; each request has a flow of its own."""

    def __init__(self, world, host, zone):
        self.world, self.host, self.zone = world, host, zone
        self._src = socket.inet_aton(host)
        self._port = random.randrange(2000, 30_000)
        self._inbox = {}

    async def start(self):
        self._udp = await Udp.open(
            (self.host, self.world.packet_port), self._on_datagram
        )

    def close(self):
        self._udp.close()

    def _on_datagram(self, raw):
        packet = Packet.decode(raw)
        if packet is not None:
            key = packet.dst, packet.dport, packet.src, packet.sport
            inbox = self._inbox.get(key)
            if inbox is not None:
                inbox.put_nowait(packet)

    async def request(self, route, name, work_s, deadline_s):
        """Send a request on a new flow; return its `Outcome`."""
        self._port += 1
        key = self._src, self._port, *route
        outcome = Outcome()
        outcome.key = key
        self._inbox[key] = asyncio.Queue()
        record = self.world.record
        record.write(f'client sends {name} work={work_s}s port={self._port}')
        try:
            await asyncio.wait_for(
                self._exchange(key, name, work_s, outcome), deadline_s
            )
        except TimeoutError:
            outcome.end = 'deadline'
        finally:
            del self._inbox[key]
        outcome.ended_s = time.monotonic()
        took_s = outcome.ended_s - outcome.sent_s
        record.write(
            f'client ends {name}: {outcome.end} after {took_s:.3f} s '
            f'open={outcome.is_open}'
        )
        return outcome

    async def _exchange(self, key, name, work_s, outcome):
        number = random.randrange(NUMBERS)
        accepted = await self._open(key, number, outcome)
        if accepted is None:
            return
        state = {
            'seq': (number + 1) % NUMBERS, 'ack': (accepted.seq + 1) % NUMBERS,
            'echo': accepted.echo,
        }
        outcome.is_open = True
        data = json.dumps({'id': name, 'work_s': work_s}).encode()
        delays = list(RETRANSMIT_S)
        due = 0.0
        while not outcome.end:
            now = time.monotonic()
            if now >= due:
                self._send(key, ACK, state, data)
                due = now + (delays.pop(0) if delays else RETRANSMIT_S[-1])
            packet = await self._next(key, due - now)
            if packet is not None:
                due = self._take(packet, state, data, due, outcome)
        if outcome.end == 'answered':
            state['seq'] = (state['seq'] + len(data)) % NUMBERS
            self._send(key, ACK | FIN, state, b'')

    def _take(self, packet, state, data, due, outcome):
        """Handle a packet on the open flow; return when to send again."""
        if packet.flags & RST:
            if packet.is_genuine():
                outcome.end = 'reset by target'
            elif packet.sum == 0:
                distance = (packet.seq - state['ack']) % NUMBERS
                distance = min(distance, NUMBERS - distance)
                if distance <= RESET_WINDOW:
                    outcome.end = 'reset by system'
            return due
        if not packet.is_genuine():
            return due
        if packet.flags & SYN:
            # The SYN+ACK of a target that the client did not choose.
            return due
        state['echo'] = packet.echo
        end = (state['seq'] + len(data)) % NUMBERS
        if packet.ack == end and not packet.data:
            due = float('inf')
        if packet.data and packet.seq == state['ack']:
            state['ack'] = (packet.seq + len(packet.data)) % NUMBERS
            outcome.answer = json.loads(packet.data)
            outcome.end = 'answered'
        return due

    async def _open(self, key, number, outcome):
        started = time.monotonic()
        for copy, at in enumerate(SYN_TIMES_S):
            packet = Packet(*key, SYN, number, copy, 0)
            self.world.deliver(self.zone, packet)
            following = (*SYN_TIMES_S[1:], SYN_TIMEOUT_S)[copy]
            while True:
                left = started + following - time.monotonic()
                answer = await self._next(key, left)
                if answer is None:
                    break
                if answer.flags & RST:
                    outcome.end = 'refused'
                    return None
                if answer.flags & SYN and answer.is_genuine():
                    return answer
        outcome.end = 'not opened'
        return None

    async def _next(self, key, timeout_s):
        if timeout_s <= 0:
            return None
        if timeout_s == float('inf'):
            return await self._inbox[key].get()
        try:
            return await asyncio.wait_for(self._inbox[key].get(), timeout_s)
        except TimeoutError:
            return None

    def _send(self, key, flags, state, data):
        packet = Packet(
            *key, flags, state['seq'], state['ack'], state['echo'], data
        )
        self.world.deliver(self.zone, packet)


class Entry:
    """An entry process, started with the command of the deploy file."""

    def __init__(self, world, name, host, zone):
        self.world, self.name, self.host, self.zone = world, name, host, zone
        self.misses = 2
        self.process = None
        self.path = Path(world.folder) / f'{name}.toml'

    def start(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['entry']
        template = (ROOT / role['template']).read_text()
        self.path.write_text(render(template, self.world.fields(self)))
        log = open(self.path.with_suffix('.log'), 'ab')
        deps = ROOT / 'target/deps'
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        env |= {
            'SISKINPROXY_BOOT': str(self.path),
            'PYTHONPATH': str(deps),
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        self.process = subprocess.Popen(
            shlex.split(role['run']), cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()
        self.world.record.write(f'process {self.name} starts')

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)
            self.world.record.write(f'process {self.name} gets signal {number}')

    def kill(self):
        """End the process at once and wait for its end."""
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.world.ready_port
            )
        except OSError:
            return False
        try:
            writer.write(
                b'GET /siskinproxy/readiness HTTP/1.1\r\nHost: x\r\n\r\n'
            )
            return (await reader.read(64)).startswith(b'HTTP/1.1 200')
        except OSError:
            return False
        finally:
            writer.close()

    def log(self):
        return self.path.with_suffix('.log').read_text(errors='replace')


def render(template, fields):
    """Fill in the placeholders that the settings template uses."""

    def fill(found):
        name, _, form = found.group(1).partition('|')
        value = fields
        for part in name.split('.'):
            value = value[int(part)] if part.isdigit() else value[part]
        return json.dumps(value) if form == 'json' else str(value)

    return re.sub(r'\{\{([a-z0-9_.|]+)\}\}', fill, template)


class World:
    """All stand-ins of a case, and its entry processes.

    Parameters
    ----------
    folder : Path
        Folder of the case, for record.txt.
    """

    def __init__(self, folder):
        self.record = Record(Path(folder) / 'record.txt')
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = self._temporary.name
        self.net, self.packet_port, self.ready_port, self.peer_port = (
            find_free_ports()
        )
        self.store = Store()
        self.targets, self.entries, self.clients = [], [], []
        self.config = {'version': 0, 'routes': [], 'services': []}
        #: Opened flows: key, target, and time.
        self.opened = {}
        self._router = None
        self._tasks = []

    def host(self, group, number):
        return f'127.{self.net}.{group}.{number}'

    def fields(self, entry):
        """Return the platform's settings of a process, as DEPLOY.md has it."""
        return {
            'node_name': entry.name, 'zone': entry.zone, 'ip': entry.host,
            'internal_port_range': [self.peer_port, self.peer_port + 15],
            'seeds': [f'{each.host}:{self.ready_port + 1}'
                      for each in self.entries[:3]],
            'heartbeat_ms': round(1000 * HEARTBEAT_S),
            'listen_addrs': {
                'packets': f'{entry.host}:{self.packet_port}',
                'ready': f'{entry.host}:{self.ready_port}',
                'control': f'{entry.host}:{self.ready_port + 1}',
            },
            'limits': {'link_mbps': 1000.0},
            'bounds': {
                'drain_ms': 3000, 'config_apply_ms': 3000, 'evac_ms': 5000,
                'grace_s': 6, 'flow_max_s': 60, 'cold_over': 1.5,
                'cold_slack': 5,
            },
            'platform': {
                'address': '{}:{}'.format(*self.store.address),
            },
        }

    def write_config(self, routes, services):
        self.config = {
            'version': self.config['version'] + 3, 'routes': routes,
            'services': services,
            'limits': {'idle_timeout_ms': 15000},
        }
        self.store.put('op/config', json.dumps(self.config).encode())
        self.record.write(
            f'configuration {self.config["version"]} acknowledged'
        )

    async def start(self, zones):
        """Start store, routers and entry processes; wait until all are ready.

        Parameters
        ----------
        zones : list of str
            Zone of each entry process.
        """
        await self.store.start(self.host(9, 1))
        self._router = await Udp.open((self.host(8, 1), 0), lambda raw: None)
        self.entries = [
            Entry(self, f'front-{zone}-{i}', self.host(1, i + 1), zone)
            for i, zone in enumerate(zones)
        ]

    async def start_entries(self):
        for entry in self.entries:
            entry.start()
            self._tasks.append(asyncio.ensure_future(self._probe(entry)))
        for _ in range(400):
            if all(entry.misses == 0 for entry in self.entries):
                # The scheduler is loaded some time after the first packets.
                await asyncio.sleep(3)
                return
            await asyncio.sleep(0.05)
        raise RuntimeError('entry processes are not ready')

    async def _probe(self, entry):
        while True:
            started = time.monotonic()
            try:
                is_ready = await asyncio.wait_for(entry.is_ready(), 0.45)
            except TimeoutError:
                is_ready = False
            entry.misses = 0 if is_ready else entry.misses + 1
            await asyncio.sleep(max(started + 0.5 - time.monotonic(), 0))

    def deliver(self, zone, packet):
        """Send a client's packet to a node of its zone (`hash` = mod)."""
        members = [each for each in self.entries if each.zone == zone]
        ready = [each for each in members if each.misses < 2]
        if 2 * len(ready) < len(members):
            ready = members
        number = zlib.crc32(
            packet.src + packet.dst + struct.pack('>HH', *packet.flow[1::2])
        )
        node = ready[number % len(ready)]
        self._router.send(packet.encode(), (node.host, self.packet_port))

    def send_to_client(self, udp, packet):
        host = socket.inet_ntoa(packet.dst)
        udp.send(packet.encode(), (host, self.packet_port))

    def on_open(self, target, key):
        self.opened[key] = (target, time.monotonic())

    async def add_client(self, number, zone):
        client = Client(self, self.host(4, number), zone)
        await client.start()
        self.clients.append(client)
        return client

    def close(self):
        """End all processes that this script started."""
        for entry in self.entries:
            if entry.process is not None:
                entry.signal(signal.SIGCONT)
                entry.kill()
        for task in self._tasks:
            task.cancel()
        for each in (*self.targets, *self.clients):
            each.close()
        self.store.close()
        self._temporary.cleanup()


def find_free_ports():
    """Return a loopback network 127.N.0.0/16 and free ports in it.

    The network depends on the process id, so that scripts can run side by side.
    """
    for attempt in range(200):
        net = 20 + (os.getpid() + attempt) % 220
        first = random.randrange(20_000, 30_000)
        wanted = [first, first + 1, first + 2, first + 10, 9464]
        if all(is_free(f'127.{net}.1.{i}', port)
               for i in range(1, 6) for port in wanted) and all(
               is_free(f'127.{net}.2.{i}', 8000) for i in range(1, 10)):
            return net, first, first + 1, first + 10
    raise RuntimeError('no free ports')


def is_free(host, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True


def route_of(name, host, port, kind, service, timeout_ms, aim_ms):
    """Return a route of a configuration, and its key for clients."""
    route = {
        'name': name, 'host': host, 'prefix': f'/{port}/', 'kind': kind,
        'timeout_ms': timeout_ms, 'aim_ms': aim_ms, 'priority': 2,
        'service': service, 'max_attempts': 2,
    }
    return route, (socket.inet_aton(host), port)


def service_of(name, max_conns=2000, warmup_s=2.0, warmup_per_s=0.0):
    """Return a service of a configuration."""
    return {
        'name': name, 'health_path': '/health', 'max_conns': max_conns,
        'protocol': 'h1', 'tls': False, 'warmup_s': warmup_s,
        'warmup_per_s': warmup_per_s,
    }


def most_in_one_second(target):
    """Return the most openings that a cold target took in one second."""
    times = [taken for taken, is_cold, _ in target.taken if is_cold]
    return max(
        (sum(start <= each < start + 1 for each in times) for start in times),
        default=0,
    )


def run_case(folder, case):
    """Run a case; exit with 1 if the rule was broken, 0 if not, else 2.

    `case` is a coroutine function that gets the world and whether the
    disruption happens, and returns the breaks of the rule.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'

    async def play():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        world = World(folder)
        try:
            breaks = await asyncio.wait_for(case(world, has_trouble), 110)
            for each in breaks:
                world.record.write(f'RULE BROKEN: {each}')
            world.record.write(f'{len(breaks)} breaks, trouble={has_trouble}')
            return 1 if breaks else 0
        finally:
            world.close()

    try:
        code = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as exc:
        sys.stderr.write(f'the case could not run: {exc!r}\n')
        code = 2
    sys.exit(code)
