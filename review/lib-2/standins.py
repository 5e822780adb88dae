"""Stand-ins of store, workers and clients for the scripts of the second review.

They speak the published protocol on loopback addresses and use only the
standard library. The processes under test are started as the deploy file says.
"""

import asyncio
import base64
import json
import os
import re
import resource
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

HOST = '127.0.0.1'
REPOSITORY = Path(__file__).resolve().parents[2]
#: Limits of the store, as the pages state them.
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
MAX_ROW_BYTES = 65536
MAX_PAGE_ROWS = 500
TRANSACTION_S = 0.005
#: Descriptors of a process in the small sites.
MAX_DESCRIPTORS = 4100
#: Answers of a handler that are no responses.
SILENT = 'silent'
RESET = 'reset'


class Record:
    """Writes what was sent, answered and run, with the time."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w', encoding='utf-8')
        self.started_at = time.monotonic()

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, text):
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()


def _limit_descriptors():
    """Apply the `max_fds` of the small sites to a process of the system."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = min(MAX_DESCRIPTORS, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))


def free_port():
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


def _reset(writer):
    sock = writer.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()


async def read_message(reader):
    """Read one request or response; ``None`` at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')
    fields = {}
    for line in lines:
        if ':' in line:
            name, _, text = line.partition(':')
            fields[name.strip().lower()] = text.strip()
    body = b''
    length = int(fields.get('content-length', 0))
    if length:
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return first, fields, body


class HttpServer:
    """HTTP/1.1 server; ``handler`` returns a status and a document."""

    def __init__(self, handler, max_connections=0):
        self._handler = handler
        self._max_connections = max_connections
        self.over_cap = 0
        self.most_connections = 0
        self._server = None
        self._writers = set()
        self.address = ''

    async def start(self, port=0):
        self._server = await asyncio.start_server(
            self._serve, HOST, port, limit=2**24, backlog=512
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{HOST}:{port}'
        return port

    def stop(self):
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            _reset(writer)

    def count_connections(self):
        return len(self._writers)

    async def _serve(self, reader, writer):
        if 0 < self._max_connections <= len(self._writers):
            self.over_cap += 1
            _reset(writer)
            return
        self._writers.add(writer)
        self.most_connections = max(self.most_connections, len(self._writers))
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                first, fields, body = message
                method, path, _ = first.split(' ', 2)
                answer = await self._handler(method, path, fields, body)
                if answer == RESET:
                    _reset(writer)
                    return
                if answer == SILENT:
                    # The connection delivers nothing further.
                    await asyncio.sleep(3600)
                    return
                status, document = answer
                payload = json.dumps(document).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n'
                    f'content-length: {len(payload)}\r\n\r\n'.encode() + payload
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store:
    """
    The platform's store.

    ``mode`` is ``up``, ``busy`` (503) or ``reset``; ``fault`` may decide about
    single calls: it gets path and body and returns ``None``, a mode, ``lost``
    or a delay in seconds after which the call is carried out without answer.
    """

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.history = []
        self.version = 0
        self.mode = 'up'
        self.fault = lambda path, body: None
        self.refused_calls = []
        self._changed = asyncio.Event()
        self._parts = {}
        self.mode_by_entry = {}
        self.server = HttpServer(self._handle)
        self._servers = [self.server]

    async def listen_for(self, entry):
        """Return an address whose calls count as those of one machine."""

        async def handle(method, path, fields, body):
            mode = self.mode_by_entry.get(entry)
            if mode is not None:
                return (503, {}) if mode == 'busy' else mode
            answer = await self._handle(method, path, fields, body)
            mode = self.mode_by_entry.get(entry)
            if mode is not None and path.startswith('/rows-feed'):
                return (503, {}) if mode == 'busy' else mode
            return answer

        server = HttpServer(handle)
        await server.start()
        self._servers.append(server)
        return server.address

    def stop(self):
        for server in self._servers:
            server.stop()

    def put(self, table, part, key, content):
        """Write a row as the operator or a worker does."""
        self.version += 1
        self._write((table, part, key), content)
        self._notify()

    def get(self, table, part, key):
        found = self.rows.get((table, part, key))
        return None if found is None else found[1]

    def _write(self, name, content):
        if content is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = (self.version, content)
        self.history.append((self.version, name, content))

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, method, path, fields, body):
        url = urlsplit(path)
        query = dict(parse_qsl(url.query))
        decision = self.fault(url.path, body) or self.mode
        if decision == 'busy':
            return 503, {}
        if decision in (RESET, SILENT):
            return decision
        if isinstance(decision, float):
            asyncio.ensure_future(self._commit_late(decision, body))
            return SILENT
        if url.path == '/rows-get':
            return self._read(query)
        if url.path == '/rows-feed':
            return await self._feed(query)
        if url.path == '/rows-tx':
            answer = await self._commit(body)
            return SILENT if decision == 'lost' else answer
        return 404, {}

    async def _commit_late(self, delay_s, body):
        await asyncio.sleep(delay_s)
        await self._commit(body)

    def _encode(self, name, version, content):
        row = {'table': name[0], 'part': name[1], 'key': name[2], 'ver': version}
        if content is None:
            row['tombstone'] = True
        else:
            row['value'] = base64.b64encode(content).decode()
        return row

    def _read(self, query):
        table, part = query['table'], query.get('part', '')
        first, last = query.get('from', ''), query.get('to', '')
        names = sorted(
            name
            for name in self.rows
            if name[0] == table
            and name[1] == part
            and name[2] >= first
            and (not last or name[2] < last)
        )
        limit = min(int(query.get('limit', MAX_PAGE_ROWS)), MAX_PAGE_ROWS)
        rows, size = [], 0
        for name in names[:limit]:
            version, content = self.rows[name]
            size += len(content) * 4 // 3 + 100
            if rows and size > MAX_CALL_BYTES:
                break
            rows.append(self._encode(name, version, content))
        return 200, {
            'rows': rows,
            'more_pages': len(rows) < len(names),
            'ver': self.version,
            'now_ms': int(time.monotonic() * 1000),
        }

    async def _feed(self, query):
        table, after = query['table'], int(query.get('after', 0))
        deadline = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        while True:
            changes = {}
            for version, name, content in reversed(self.history):
                if version <= after:
                    break
                if name[0] == table:
                    changes.setdefault(name, (version, content))
            wait_s = deadline - time.monotonic()
            if changes or wait_s <= 0 or self.mode != 'up':
                break
            try:
                await asyncio.wait_for(self._changed.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        if self.mode == 'busy':
            return 503, {}
        if self.mode != 'up':
            return self.mode
        rows = sorted(
            (version, name, content)
            for name, (version, content) in changes.items()
        )
        return 200, {
            'rows': [
                self._encode(name, version, content)
                for version, name, content in rows
            ],
            'ver': self.version,
            'now_ms': int(time.monotonic() * 1000),
        }

    async def _commit(self, body):
        call = json.loads(body)
        expected = call.get('expected_rev', [])
        writes, removed = call.get('writes', []), call.get('remove', [])
        entries = [*expected, *writes, *removed]
        values = [base64.b64decode(row['value']) for row in writes]
        problem = ''
        if len(entries) > MAX_ENTRIES:
            problem = f'{len(entries)} entries'
        elif len(body) > MAX_CALL_BYTES:
            problem = f'{len(body)} bytes'
        elif any(len(value) > MAX_ROW_BYTES for value in values):
            problem = f'a row of {max(map(len, values))} bytes'
        elif any(row['table'] in ('op', 'servers') for row in writes + removed):
            return 403, {}
        if problem:
            self.refused_calls.append((time.monotonic(), problem))
            self.record.write(f'store: transaction refused with 400, {problem}')
            return 400, {'error': problem}
        part = entries[0].get('part', '') if entries else ''
        lock = self._parts.setdefault(part, asyncio.Lock())
        async with lock:
            await asyncio.sleep(TRANSACTION_S)
            current = []
            refused = False
            for row in expected:
                name = (row['table'], row.get('part', ''), row['key'])
                version, content = self.rows.get(name, (0, None))
                refused = refused or version != row['ver']
                if version:
                    current.append(self._encode(name, version, content))
            if refused:
                return 412, {'rows': current, 'ver': self.version}
            self.version += 1
            for row, value in zip(writes, values):
                self._write(
                    (row['table'], row.get('part', ''), row['key']), value
                )
            for row in removed:
                self._write(
                    (row['table'], row.get('part', ''), row['key']), None
                )
            self._notify()
        return 200, {'ver': self.version, 'now_ms': int(time.monotonic() * 1000)}


class Run:
    """Run of a task on a worker."""

    def __init__(self, run, spec, saved, work_s):
        self.run = run
        self.spec = spec
        self.saved = saved
        self.work_s = work_s
        self.started_at = time.monotonic()


class Worker:
    """
    Worker with its lease, fencing, runs and ends.

    :param spec_time: returns for a task and its spec how long it works, and
        how it ends.
    """

    def __init__(self, store, record, worker_id, pool, spec_time, **options):
        self.store, self.record = store, record
        self.worker_id, self.pool = worker_id, pool
        self.spec_time = spec_time
        self.cpu = options.get('cpu', 32000)
        self.mem_mb = options.get('mem_mb', 128000)
        self.hold_max_s = options.get('hold_max_s', 10)
        self.heartbeat_s = options.get('heartbeat_s', 1.5)
        self.labels = options.get('labels', ['a', 'r1'])
        self.fault = lambda path, call: None
        self.state = 'ready'
        self.seq = 0
        self.starts = []
        self.all_ends = []
        self.server = HttpServer(
            self._handle, options.get('max_connections', 64)
        )
        self._life()

    def _life(self):
        self.born_ms = int(time.time() * 1000)
        self.born_at = time.monotonic()
        self.token = 0
        self.lease_end_ms = 0.0
        self.runs, self.ends, self.highest = {}, [], {}
        self.last_end = 0
        self.lapses = []
        self.is_up = True
        self._ended = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.born_at) * 1000)

    async def start(self, phase=0.0):
        await self.server.start()
        self.loops = [
            asyncio.ensure_future(self._beat(phase)),
            asyncio.ensure_future(self._work()),
        ]

    async def _beat(self, phase):
        await asyncio.sleep(phase * self.heartbeat_s)
        while True:
            if self.is_up and self.store.mode == 'up':
                self._beat_now()
            await asyncio.sleep(self.heartbeat_s)

    def _beat_now(self):
        self.seq += 1
        self.store.put('servers', '', self.worker_id, self._entry(self.seq))

    def _entry(self, seq):
        return json.dumps(
            {
                'service': self.pool,
                'address': self.server.address,
                'zone': 'bergamo',
                'version': '1',
                'slots': 8,
                'state': self.state,
                **(
                    {'remaining_ms': 2500}
                    if self.state == 'draining'
                    else {}
                ),
                'cold_remaining_ms': 0,
                'seq': seq,
                'born': self.born_ms,
                'clock_ms': self.clock_ms(),
                'machine': f'm-{self.worker_id}',
                'room': {'cpu': self.cpu, 'mem_mb': self.mem_mb, 'gpu': 0},
                'labels': self.labels,
            }
        ).encode()

    async def _work(self):
        while True:
            await asyncio.sleep(0.01)
            self._expire()
            now = time.monotonic()
            for task, run in tuple(self.runs.items()):
                seconds, how = run.work_s
                if now - run.started_at >= seconds:
                    self._end(task, how)

    def _expire(self):
        if self.runs and self.clock_ms() > self.lease_end_ms:
            self.lapses.append(self.last_end)
            for task in tuple(self.runs):
                self._end(task, 'lapsed')

    def _end(self, task, how):
        run = self.runs.pop(task)
        self.last_end += 1
        saved = f'{int((time.monotonic() - run.started_at) * 1000):016x}'
        self.ends.append([self.last_end, task, run.run, how, saved])
        self.all_ends.append((time.monotonic(), task, run.run, how))
        self.record.write(
            f'worker {self.worker_id}: {task} run {run.run} ended {how}'
        )
        self._ended.set()

    async def _handle(self, method, path, fields, body):
        call = json.loads(body or b'{}')
        if not self.is_up:
            return RESET
        expected = fields.get('x-ragwortfield-expected-instance')
        if expected and expected != self.worker_id:
            return 421, {'clock_ms': self.clock_ms()}
        decision = self.fault(path, call)
        if decision in (SILENT, RESET):
            return decision
        if isinstance(decision, float):
            asyncio.ensure_future(self._later(decision, path, call))
            return SILENT
        answer = await self._carry_out(path, call)
        return SILENT if decision == 'lost' else answer

    async def _later(self, delay_s, path, call):
        born_ms = self.born_ms
        await asyncio.sleep(delay_s)
        if self.is_up and born_ms == self.born_ms:
            await self._carry_out(path, call)

    async def _carry_out(self, path, call):
        self._expire()
        token = call.get('fence_token', 0)
        if token < self.token:
            return 409, {'clock_ms': self.clock_ms(), 'reason': 'fence'}
        self.token = token
        if path == '/hold':
            return await self._hold(call)
        if path == '/run-start':
            return self._start(call)
        if path == '/run-stop':
            task, run = call['task'], call['run']
            self.highest[task] = max(self.highest.get(task, 0), run)
            if task in self.runs and self.runs[task].run <= run:
                self._end(task, 'stopped')
        return 200, {'clock_ms': self.clock_ms()}

    def _extend(self, deadline_ms):
        granted = min(deadline_ms, self.clock_ms() + self.hold_max_s * 1000)
        self.lease_end_ms = max(self.lease_end_ms, granted)

    def _start(self, call):
        task, number = call['task'], call['run']
        run = self.runs.get(task)
        if run is not None and run.run == number:
            return 200, {'clock_ms': self.clock_ms()}
        if call['deadline_ms'] < self.clock_ms():
            return 409, {'clock_ms': self.clock_ms(), 'reason': 'late'}
        self._extend(call['deadline_ms'])
        if number <= self.highest.get(task, 0):
            return 409, {'clock_ms': self.clock_ms(), 'reason': 'old'}
        self.highest[task] = number
        run = Run(
            number,
            call['spec'],
            call.get('last_checkpoint', ''),
            self.spec_time(task, call['spec']),
        )
        self.runs[task] = run
        self.starts.append((time.monotonic(), task, number))
        self.record.write(
            f'worker {self.worker_id}: {task} run {number} starts, '
            f'token {self.token}'
        )
        return 200, {'clock_ms': self.clock_ms()}

    async def _hold(self, call):
        if call.get('deadline_ms') is not None:
            self._extend(call['deadline_ms'])
        cursor = call.get('ack_cursor', 0)
        for end in self.ends:
            if end[0] <= cursor:
                late = ' after a lapse' if any(
                    last >= end[0] for last in self.lapses
                ) else ''
                self.record.write(
                    f'worker {self.worker_id}: end {end[0]} of {end[1]} run '
                    f'{end[2]} {end[3]} is taken note of{late}'
                )
        self.ends = [end for end in self.ends if end[0] > cursor]
        if not self.ends and call.get('wait_ms'):
            self._ended.clear()
            try:
                await asyncio.wait_for(
                    self._ended.wait(), min(call['wait_ms'], 2000) / 1000
                )
            except asyncio.TimeoutError:
                pass
        return 200, {
            'clock_ms': self.clock_ms(),
            'born': self.born_ms,
            'running': [
                [task, run.run, self._saved(run), self._percent(run), 0]
                for task, run in self.runs.items()
            ],
            'ended': self.ends[:500],
        }

    async def leave(self, drain_s):
        """Say that it drains, and exit a while after the store accepted it."""
        self.state = 'draining'
        self._beat_now()
        await asyncio.sleep(drain_s)
        self.is_up = False
        self.runs.clear()
        self.server.stop()
        self.store.put('servers', '', self.worker_id, None)
        for loop in self.loops:
            loop.cancel()

    def lose(self):
        """Crash for good: nothing answers any more."""
        self.is_up = False
        self.runs.clear()
        self.server.stop()

    def _saved(self, run):
        done_ms = int((time.monotonic() - run.started_at) * 2) * 500
        return f'{done_ms:016x}' if done_ms else run.saved

    def _percent(self, run):
        seconds, _ = run.work_s
        if seconds > 10_000:
            return 100
        return min(
            int(100 * (time.monotonic() - run.started_at) / max(seconds, 0.01)),
            99,
        )


class Entry:
    """Process of the system, started as the deploy file says."""

    def __init__(self, folder, name, store_address, bounds):
        self.name = name
        self.ports = [free_port() for _ in range(3)]
        self.callers, self.health, self.peer = (
            f'{HOST}:{port}' for port in self.ports
        )
        self.settings = Path(folder) / f'{name}.toml'
        self.log = Path(folder) / f'{name}.log'
        deploy = tomllib.loads((REPOSITORY / 'deploy/system.toml').read_text())
        role = next(iter(deploy['roles'].values()))
        values = {
            'node': name,
            'zone': 'bergamo',
            'region': 'lombardia',
            'ip': HOST,
            'limits.cpu_share': 0.43,
            'limits.cores': 1,
            'limits.memory_mb': 300,
            'listen.front': self.callers,
            'listen.ready': self.health,
            'port_range.0': self.ports[2],
            'platform.address': store_address,
            'cloud.address': '',
            'advice': '',
            **{f'bounds.{key}': value for key, value in bounds.items()},
        }
        template = (REPOSITORY / role['template']).read_text()
        # A section is left out where its field has no value.
        template = re.sub(
            r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}',
            lambda found: found.group(2) if found.group(1) in values else '',
            template,
            flags=re.DOTALL,
        )
        self.settings.write_text(
            re.sub(
                r'\{\{([\w.]+)\}\}',
                lambda found: str(values[found.group(1)]),
                template,
            )
        )
        self._command = role['run'].split()
        self.process = None

    def start(self):
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['RAGWORTFIELD_BOOT'] = str(self.settings)
        environment['PYTHONPATH'] = str(REPOSITORY / 'target/deps')
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                self._command,
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=_limit_descriptors,
            )

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self):
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()


async def request(address, method, path, document=None, timeout_s=3.0, host=''):
    """Send one request on a new connection; ``None`` without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            name, _, port = address.rpartition(':')
            reader, writer = await asyncio.open_connection(name, int(port))
            body = b'' if document is None else json.dumps(document).encode()
            writer.write(
                f'{method} {path} HTTP/1.1\r\nHost: {host or name}\r\n'
                'Content-Type: application/json\r\n'
                f'X-Ragwortfield-Deadline-Ms: {int(timeout_s * 1000)}\r\n'
                f'Content-Length: {len(body)}\r\n\r\n'.encode()
                + body
            )
            message = await read_message(reader)
    except (OSError, TimeoutError, asyncio.LimitOverrunError):
        return None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return None
    first, _, payload = message
    status = int(first.split(' ')[1])
    try:
        return status, json.loads(payload or b'{}')
    except ValueError:
        return status, {}


class Deployment:
    """Store, workers and processes of a small deployment."""

    worker_class = Worker
    #: Bounds of the small sites.
    bounds = {'grace_s': 6, 'hold_max_ms': 10000, 'status_s': 120}

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix='review-')
        self.store = Store(record)
        self.workers = {}
        self.entries = {}
        #: Processes of machines that are gone, and not asked any more.
        self.lost = []
        self.services = ('turni',)
        self.prefix = '/jobs/'
        self.host = 'jobs.example'

    async def start(
        self,
        entries,
        workers,
        spec_time,
        *,
        routes=None,
        prepare=lambda deployment: None,
        **options,
    ):
        await self.store.server.start()
        for _ in range(workers):
            self.add_worker(spec_time, **options)
        prepare(self)
        for number, worker in enumerate(self.workers.values()):
            # The heartbeats of the workers are spread evenly.
            await worker.start(number / workers)
        self.configure(3, routes)
        for number in range(entries):
            name = f'edge-bergamo-{number}'
            address = await self.store.listen_for(name)
            entry = Entry(self.folder, name, address, self.bounds)
            self.entries[name] = entry
            entry.start()
        deadline = time.monotonic() + 20
        for entry in self.entries.values():
            while True:
                answer = await request(entry.health, 'GET', '/readyz')
                if answer is not None and answer[0] == 200:
                    break
                if time.monotonic() > deadline:
                    raise TimeoutError(f'{entry.name} is not ready')
                await asyncio.sleep(0.1)
        while True:
            answer = await self.ask(0, 'GET', '')
            if answer is not None and answer[0] == 200:
                break
            if time.monotonic() > deadline:
                raise TimeoutError('no owner')
            await asyncio.sleep(0.1)
        self.record.write('deployment is ready')

    def add_worker(self, spec_time, **options):
        """Return a new worker that has not been started yet."""
        worker = self.worker_class(
            self.store,
            self.record,
            f'i-{len(self.workers):08x}',
            'turni',
            spec_time,
            **options,
        )
        self.workers[worker.worker_id] = worker
        return worker

    def configure(self, version, routes=None):
        routes = routes or [self.route()]
        document = {
            'version': version,
            'routes': routes,
            'services': [
                {'name': name, 'enforces_capacity': True}
                for name in self.services
            ],
            'limits': {},
        }
        self.store.put('op', '', 'config', json.dumps(document).encode())

    def route(self, **fields):
        return {
            'name': 'paghe',
            'host': self.host,
            'path_prefix': self.prefix,
            'service': 'turni',
            'priority': 2,
            'attempts': 2,
            'stretch': 2.0,
            'target_latency_ms': 1000,
            **fields,
        }

    async def ask(self, number, method, path, document=None, timeout_s=3.0):
        entry = list(self.entries.values())[number % len(self.entries)]
        return await request(
            entry.callers,
            method,
            self.prefix + path,
            document,
            timeout_s,
            self.host,
        )

    def owner(self, shard=0):
        """Return the name of the instance in the owner row, if readable."""
        for name in self.entries:
            for row, (_, content) in self.store.rows.items():
                if row[1] == f's{shard}' and row[2] == 'owner':
                    if name.encode() in content:
                        return name
        return ''

    def stop(self):
        for entry in (*self.entries.values(), *self.lost):
            entry.stop()
        for worker in self.workers.values():
            for loop in getattr(worker, 'loops', ()):
                loop.cancel()
            worker.server.stop()
        self.store.stop()
        if not os.environ.get('KEEP'):
            shutil.rmtree(self.folder, ignore_errors=True)
