"""Stand-ins of the third review: store, servers, clients, routers, operator.

They use only the standard library and follow the users' page PROTOCOL.md. One
process, started by a case's script, holds them all; the entry processes are
separate processes that are started with the command of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse
import zlib

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HEAD = struct.Struct('>H4sHH4sBIIII')
SYN, ACK, FIN, RST = 64, 2, 4, 8
PACKET_PORT, READY_PORT, PEER_PORT, METRICS_PORT = 8172, 8167, 7720, 9464
SERVER_PORT, STORE_PORT = 8080, 8169
HEARTBEAT_S = 1.2


def now():
    return time.monotonic()


def encode(src, sport, dst, dport, flags, seq, ack, echo=0, data=b''):
    """Return a packet; `sum` holds a keyed sum, 0 in resets of the system."""
    body = struct.pack('>4sHHBIIH', dst, sport, dport, flags, seq, ack, len(data))
    total = zlib.crc32(b'key' + src + body + data) or 1
    return HEAD.pack(
        len(data), dst, sport, dport, src, flags, seq, ack, total, echo
    ) + data


def decode(packet):
    """Return len, dst, sport, dport, src, flags, seq, ack, sum, echo, data."""
    return (*HEAD.unpack_from(packet), packet[HEAD.size :])


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / 'record.txt').open('w')
        self.start = now()

    def __call__(self, text):
        self._file.write(f'{now() - self.start:9.3f} {text}\n')

    def close(self):
        self._file.close()


class Store:
    """The platform's store: items, watches, transactions and leases."""

    def __init__(self, address):
        self.address = address
        self.items = {}
        self.events = []
        self.rev = 100
        self.leases = {}
        self.changed = asyncio.Event()
        #: Number of outages so far; leases pause meanwhile.
        self.outages = 0
        self._never = asyncio.Event()
        self.is_silent = False

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, *self.address, limit=1 << 22
        )
        self._expiry = asyncio.create_task(self._expire())

    def begin_silence(self):
        """Answer no call any more; calls in progress get no answer either."""
        self.outages += 1
        self.is_silent = True
        self._silent_since = now()

    def end_silence(self):
        paused = now() - self._silent_since
        for lease, (ttl, ends) in self.leases.items():
            self.leases[lease] = (ttl, ends + paused)
        self.is_silent = False

    def put(self, key, value, lease=0):
        self.rev += 1
        created = self.items[key]['create_revision'] if key in self.items else self.rev
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'rev': self.rev,
            'create_revision': created,
            'lease': lease,
        }
        self._add(self.items[key])

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.rev += 1
            self._add({'key': key, 'rev': self.rev, 'removed': True})

    def _add(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, v in self.items.items() if v['lease'] == lease]:
            self.remove(key)

    async def _expire(self):
        while True:
            await asyncio.sleep(0.1)
            for lease, (_, ends) in tuple(self.leases.items()):
                if now() > ends and not self.is_silent:
                    self._end_lease(lease)

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                method, url, _ = head.split('\r\n', 1)[0].split(' ')
                length = 0
                for line in head.split('\r\n')[1:]:
                    name, _, value = line.partition(':')
                    if name.lower() == 'content-length':
                        length = int(value)
                body = await reader.readexactly(length)
                outages = self.outages
                if self.is_silent:
                    await self._never.wait()
                status, answer = await self._answer(method, url, body)
                if self.outages != outages:
                    # A connection on which an answer is lost returns nothing.
                    await self._never.wait()
                data = json.dumps(answer).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                    f'Content-Length: {len(data)}\r\n\r\n'.encode() + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, url, body):
        parts = urllib.parse.urlsplit(url)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(parts.query).items()}
        path = parts.path.removeprefix('/siskinproxy/')
        await asyncio.sleep(0.004)
        if path == 'kv-key':
            item = self.items.get(query['key'])
            return (200, item | {'current_rev': self.rev}) if item else (404, {})
        if path == 'kv-range':
            prefix, after = query.get('prefix', ''), query.get('after', '')
            found = [
                self.items[k]
                for k in sorted(self.items)
                if k.startswith(prefix) and k > after
            ]
            return 200, {
                'items': found[:500],
                'has_more': len(found) > 500,
                'current_rev': self.rev,
            }
        if path == 'kv-watch':
            return await self._watch(query)
        if path == 'kv-lease':
            lease = random.randrange(1, 1 << 40)
            ttl = json.loads(body)['ttl_ms']
            self.leases[lease] = (ttl, now() + ttl / 1000)
            return 200, {'lease': lease, 'ttl_ms': ttl}
        if path.startswith('kv-keep/'):
            lease = int(path[8:])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, now() + ttl / 1000)
            return 200, {'ttl_ms': ttl}
        if path.startswith('kv-lease-end/'):
            lease = int(path[13:])
            if lease not in self.leases:
                return 404, {}
            self._end_lease(lease)
            return 200, {}
        if path == 'kv-txn':
            return self._change(json.loads(body))
        return 404, {}

    async def _watch(self, query):
        after = int(query['after'])
        ends = now() + int(query['wait_ms']) / 1000
        prefix = query.get('prefix', '')
        while True:
            found = [
                e
                for e in self.events
                if e['rev'] > after and e['key'].startswith(prefix)
            ]
            left = ends - now()
            if found or left <= 0:
                return 200, {'events': found, 'current_rev': self.rev}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _change(self, change):
        rows = change.get('precondition') or ()
        current = [self.items.get(row['key']) for row in rows]
        for row, item in zip(rows, current, strict=True):
            if (item['rev'] if item else 0) != row['rev']:
                return 412, {'items': [i for i in current if i]}
        for write in change.get('writes') or ():
            if write.get('lease') and write['lease'] not in self.leases:
                return 404, {}
        for write in change.get('writes') or ():
            self.put(
                write['key'], base64.b64decode(write['value']), write.get('lease', 0)
            )
        for key in change.get('remove') or ():
            self.remove(key)
        return 200, {'rev': self.rev}


class Server:
    """A target: one request and one response on each flow.

    `takes` is called with each opening packet that it takes the first time; a
    request runs once `slots` are free. Missing packets are sent again after
    200 ms, doubling up to 1.6 s, 8 times.
    """

    def __init__(self, world, number, service, zone, slots=4, work_s=0.055):
        self.world = world
        self.id = random.getrandbits(32)
        self.service, self.zone, self.slots, self.work_s = service, zone, slots, work_s
        self.host = f'127.{world.net}.50.{number}'
        self.name = f'{service}-{number}'
        self.key = f'servers/i-{self.id:08x}'
        self.state = 'ready'
        self.cold_until = 0.0
        self.sequence = 0
        self.born = int(time.time() * 1000) - 60_000
        self.flows = {}
        self.is_full = False
        self.is_dark = False
        self._room = asyncio.Semaphore(slots)

    async def start(self, phase_s=None):
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
        sock.bind((self.host, SERVER_PORT))
        self._udp, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self.on_datagram), sock=sock
        )
        self._tcp = await asyncio.start_server(self._health, self.host, SERVER_PORT)
        self.write()
        self._beat = asyncio.create_task(self._beats(phase_s))

    def entry(self):
        left = max(0, self.cold_until - now())
        return {
            'service': self.service,
            'address': f'{self.host}:{SERVER_PORT}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'warmup_left_ms': round(left * 1000),
            'sequence': self.sequence,
            'born': self.born,
        }

    def crash(self):
        """End the process; its host refuses connections."""
        self.is_dark = True
        self.flows.clear()
        self._tcp.close()
        self._held = ()
        self.world.record(f'{self.name} crashes')

    def lose_power(self):
        """Fall silent, also on TCP: a full queue drops connection attempts."""
        self.is_dark = True
        self.flows.clear()
        self._tcp.close()
        silent = socket.socket()
        silent.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        silent.bind((self.host, SERVER_PORT))
        silent.listen(0)
        self._held = (silent, *(socket.socket() for _ in range(4)))
        for sock in self._held[1:]:
            sock.setblocking(False)
            sock.connect_ex((self.host, SERVER_PORT))
        self.world.record(f'{self.name} loses power')

    async def start_again(self, warmup_s):
        """Start under the same id, cold, without any flow."""
        for sock in self._held:
            sock.close()
        self.flows.clear()
        self._room = asyncio.Semaphore(self.slots)
        self._tcp = await asyncio.start_server(self._health, self.host, SERVER_PORT)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.cold_until = now() + warmup_s
        self.is_dark = False
        self.world.record(f'{self.name} starts again, cold for {warmup_s} s')
        self.write()

    def write(self):
        if self.is_dark or self.world.store.is_silent:
            return self.entry()
        self.sequence += 1
        entry = self.entry()
        self.world.store.put(self.key, json.dumps(entry).encode())
        return entry

    async def _beats(self, phase_s):
        due = now() + (random.uniform(0, HEARTBEAT_S) if phase_s is None else phase_s)
        while True:
            await asyncio.sleep(max(0, due - now()))
            due += HEARTBEAT_S
            entry = self.write()
            if entry['warmup_left_ms'] and not self.world.store.is_silent:
                self.world.record(
                    f'entry {self.name} warmup_left_ms={entry["warmup_left_ms"]}'
                )

    async def _health(self, reader, writer):
        try:
            while await reader.readuntil(b'\r\n\r\n'):
                writer.write(
                    b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n'
                    + f'Instance-Id: {self.key[8:]}\r\n\r\n'.encode()
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def on_datagram(self, datagram, address):
        if self.is_dark:
            return
        named = int.from_bytes(datagram[:8])
        if named not in {0, self.id}:
            return
        packet = datagram[8:]
        _, dst, sport, dport, src, flags, seq, ack, total, echo, data = decode(packet)
        key = (src, sport, dst, dport)
        flow = self.flows.get(key)
        self.world.on_server_packet(self, key, flags, seq, ack, data, flow, address)
        if flags & SYN:
            if self.is_full:
                return
            if flow is None or flow['client_seq'] != seq:
                flow = {
                    'client_seq': seq,
                    'seq': random.randrange(1, 1 << 31),
                    'state': 'half',
                    'echo': echo,
                    'answer': None,
                    'response': b'',
                }
                self.flows[key] = flow
                self.world.on_taken(self, key, seq, ack, now(), address)
                flow['echo'] = echo
                asyncio.create_task(self._repeat_syn_ack(key, flow))
            else:
                flow['echo'] = echo
            return
        if flow is None:
            if not flags & RST:
                self._send(key, RST, 0, seq, echo)
            return
        flow['echo'] = echo
        if flags & RST:
            flow['state'] = 'ended'
            return
        if flow['state'] == 'half':
            if ack != flow['seq'] + 1:
                self._send(key, RST, ack, seq, echo)
                return
            flow['state'] = 'open'
            self.world.on_open(self, key)
        if flow['state'] == 'ended':
            if data:
                self._send(key, RST, ack, seq, echo)
            elif flags & FIN:
                self._send(key, ACK, flow['seq'] + 1, seq + 1, echo)
            return
        self.on_open_packet(key, flow, flags, seq, ack, data)

    def on_open_packet(self, key, flow, flags, seq, ack, data):
        if data and flow['answer'] is None:
            flow['client_ack'] = seq + len(data)
            flow['answer'] = asyncio.create_task(self._run(key, flow, data))
        elif flow['response'] and ack > flow['seq'] + len(flow['response']):
            flow['state'] = 'ended'
            flow['answer'].cancel()
        if flags & FIN:
            self._send(key, ACK, flow['seq'] + 1 + len(flow['response']), seq + 1)
            flow['state'] = 'ended'

    async def _run(self, key, flow, data):
        async with self._room:
            self.world.on_run(self, key, data)
            slow = 1.6 if now() < self.cold_until else 1
            await asyncio.sleep(self.work_s * slow)
        flow['response'] = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok ' + data
        gap = 0.2
        for _ in range(9):
            self._send(
                key, ACK | FIN, flow['seq'] + 1, flow['client_ack'],
                data=flow['response'],
            )
            await asyncio.sleep(gap)
            gap = min(2 * gap, 1.6)

    async def _repeat_syn_ack(self, key, flow):
        gap = 0.2
        for _ in range(9):
            if flow['state'] != 'half':
                return
            self._send(key, SYN | ACK, flow['seq'], flow['client_seq'] + 1)
            await asyncio.sleep(gap)
            gap = min(2 * gap, 1.6)
        flow['state'] = 'ended'

    def _send(self, key, flags, seq, ack, echo=None, data=b''):
        if self.is_dark:
            return
        src, sport, dst, dport = key
        flow = self.flows.get(key)
        if echo is None:
            echo = flow['echo'] if flow else 0
        packet = encode(dst, dport, src, sport, flags, seq, ack, echo, data)
        self.world.to_client(self, key, packet)

    def send_raw(self, key, packet):
        if self._udp.is_closing():
            return
        self._udp.sendto(packet, (socket.inet_ntoa(key[0]), PACKET_PORT))

    def close(self):
        self._beat.cancel()
        self._udp.close()
        self._tcp.close()


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self._handler = handler

    def datagram_received(self, data, addr):
        self._handler(data, addr)


class Entry:
    """An entry process, started with the command of the deploy file."""

    def __init__(self, world, number, zone):
        self.world, self.zone = world, zone
        self.name = f'front-{zone}-{number}'
        self.host = f'127.{world.net}.{number}.10'
        self.in_rotation = False
        self._misses = 2
        self.process = None

    def write_settings(self, seeds):
        deploy = tomllib.loads((REPOSITORY / 'deploy/system.toml').read_text())
        role = deploy['roles']['entry']
        self._command = role['run'].split()
        text = (REPOSITORY / role['template']).read_text()
        values = {
            'node_name': self.name,
            'zone': self.zone,
            'ip': self.host,
            'limits.link_mbps': 1000.0,
            'listen_addrs.packets': f'{self.host}:{PACKET_PORT}',
            'listen_addrs.ready': f'{self.host}:{READY_PORT}',
            'internal_port_range.0': PEER_PORT,
            'platform.address': f'{self.world.store.address[0]}:{STORE_PORT}',
            'seeds': seeds,
            'heartbeat_ms': 1200,
            'bounds.drain_ms': 3000,
            'bounds.config_apply_ms': 3000,
            'bounds.evac_ms': 5000,
            'bounds.grace_s': 6,
            'bounds.flow_max_s': 60,
            'bounds.cold_over': 1.5,
            'bounds.cold_slack': 5,
        }
        lines = []
        for line in text.splitlines():
            if line.startswith('#'):
                continue
            for name, value in values.items():
                line = line.replace('{{%s|json}}' % name, json.dumps(value))
                line = line.replace('{{%s}}' % name, str(value))
            lines.append(line)
        self._settings = self.world.folder / f'{self.name}.toml'
        self._settings.write_text('\n'.join(lines))

    async def start(self):
        environment = {
            k: os.environ[k] for k in ('PATH', 'HOME', 'LANG') if k in os.environ
        }
        environment['SISKINPROXY_BOOT'] = str(self._settings)
        environment['PYTHONPATH'] = str(REPOSITORY / 'target/deps')
        with (self.world.folder / f'{self.name}.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._command, cwd=REPOSITORY, env=environment,
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            )
        self.world.record(f'start {self.name} pid={self.process.pid}')

    async def stop(self, number=signal.SIGTERM, grace_s=6):
        """Send a signal, SIGKILL after the grace time; wait for the end."""
        self.world.record(f'signal {self.name} {signal.Signals(number).name}')
        self.process.send_signal(number)
        try:
            await asyncio.wait_for(self.process.wait(), grace_s)
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()
        self.world.record(f'ended {self.name} code={self.process.returncode}')

    async def probe(self):
        """Ask for readiness twice a second, as the routers do."""
        while True:
            started = now()
            ready = False
            try:
                ready = await asyncio.wait_for(self._ask(), 0.4)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            self._misses = 0 if ready else self._misses + 1
            is_in = self._misses < 2
            if is_in != self.in_rotation:
                self.world.record(f'rotation {self.name} {"in" if is_in else "out"}')
            self.in_rotation = is_in
            await asyncio.sleep(max(0, started + 0.5 - now()))

    async def _ask(self):
        reader, writer = await asyncio.open_connection(self.host, READY_PORT)
        try:
            writer.write(
                b'GET /siskinproxy/readiness HTTP/1.1\r\nHost: entry\r\n\r\n'
            )
            return b' 200 ' in await reader.readline()
        finally:
            writer.close()


class Client:
    """All flows of the clients of one zone."""

    def __init__(self, world, zone, number):
        self.world, self.zone = world, zone
        self.host = f'127.{world.net}.60.{number}'
        self.ip = socket.inet_aton(self.host)
        self._port = 20000
        self.flows = {}

    async def start(self):
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
        sock.bind((self.host, PACKET_PORT))
        self._udp, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self._on_datagram), sock=sock
        )

    def close(self):
        self._udp.close()

    def _on_datagram(self, packet, address):
        _, dst, sport, dport, src, flags, seq, ack, total, echo, data = decode(packet)
        flow = self.flows.get((self.ip, dport, src, sport))
        if flow is not None:
            flow.put_nowait((flags, seq, ack, total, echo, data, address))

    async def request(self, route, text, deadline_s=4.0, copies=(0.2, 0.4, 0.8)):
        """Send one request on a flow of its own; return the answer or None."""
        self._port = 20000 + (self._port - 19999) % 40000
        key = (self.ip, self._port, socket.inet_aton(route[0]), route[1])
        queue = self.flows[key] = asyncio.Queue()
        try:
            return await asyncio.wait_for(
                self._attempt(key, queue, text.encode(), copies), deadline_s
            )
        except asyncio.TimeoutError:
            return None
        finally:
            del self.flows[key]

    def send(self, key, flags, seq, ack, echo=0, data=b''):
        src, sport, dst, dport = key
        packet = encode(src, sport, dst, dport, flags, seq, ack, echo, data)
        node = self.world.route_packet(self.zone, key)
        if node is not None:
            self._udp.sendto(packet, (node.host, PACKET_PORT))
        return node

    async def _attempt(self, key, queue, text, copies):
        seq = random.randrange(1, 1 << 31)
        got = None
        for copy, wait_s in enumerate(copies):
            node = self.send(key, SYN, seq, copy)
            self.world.on_client_syn(key, text, copy, node)
            ends = now() + wait_s
            while got is None and now() < ends:
                try:
                    packet = await asyncio.wait_for(queue.get(), ends - now())
                except asyncio.TimeoutError:
                    break
                if packet[0] & RST:
                    self.world.on_refused(key, text)
                    return None
                if packet[0] & SYN and packet[2] == seq + 1:
                    got = packet
            if got is not None:
                break
        if got is None:
            return None
        server_seq, echo = got[1], got[4]
        gap = 0.2
        while True:
            self.send(key, ACK, seq + 1, server_seq + 1, echo, text)
            ends = now() + gap
            gap = min(2 * gap, 1.6)
            while now() < ends:
                try:
                    packet = await asyncio.wait_for(queue.get(), ends - now())
                except asyncio.TimeoutError:
                    break
                flags, pseq, pack, total, pecho, data, _ = packet
                if flags & RST:
                    self.world.on_reset(key, text, total)
                    return None
                if flags & SYN:
                    continue
                echo = pecho
                if data:
                    end = pseq + len(data) + 1
                    self.send(key, ACK | FIN, seq + 1 + len(text), end, echo)
                    return data


class World:
    """A small deployment; a case derives from it."""

    zones = ('alfold-a', 'alfold-b', 'alfold-c')
    fronts = (3, 2, 2)

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.net = _free_net()
        self.store = Store((f'127.{self.net}.200.1', STORE_PORT))
        self.servers, self.clients, self.entries, self._tasks = [], [], [], []

    # Hooks of the stand-ins, for cases.
    def on_server_packet(self, *args): ...
    def on_taken(self, server, key, seq, copy, taken_s, address): ...
    def on_open(self, server, key): ...
    def on_run(self, server, key, data): ...
    def on_client_syn(self, key, text, copy, node): ...
    def on_refused(self, key, text): ...
    def on_reset(self, key, text, total): ...

    def to_client(self, server, key, packet):
        server.send_raw(key, packet)

    def route_packet(self, zone, key):
        """Select a node in rotation by a hash, as the routers do (`mod`)."""
        nodes = [e for e in self.entries if e.zone == zone]
        ready = [e for e in nodes if e.in_rotation]
        if 2 * len(ready) < len(nodes):
            ready = nodes if ready else []
        if not ready:
            ready = [e for e in self.entries if e.in_rotation]
        if not ready:
            return None
        return ready[zlib.crc32(repr(key).encode()) % len(ready)]

    async def start(self):
        await self.store.start()
        for server in self.servers:
            await server.start()
        for number, zone in enumerate(self.zones, 1):
            client = Client(self, zone, number)
            await client.start()
            self.clients.append(client)
        number = 0
        for zone, count in zip(self.zones, self.fronts, strict=True):
            for _ in range(count):
                number += 1
                self.entries.append(Entry(self, number, zone))
        seeds = [f'{e.host}:8166' for e in self.entries[:3]]
        for entry in self.entries:
            entry.write_settings(seeds)
            await entry.start()
            self.spawn(entry.probe())

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.append(task)
        return task

    async def until_ready(self):
        ends = now() + 20
        while not all(e.in_rotation for e in self.entries):
            if now() > ends:
                raise RuntimeError('the entry processes did not become ready')
            await asyncio.sleep(0.1)

    async def close(self):
        for task in self._tasks:
            task.cancel()
        for entry in self.entries:
            if entry.process is not None and entry.process.returncode is None:
                entry.process.kill()
                await entry.process.wait()
        for each in (*self.servers, *self.clients):
            each.close()
        if os.environ.get('KEEP_LOGS'):
            sys.stderr.write(f'{self.folder}\n')
        else:
            shutil.rmtree(self.folder)


class ColdWorld(World):
    """Judges FAILBACK while clients open a flow for each request.

    A case sets the class attributes and defines `trouble`.
    """

    service = 'fokonyv'
    route = ('198.18.0.1', 8443)
    #: Zones of the targets, in order.
    targets = World.zones
    #: Zones of the clients.
    asking = World.zones
    rate_per_s = 180
    work_s = 0.04
    warmup_s, warmup_per_s = 2.0, 0.0
    cold_over, cold_slack = 1.5, 5

    def __init__(self, case_folder):
        super().__init__(case_folder)
        self.servers = [
            Server(self, number, self.service, zone, work_s=self.work_s)
            for number, zone in enumerate(self.targets, 1)
        ]
        self.takes, self.syns = [], {}
        self.sent = self.answered = 0

    async def trouble(self):
        raise NotImplementedError

    def on_client_syn(self, key, text, copy, node):
        self.syns[key, copy] = now(), node.name if node else '-'

    def on_taken(self, server, key, seq, copy, taken_s, address):
        if taken_s < server.cold_until:
            sent_s, node = self.syns[key, copy]
            self.takes.append((server.name, sent_s, taken_s))
            self.record(f'{server.name}, cold, takes {key[1]} through {node}')

    def on_run(self, server, key, data):
        self.record(f'{server.name} runs {data.decode()}')

    async def _one(self, client, text):
        self.sent += 1
        self.record(f'sent {text}')
        answer = await client.request(self.route, text)
        if answer is not None:
            self.answered += 1
            self.record(f'answered {text}')

    async def _load(self):
        clients = [each for each in self.clients if each.zone in self.asking]
        due = now()
        while True:
            due += random.expovariate(self.rate_per_s)
            await asyncio.sleep(max(0, due - now()))
            self.spawn(self._one(random.choice(clients), f'r{self.sent}'))

    async def start(self):
        routes = [(*self.route, 'safe', self.service)]
        cfg = configuration(7, routes, [self.service], self.warmup_per_s)
        self.store.put('op/config', cfg)
        await super().start()

    async def run(self):
        await asyncio.sleep(2)
        load = self.spawn(self._load())
        await asyncio.sleep(6)
        await self.trouble()
        await asyncio.sleep(4)
        load.cancel()
        await asyncio.sleep(1)
        worst, name = max(
            (
                (
                    sum(
                        other == name and sent >= first and taken <= first + 1
                        for other, sent, taken in self.takes
                    ),
                    name,
                )
                for name, first, _ in self.takes
            ),
            default=(0, '-'),
        )
        bound = self.warmup_per_s * self.cold_over + self.cold_slack
        text = (
            f'sent {self.sent}, answered {self.answered}; most requests in a '
            f'second to a cold target: {worst} ({name}), bound {bound}'
        )
        self.record(text)
        print(text)
        return worst > bound


def configuration(version, routes, services, warmup_per_s=0.0):
    """Return op/config: rows of host, port, kind and service."""
    limits = {
        'max_header_bytes': 16384, 'max_body_bytes': 262144,
        'header_timeout_ms': 3000, 'idle_timeout_ms': 15000,
    }
    return json.dumps({
        'version': version,
        'routes': [
            {
                'name': f'r-{host}-{port}', 'host': host, 'prefix': f'/{port}/',
                'kind': kind, 'timeout_ms': 4000, 'aim_ms': 250, 'priority': 1,
                'service': service, 'max_attempts': 2,
            }
            for host, port, kind, service in routes
        ],
        'services': [
            {
                'name': name, 'health_path': '/health', 'max_conns': 2000,
                'protocol': 'h1', 'tls': False, 'warmup_s': 2.0,
                'warmup_per_s': warmup_per_s,
            }
            for name in services
        ],
        'limits': limits,
    }).encode()


def _free_net():
    """Return N so that nothing listens in 127.N.0.0/16 on our ports."""
    for net in random.sample(range(20, 250), 200):
        hosts = [f'127.{net}.{n}.10' for n in range(1, 10)]
        hosts += [f'127.{net}.200.1']
        try:
            for host in hosts:
                for port in (PACKET_PORT, READY_PORT, PEER_PORT, METRICS_PORT,
                             STORE_PORT):
                    with socket.socket() as sock:
                        sock.bind((host, port))
        except OSError:
            continue
        return net
    raise RuntimeError('no free loopback network')


def main(world_class):
    """Run a case: exit 1 if the rule was broken, 0 if it held, 2 if not run."""
    folder = pathlib.Path(sys.argv[1])

    async def run():
        world = world_class(folder)
        try:
            await world.start()
            await world.until_ready()
            return await world.run()
        finally:
            await world.close()
            world.record.close()

    try:
        broken = asyncio.run(asyncio.wait_for(run(), 115))
    except BaseException as exc:  # noqa: BLE001
        sys.stderr.write(f'could not run: {exc!r}\n')
        sys.exit(2)
    sys.exit(1 if broken else 0)
