"""Stand-ins of the platform for the review's scripts: store, workers, clients.

Everything runs in one asyncio process, on loopback addresses and the real
clock, with the standard library only. The scheduler processes are started with
the command and the template of the deploy file.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import sys
import time
import tomllib
import traceback
from pathlib import Path
from urllib.parse import parse_qsl, unquote

ROOT = Path(__file__).resolve().parents[2]
HOST = '127.0.0.1'
CONFIG_HOST = 'queues.example'


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Reset(Exception):
    """Raised by a handler that breaks the connection without an answer."""


class HttpServer:
    """Minimal HTTP/1.1 server; the handler returns a status and a document."""

    def __init__(self, handler, port=0, max_connections=10_000):
        self.handler = handler
        self.port = port or free_port()
        self.address = f'{HOST}:{self.port}'
        self.max_connections = max_connections
        self.writers = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, backlog=1024
        )

    def drop_connections(self):
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def stop(self):
        if self._server is not None:
            self._server.close()
            self.drop_connections()
            self._server = None

    async def _serve(self, reader, writer):
        if len(self.writers) >= self.max_connections:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode('latin-1').split('\r\n')
                method, target, _ = lines[0].split(' ', 2)
                fields = {}
                for line in lines[1:]:
                    name, _, text = line.partition(':')
                    if name:
                        fields[name.lower()] = text.strip()
                length = int(fields.get('content-length', 0))
                body = await reader.readexactly(length) if length else b''
                status, document = await self.handler(
                    method, target, fields, body
                )
                payload = json.dumps(document).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n'
                    f'content-length: {len(payload)}\r\n\r\n'.encode() + payload
                )
                await writer.drain()
        except Reset:
            writer.transport.abort()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(address, method, path, document=None, fields=(), timeout_s=3.0):
    """Send a request on a new connection; ``None`` if it is not answered."""
    host, _, port = address.rpartition(':')
    body = b'' if document is None else json.dumps(document).encode()
    lines = [f'{method} {path} HTTP/1.1', f'Host: {CONFIG_HOST}']
    lines += [f'{name}: {text}' for name, text in fields]
    if body:
        lines.append('Content-Type: application/json')
    lines.append(f'Content-Length: {len(body)}')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
            await writer.drain()
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            status = int(head.split(' ', 2)[1])
            match = re.search(r'(?i)content-length: *(\d+)', head)
            raw = await reader.readexactly(int(match[1])) if match else b''
            return status, json.loads(raw) if raw else {}
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


class Store:
    """Row store of PROTOCOL.md with its limits on calls and rows."""

    max_call_bytes = 1_000_000
    max_entries = 100
    row_bytes = 65536
    tx_s = 0.005
    read_s = 0.004
    history_s = 20.0

    def __init__(self, log):
        self.log = log
        self.rows = {}
        self.version = 0
        self.changes = []
        self.lost_up_to = 0
        self.changed = asyncio.Event()
        self.mode = 'ok'
        self.refused_calls = 0
        self.biggest_call = 0
        self.server = HttpServer(self._handle)
        self._part_free_at = {}

    def write(self, table, key, document):
        """Write a row on behalf of the operator or a worker."""
        self._apply([((table, '', key), json.dumps(document).encode())])

    def remove(self, table, key):
        self._apply([((table, '', key), None)])

    def _apply(self, writes):
        self.version += 1
        now = time.monotonic()
        for name, value in writes:
            if value is None:
                self.rows.pop(name, None)
            else:
                self.rows[name] = (self.version, value)
            self.changes.append((self.version, now, name))
        while self.changes and now - self.changes[0][1] > self.history_s:
            self.lost_up_to = self.changes.pop(0)[0]
        self.changed.set()
        self.changed = asyncio.Event()

    async def _handle(self, method, target, fields, body):
        if self.mode == 'silent':
            await asyncio.sleep(3600)
        refusal = self._check_mode()
        if refusal:
            return refusal
        path, _, query = target.partition('?')
        parameters = dict(parse_qsl(query, keep_blank_values=True))
        if path == '/rows-get':
            await asyncio.sleep(self.read_s)
            return 200, self._read(parameters)
        if path == '/rows-feed':
            return await self._feed(parameters)
        if path == '/rows-tx':
            return await self._transact(body)
        return 404, {}

    def _encode(self, name):
        row = self.rows.get(name)
        document = {'table': name[0], 'part': name[1], 'key': name[2]}
        if row is None:
            return {**document, 'tombstone': True, 'ver': self.version}
        document['ver'] = row[0]
        document['value'] = base64.b64encode(row[1]).decode()
        return document

    def _page(self, rows, has_more=False):
        return {
            'rows': rows,
            'ver': self.version,
            'now_ms': int(time.monotonic() * 1000),
            'more_pages': has_more,
        }

    def _read(self, parameters):
        place = (parameters['table'], parameters.get('part', ''))
        first, end = parameters.get('from', ''), parameters.get('to', '')
        limit = min(int(parameters.get('limit') or 500), 500)
        names = sorted(
            (name for name in self.rows if name[:2] == place
             and name[2] >= first and (not end or name[2] < end)),
            key=lambda name: name[2].encode(),
        )
        rows, size = [], 0
        for name in names:
            size += len(self.rows[name][1])
            if len(rows) >= limit or (rows and size > 1_000_000):
                return self._page(rows, True)
            rows.append(self._encode(name))
        return self._page(rows)

    async def _feed(self, parameters):
        after = int(parameters['after'])
        ends_at = time.monotonic() + min(int(parameters['wait_ms']), 30000) / 1e3
        while True:
            if after < self.lost_up_to:
                return 410, {}
            latest = {
                name: version for version, _, name in self.changes
                if version > after and name[0] == parameters['table']
            }
            if latest:
                names = sorted(latest, key=latest.get)
                page = self._page([self._encode(name) for name in names])
                await asyncio.sleep(self.read_s)
                return self._check_mode() or (200, page)
            remaining = ends_at - time.monotonic()
            if remaining <= 0:
                return 200, self._page([])
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except TimeoutError:
                pass
            refusal = self._check_mode()
            if refusal:
                return refusal

    def _check_mode(self):
        if self.mode == 'reset':
            raise Reset
        return None if self.mode == 'ok' else (503, {})

    async def _transact(self, body):
        self.biggest_call = max(self.biggest_call, len(body))
        if len(body) > self.max_call_bytes:
            self.refused_calls += 1
            self.log('store-refused', bytes=len(body), why='over 1 MB')
            return 413, {}
        wire = json.loads(body)
        writes = [
            ((row['table'], row['part'], row['key']),
             base64.b64decode(row['value']))
            for row in wire.get('writes', [])
        ]
        writes += [
            ((row['table'], row['part'], row['key']), None)
            for row in wire.get('remove', [])
        ]
        expected = [
            ((row['table'], row['part'], row['key']), row['ver'])
            for row in wire.get('expected_rev', [])
        ]
        if len(writes) + len(expected) > self.max_entries:
            return 400, {}
        if any(name[0] in {'op', 'servers'} for name, _ in writes):
            return 403, {}
        parts = {name[1] for name, _ in (*writes, *expected)}
        if len(parts) > 1:
            return 400, {}
        for name, value in writes:
            if value is not None and len(value) > self.row_bytes:
                self.refused_calls += 1
                self.log('store-refused', bytes=len(value), why='row over row_bytes')
                return 413, {}
        part = next(iter(parts), '')
        now = time.monotonic()
        free_at = max(self._part_free_at.get(part, 0), now) + self.tx_s
        if free_at - now > 1:
            return 429, {}
        self._part_free_at[part] = free_at
        await asyncio.sleep(free_at - now)
        refusal = self._check_mode()
        if refusal:
            return refusal
        for name, version in expected:
            row = self.rows.get(name)
            if (row[0] if row else 0) != version:
                return 412, self._page(
                    [self._encode(one) for one, _ in expected if one in self.rows]
                )
        self._apply(writes)
        return 200, {'ver': self.version, 'now_ms': int(now * 1000)}


class Run:
    def __init__(self, run, need, duration_s, saves):
        self.run = run
        self.saves = saves
        self.need = need
        self.duration_s = duration_s
        self.started_at = time.monotonic()
        self.stop_at = None

    def checkpoint(self):
        """A new value with each checkpoint_s of work."""
        count = int((time.monotonic() - self.started_at) / 0.5)
        return f'{count:016x}' if self.saves and count else ''


class Worker:
    """Worker of PROTOCOL.md that guards its room and simulates its tasks.

    ``spec`` of a job is JSON: ``ms`` gives the duration of the tasks of each
    step in milliseconds, 0 for tasks that last; ``need`` the CPU and memory of
    the tasks of each step; ``saves`` whether they save checkpoints.
    """

    stop_s = 0.05

    def __init__(self, deployment, worker_id, number, room, rack_size=8):
        self.deployment = deployment
        self.worker_id = worker_id
        self.room = room
        self.labels = ['a', f'r1-{number // rack_size}']
        self.service = 'turni'
        self.zone = ('bergamo', 'torino', 'milano')[number % 3]
        self.server = HttpServer(self._handle, max_connections=64)
        self.is_up = True
        self.state = 'ready'
        self.seq = 0
        self.delay_order = None
        self.leaves_at = 0
        self.begin()

    def begin(self):
        self.born_at = time.monotonic()
        self.born_ms = int(time.time() * 1000)
        self.fence = 0
        self.lease_end_ms = 0
        self.runs = {}
        self.ends = []
        self.last_end = 0
        self.highest = {}
        self.is_lapsed = True
        self.changed = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.born_at) * 1000) + 1000

    def entry(self):
        self.seq += 1
        return {
            'service': self.service, 'address': self.server.address,
            'zone': self.zone, 'version': '1', 'slots': 8, 'state': self.state,
            'cold_remaining_ms': 0, 'seq': self.seq, 'born': self.born_ms,
            'room': self.room, 'labels': self.labels, 'remaining_ms': 0,
            'machine': f'm-{self.worker_id}', 'clock_ms': self.clock_ms(),
        }

    def remaining_ms(self):
        return max(int((self.leaves_at - time.monotonic()) * 1000), 0)

    def used_cpu(self):
        return sum(run.need[0] for run in self.runs.values())

    def used_mem(self):
        return sum(run.need[1] for run in self.runs.values())

    def tick(self):
        now = time.monotonic()
        if self.clock_ms() > self.lease_end_ms and not self.is_lapsed:
            self.is_lapsed = True
            self.deployment.on_lapse(self)
            for task in tuple(self.runs):
                self.end(task, 'lapsed')
        for task, run in tuple(self.runs.items()):
            if run.stop_at is not None and now >= run.stop_at:
                self.end(task, 'stopped')
            elif run.duration_s and now - run.started_at >= run.duration_s:
                self.end(task, 'done')

    def end(self, task, how):
        run = self.runs.pop(task)
        self.last_end += 1
        self.ends.append([self.last_end, task, run.run, how, run.checkpoint()])
        self.deployment.on_end(self, task, run.run, how, self.last_end)
        self.changed.set()
        self.changed = asyncio.Event()

    def extend(self, deadline_ms):
        longest = self.clock_ms() + self.deployment.bounds['hold_max_ms']
        self.lease_end_ms = max(self.lease_end_ms, min(deadline_ms, longest))
        if self.lease_end_ms >= self.clock_ms():
            self.is_lapsed = False

    def say(self, **more):
        return {'clock_ms': self.clock_ms(), 'born': self.born_ms, **more}

    async def _handle(self, method, target, fields, body):
        if fields.get('x-ragwortfield-expected-instance') != self.worker_id:
            return 421, self.say()
        if target == '/healthz':
            return 200, {}
        order = json.loads(body)
        if self.delay_order is not None:
            delay = self.delay_order(target, order)
            if delay is not None:
                asyncio.create_task(self._carry_out_late(target, order, delay))
                await asyncio.sleep(3600)
        return await self._carry_out(target, order)

    async def _carry_out_late(self, target, order, delay_s):
        life = self.born_at
        await asyncio.sleep(delay_s)
        if life == self.born_at and self.is_up:
            await self._carry_out(target, {**order, 'wait_ms': 0})

    async def _carry_out(self, target, order):
        self.tick()
        if order['fence_token'] < self.fence:
            return 409, self.say(reason='fence')
        self.fence = order['fence_token']
        if target == '/hold':
            return await self._hold(order)
        task, run = order['task'], order['run']
        if target == '/run-stop':
            self.highest[task] = max(self.highest.get(task, 0), run)
            current = self.runs.get(task)
            if current is not None and current.run <= run:
                current.stop_at = current.stop_at or time.monotonic() + self.stop_s
            return 200, self.say()
        if target == '/pace':
            return 200, self.say()
        return self._start(task, run, order)

    def _start(self, task, run, order):
        current = self.runs.get(task)
        if current is not None and current.run == run:
            return 200, self.say()
        if order['deadline_ms'] < self.clock_ms():
            return 409, self.say(reason='late')
        self.extend(order['deadline_ms'])
        if run <= self.highest.get(task, 0):
            return 409, self.say(reason='old')
        plan = json.loads(order['spec'])
        step = int(task.split('.')[2])
        need = plan['need'][step]
        if (self.used_cpu() + need[0] > self.room['cpu']
                or self.used_mem() + need[1] > self.room['mem_mb']):
            return 409, self.say(reason='room')
        self.highest[task] = run
        self.runs[task] = Run(
            run, need, plan['ms'][step] / 1e3, plan.get('saves', False)
        )
        self.deployment.on_start(self, task, run, order)
        return 200, self.say()

    async def _hold(self, order):
        if order.get('deadline_ms'):
            self.extend(order['deadline_ms'])
        cursor = order.get('ack_cursor') or 0
        for one in self.ends:
            if one[0] <= cursor:
                self.deployment.on_noted(self, one)
        self.ends = [one for one in self.ends if one[0] > cursor]
        ends_at = time.monotonic() + min(order.get('wait_ms', 0), 2000) / 1e3
        while not self.ends:
            remaining = ends_at - time.monotonic()
            if remaining <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except TimeoutError:
                pass
        self.tick()
        now = time.monotonic()
        running = [
            [task, run.run, run.checkpoint(),
             100 if not run.duration_s else
             min(int(100 * (now - run.started_at) / run.duration_s), 99), 0]
            for task, run in self.runs.items()
        ]
        return 200, self.say(running=running, ended=self.ends[:500])


class Deployment:
    """Store, workers and scheduler processes, and a record of what they do."""

    bounds = {
        'seed_lag_s': 3, 'reuse_after_s': 2, 'contact_ms': 3000,
        'ack_timeout_ms': 4000, 'catch_up_s': 4, 'drain_ms': 2500, 'grace_s': 6,
        'loss_slack_ms': 200, 'config_apply_ms': 2500, 'hold_max_ms': 10000,
        'stop_ms': 200, 'gang_ms': 3000, 'cancel_ms': 3000, 'visible_ms': 3000,
        'finish_s': 14, 'status_s': 120,
    }
    heartbeat_s = 1.5

    def __init__(self, record_path):
        self.began_at = time.monotonic()
        self.record = open(record_path, 'w', encoding='utf-8')
        self.store = Store(self.log)
        self.workers = {}
        self.nodes = {}
        self.settings = {}
        self.starts = []
        self.ends = []
        self.noted = []
        self.lapses = []
        self.jobs = {}
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self._tasks = []

    def now(self):
        return time.monotonic() - self.began_at

    def log(self, kind, **fields):
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self.record.write(f'{self.now():8.3f} {kind} {text}\n')

    def on_start(self, worker, task, run, order):
        self.starts.append((self.now(), worker.worker_id, task, run, order))
        self.log('start', worker=worker.worker_id, task=task, run=run,
                 fence=order['fence_token'])

    def on_end(self, worker, task, run, how, number):
        self.ends.append((self.now(), worker.worker_id, task, run, how, number))
        self.log('end', worker=worker.worker_id, task=task, run=run, how=how)

    def on_noted(self, worker, end):
        self.noted.append((self.now(), worker.worker_id, end[1], end[2], end[3]))
        self.log('noted', worker=worker.worker_id, task=end[1], run=end[2],
                 how=end[3])

    def on_lapse(self, worker):
        self.lapses.append((self.now(), worker.worker_id))
        self.log('lease-lapsed', worker=worker.worker_id)

    def config(self, version=1, queues=None, services=('turni',)):
        """Write a configuration; ``queues`` gives the service of each."""
        self.store.write('op', 'config', {
            'version': version,
            'routes': [{
                'name': name, 'host': CONFIG_HOST,
                'path_prefix': f'/{name}/', 'service': service,
                'priority': 0, 'attempts': 3, 'stretch': 2.0,
                'target_latency_ms': 1000,
            } for name, service in (queues or {'jobs': 'turni'}).items()],
            'services': [{'name': name, 'enforces_capacity': True}
                         for name in services],
            'limits': {},
        })
        self.log('configuration', version=version, queues=queues)

    async def start(self, nodes, workers, cpu=32000, mem_mb=128000,
                    worker_name='i-{:08x}'.format, kinds=None, cpu_share=0.43,
                    services=None):
        self.cpu_share = cpu_share
        await self.store.server.start()
        for number in range(workers):
            worker_id = worker_name(0x7F3A91C2 + 7919 * number)
            worker = Worker(self, worker_id, number,
                            {'cpu': cpu, 'mem_mb': mem_mb, 'gpu': 0})
            worker.labels[0] = (kinds or {}).get(number, 'a')
            worker.service = (services or {}).get(number, 'turni')
            await worker.server.start()
            self.workers[worker_id] = worker
        self._tasks.append(asyncio.create_task(self._beat()))
        self._tasks.append(asyncio.create_task(self._tick()))
        self.config()
        await asyncio.sleep(0.1)
        for number in range(nodes):
            self.start_node(f'edge-{number}')
        await self.wait_ready()

    async def _beat(self):
        while True:
            for worker in self.workers.values():
                if worker.is_up:
                    self.store.write('servers', worker.worker_id, worker.entry())
            await asyncio.sleep(self.heartbeat_s)

    async def _tick(self):
        while True:
            for worker in self.workers.values():
                if worker.is_up:
                    worker.tick()
            await asyncio.sleep(0.01)

    def _settings(self, name):
        if name not in self.settings:
            ports = [free_port() for _ in range(3)]
            self.settings[name] = {
                'node': name, 'zone': 'bergamo', 'region': 'lombardia',
                'ip': HOST, 'port_range': [ports[2], ports[2]],
                'listen': {'front': f'{HOST}:{ports[0]}',
                           'ready': f'{HOST}:{ports[1]}'},
                'limits': {'cpu_share': self.cpu_share, 'cores': 1,
                           'memory_mb': 300},
                'platform': {'address': self.store.server.address},
                'cloud': {}, 'advice': '', 'bounds': self.bounds,
            }
        return self.settings[name]

    def start_node(self, name):
        """Start a process with the command and template of the deploy file."""
        role = tomllib.loads(
            (ROOT / 'deploy/system.toml').read_text())['roles']['entry']
        settings = self._settings(name)

        def find(name):
            found = settings
            for part in name.split('.'):
                if isinstance(found, list):
                    found = found[int(part)]
                else:
                    found = found.get(part, '')
            return str(found)

        template = (ROOT / role['template']).read_text()
        path = self.folder / f'{name}.toml'
        # A section is left out where its field has no value.
        template = re.sub(
            r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}',
            lambda match: match[2] if find(match[1]) else '',
            template,
            flags=re.DOTALL,
        )
        path.write_text(
            re.sub(
                r'\{\{([\w.]+)\}\}',
                lambda match: find(match[1]),
                template,
            )
        )
        log = open(self.folder / f'{name}.log', 'ab')
        self.nodes[name] = subprocess.Popen(
            role['run'].split(), cwd=ROOT, stdout=log, stderr=log,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'LANG': os.environ.get('LANG', 'C.UTF-8'),
                'PYTHONPATH': 'target/deps',
                'PYTHONDONTWRITEBYTECODE': '1',
                'RAGWORTFIELD_BOOT': str(path),
            },
        )
        log.close()
        self.log('process-started', node=name)

    def front(self, name):
        return self.settings[name]['listen']['front']

    async def lose_worker(self, worker):
        """Lose a worker for good; its entry expires after three heartbeats."""
        worker.is_up = False
        for task, run in tuple(worker.runs.items()):
            self.log('lost', worker=worker.worker_id, task=task, run=run.run)
        worker.runs.clear()
        await worker.server.stop()
        self.log('worker-lost', worker=worker.worker_id)
        await asyncio.sleep(3 * self.heartbeat_s)
        self.store.remove('servers', worker.worker_id)

    async def drain_worker(self, worker, drain_s=2.5):
        """Have a worker drain and leave, as before a planned shutdown."""
        worker.state = 'draining'
        worker.leaves_at = time.monotonic() + drain_s
        self.store.write('servers', worker.worker_id, worker.entry())
        self.log('worker-draining', worker=worker.worker_id)
        await asyncio.sleep(drain_s + 0.5)
        worker.is_up = False
        worker.runs.clear()
        await worker.server.stop()
        self.store.remove('servers', worker.worker_id)
        self.log('worker-left', worker=worker.worker_id)

    async def wait_ready(self, timeout_s=25):
        deadline = time.monotonic() + timeout_s
        for name in self.nodes:
            while True:
                answer = await call(self.front(name), 'GET', '/jobs/')
                if answer is not None and answer[0] == 200:
                    break
                if time.monotonic() > deadline:
                    raise TimeoutError(f'{name} does not serve')
                await asyncio.sleep(0.1)

    def owner(self):
        """Name of the running process that loaded the shard last."""
        found = ('', None)
        for name, process in self.nodes.items():
            if process.poll() is not None:
                continue
            for line in (self.folder / f'{name}.log').read_text().splitlines():
                if 'event=shard_loaded' in line:
                    epoch = int(re.search(r'epoch=(\d+)', line)[1])
                    if found[1] is None or epoch > found[1]:
                        found = (name, epoch)
        return found[0]

    async def submit(self, job_id, steps, ms, nodes=None, retries=4, **more):
        """Hand a job in as a client does; returns whether it was accepted."""
        spec = json.dumps({
            'ms': ms,
            'need': [[step.get('cpu', 0), step.get('mem_mb', 0)]
                     for step in steps],
            'saves': any(step.get('saves_progress') for step in steps),
        })
        names = list(nodes or self.nodes)
        job = {'steps': steps, 'spec': spec, 'answers': [], 'accepted_at': None,
               'sent_at': self.now(), 'cancelled_at': None}
        self.jobs[job_id] = job
        for attempt in range(retries + 1):
            name = names[(int(job_id, 16) + attempt) % len(names)]
            answer = await call(
                self.front(name), 'POST', f'/jobs/{job_id}',
                {'spec': spec, 'steps': steps, **more},
                [('X-Ragwortfield-Deadline-Ms', '3000')],
            )
            status = answer[0] if answer else None
            job['answers'].append(status)
            self.log('submitted', job=job_id, node=name, answer=status)
            if status == 200:
                job['accepted_at'] = self.now()
                return True
            await asyncio.sleep(0.3)
        return False

    async def ask(self, job_id, name):
        answer = await call(
            self.front(name), 'GET', f'/jobs/{job_id}', None,
            [('X-Ragwortfield-Deadline-Ms', '3000')],
        )
        self.log('asked', job=job_id, node=name, answer=answer)
        return answer

    async def cancel(self, job_id, name):
        answer = await call(
            self.front(name), 'DELETE', f'/jobs/{job_id}', None,
            [('X-Ragwortfield-Deadline-Ms', '3000')],
        )
        self.log('cancelled', job=job_id, node=name, answer=answer)
        if answer and answer[0] == 200:
            self.jobs[job_id]['cancelled_at'] = self.now()
        return answer

    def running(self):
        return {
            task: (worker.worker_id, run.run)
            for worker in self.workers.values()
            for task, run in worker.runs.items()
        }

    def done_tasks(self):
        return {end[2] for end in self.ends if end[4] == 'done'}

    def idle_jobs(self):
        """
        Jobs that LOST means: nothing runs, a task's turn has come, there is
        room for it twice over, and under half of the capacity is in use.
        """
        workers = [one for one in self.workers.values() if one.is_up]
        total = sum(one.room['cpu'] for one in workers)
        used = sum(one.used_cpu() for one in workers)
        if used * 2 >= total:
            return set()
        done = self.done_tasks()
        running_jobs = {task.split('.')[0] for task in self.running()}
        idle = set()
        for job_id, job in self.jobs.items():
            if (job['accepted_at'] is None or job['cancelled_at'] is not None
                    or job_id in running_jobs):
                continue
            finished = [
                all(f'{job_id}.0.{number}.{index}' in done
                    for index in range(step['count']))
                for number, step in enumerate(job['steps'])
            ]
            for number, step in enumerate(job['steps']):
                if finished[number]:
                    continue
                if not all(finished[one] for one in step.get('after', [])):
                    continue
                cpu, mem = step.get('cpu', 0), step.get('mem_mb', 0)
                label = step.get('required_label')
                places = sum(
                    0 if label and label not in one.labels else
                    min((one.room['cpu'] - one.used_cpu()) // max(cpu, 1),
                        (one.room['mem_mb'] - one.used_mem()) // max(mem, 1))
                    for one in workers
                )
                if places >= 2:
                    idle.add(job_id)
        return idle

    async def watch_idle(self, for_s, limit_s=3.0):
        """Watch for jobs that stay idle for ``limit_s``; returns them."""
        since, lost = {}, {}
        ends_at = time.monotonic() + for_s
        while time.monotonic() < ends_at:
            idle = self.idle_jobs()
            now = self.now()
            since = {job: since.get(job, now) for job in idle}
            for job, began in since.items():
                if now - began >= limit_s:
                    lost[job] = now - began
            await asyncio.sleep(0.1)
        return lost

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        for process in self.nodes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for worker in self.workers.values():
            await worker.server.stop()
        await self.store.server.stop()
        self.record.close()


def run_case(record_path, play):
    """
    Run a case and exit with its status; 2 if it could not run.

    ``play`` takes the deployment and whether the disruption is wanted, and
    returns the status.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def run():
        deployment = Deployment(record_path)
        try:
            return await play(deployment, trouble)
        except Exception as error:
            traceback.print_exc()
            deployment.log('not-run', why=repr(error))
            return 2
        finally:
            await deployment.stop()

    sys.exit(asyncio.run(run()))
