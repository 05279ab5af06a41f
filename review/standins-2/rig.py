"""Stand-ins for the platform of berylridge-platform, and helpers to start routers.

The store, the replicas and the requesters follow the users' pages (PROTOCOL.md, DEPLOY.md). All
addresses are loopback addresses. Stand-ins write what they see to one record, which the checks read.
"""
import asyncio, base64, json, os, random, re, shutil, signal, socket, struct, sys, tempfile, time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
KEY_HEADERS = ('tenant', 'expect-replica')


class Record:
    """What was sent, answered and run, one line each, with seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, 'w')
        self.rows = []

    def now(self):
        return time.monotonic() - self.start

    def add(self, kind, **fields):
        row = {'t': round(self.now(), 4), 'kind': kind, **fields}
        self.rows.append(row)
        if kind not in ('arrives', 'ran'):      # The file holds what was sent, run and answered.
            self.file.write('%8.4f %s%s\n' % (row['t'], kind, ''.join(
                ' %s=%s' % (name, value) for name, value in fields.items() if value not in ('', None))))
        return row

    def of(self, *kinds):
        return [row for row in self.rows if row['kind'] in kinds]

    def close(self):
        self.file.close()


def free_port(ip):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Head:
    """The head of a request or a response."""

    def __init__(self, text):
        lines = text.decode('latin1').split('\r\n')
        self.first = lines[0].split(' ', 2)
        self.fields = [(name.strip(), value.strip()) for name, _, value in
                       (line.partition(':') for line in lines[1:] if line)]

    def get(self, name, default=''):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default

    def has(self, name):
        return any(key.lower() == name.lower() for key, _ in self.fields)


async def read_head(reader):
    return Head((await reader.readuntil(b'\r\n\r\n'))[:-4])


async def read_body(reader, head):
    if head.get('transfer-encoding').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    return await reader.readexactly(int(head.get('content-length', '0')))


def reset(writer):
    """Closes a channel so that its peer sees a reset."""
    sock = writer.get_extra_info('socket')
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Store:
    """The platform's metadata store: linearizable, one revision counter, read calls only."""

    def __init__(self, ip):
        self.ip, self.port = ip, free_port(ip)
        self.items, self.events, self.revision = {}, [], 7
        self.changed = asyncio.Condition()
        self.is_down = False
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    async def put(self, key, value):
        self.revision += 1
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        old = self.items.get(key)
        item = {'key': key, 'value': base64.b64encode(text).decode(), 'rev': self.revision,
                'created': old['created'] if old else self.revision, 'lease': 0}
        self.items[key] = item
        await self.announce(item)

    async def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            await self.announce({'key': key, 'rev': self.revision, 'removed': True})

    async def announce(self, event):
        self.events.append(event)
        async with self.changed:
            self.changed.notify_all()

    def set_down(self, is_down):
        self.is_down = is_down

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                while self.is_down:     # Silent: no answer while it is down.
                    await asyncio.sleep(0.05)
                await asyncio.sleep(0.004)
                status, body = await self.answer(head.first[1])
                while self.is_down:
                    await asyncio.sleep(0.05)
                data = json.dumps(body).encode()
                writer.write(b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n'
                             % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, target):
        path, _, query = target.partition('?')
        arguments = dict(part.partition('=')[::2] for part in query.split('&') if part)
        prefix = arguments.get('prefix', '')
        if path.endswith('/kv-range'):
            after = arguments.get('after', '')
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = keys[:50]
            return 200, {'entries': [self.items[key] for key in page], 'truncated': len(keys) > 50,
                         'as_of': self.revision}
        if path.endswith('/kv-watch'):
            after = int(arguments['after'])
            end = time.monotonic() + int(arguments.get('wait_ms', '0')) / 1000

            def news():
                return [event for event in self.events
                        if event['rev'] > after and event['key'].startswith(prefix)]
            while not news() and time.monotonic() < end:
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                    except asyncio.TimeoutError:
                        pass
            return 200, {'events': news(), 'as_of': self.revision}
        return 404, {'as_of': self.revision}


class Replica:
    """A replica: checks Expect-Replica, runs a request, answers with a seal."""
    count = 0

    def __init__(self, rig, service, zone, ip, slots, run):
        self.rig, self.service, self.zone, self.ip, self.slots, self.run = rig, service, zone, ip, slots, run
        self.port = free_port(ip)
        self.server, self.writers, self.running = None, set(), {}
        self.state, self.sequence, self.seals = 'ready', 0, 0
        self.cold_until = 0

    async def start(self, keeps_id=False, registers=True):
        if not keeps_id:
            Replica.count += 1
            self.id = 'i-%08x' % (0x7f3a91c2 + Replica.count * 7919)
        self.born = int(time.time() * 1000)
        self.written = None
        self.state = 'ready'
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 23)
        if registers:
            await self.write_entry()

    async def write_entry(self):
        self.sequence += 1
        cold = max(0, int((self.cold_until - time.monotonic()) * 1000))
        entry = {'service': self.service, 'addr': '%s:%d' % (self.ip, self.port), 'zone': self.zone,
                 'version': 'v1', 'slots': self.slots, 'state': self.state, 'cold_left_ms': cold, 'born': self.born}
        if entry != self.written:       # The entry changes when more than `seq` changes.
            self.written = entry
            await self.rig.store.put('servers/' + self.id, {**entry, 'seq': self.sequence})

    async def crash(self):
        """Ends at once: all channels are reset, nothing is written to the store."""
        self.rig.record.add('crash', replica=self.id, running=len(self.running))
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        for task in list(self.running.values()):
            task.cancel()
        self.running.clear()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        writer.get_extra_info('socket').setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                request = Request(self, head, body, reader, writer)
                self.rig.record.add('arrives', id=request.id, replica=self.id,
                                    left=head.get('deadline-ms'), tenant=head.get('tenant'))
                if head.get('expect-replica', self.id) != self.id:
                    request.answer(421, b'', extra='Replica-Id: %s\r\n' % self.id, sealed=False)
                    continue
                task = asyncio.current_task()
                self.running[request] = task
                self.rig.record.add('run', id=request.id, replica=self.id, path=head.first[1])
                try:
                    await self.run(request)
                finally:
                    self.running.pop(request, None)
                self.rig.record.add('ran', id=request.id, replica=self.id)
                if not request.keeps:
                    return
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            if not writer.is_closing():
                writer.close()


class Request:
    """One request at a replica."""

    def __init__(self, replica, head, body, reader, writer):
        self.replica, self.head, self.body, self.reader, self.writer = replica, head, body, reader, writer
        self.id = head.get('request-id')
        self.keeps = True
        replica.seals += 1
        self.seal = '%s.%d' % (replica.id, replica.seals)

    def answer_head(self, status, framing, extra='', sealed=True):
        seal = 'Replica-Seal: %s\r\n' % self.seal if sealed else ''
        return ('HTTP/1.1 %d X\r\nRequest-Id: %s\r\n%s%s%s\r\n' % (status, self.id, seal, extra, framing)).encode()

    def answer(self, status, body, extra='', sealed=True):
        self.writer.write(self.answer_head(status, 'Content-Length: %d\r\n' % len(body), extra, sealed) + body)

    async def stream(self, events, pause, first=1, before=0.0, size=40):
        """Sends events with increasing ids in chunks."""
        await asyncio.sleep(before)
        self.writer.write(self.answer_head(200, 'Transfer-Encoding: chunked\r\n',
                                           'Content-Type: text/event-stream\r\n'))
        last = self.head.get('last-event-id')
        for number in range(int(last) + 1 if last else first, events + 1):
            await asyncio.sleep(pause)
            event = b'id: %d\ndata: %s\n\n' % (number, (self.seal + 'x' * size).encode())
            self.writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await self.writer.drain()
        self.writer.write(b'0\r\n\r\n')


def render(template, values):
    """Fills in a settings template by the rules of DEPLOY.md."""
    def look(scope, name):
        if name == '.':
            return scope[0]['.']
        for level in scope:
            value = level
            for part in name.split('.'):
                value = value.get(part) if isinstance(value, dict) else \
                    (value[int(part)] if isinstance(value, list) and part.isdigit() and int(part) < len(value) else None)
            if value is not None:
                return value
        return None

    def fill(text, scope):
        def section(match):
            items = look(scope, match.group(1)) or []
            out = ''
            for index, item in enumerate(items):
                inner = match.group(2).replace('{{,}}', ',' if index + 1 < len(items) else '')
                out += fill(inner, [{'.': item, **(item if isinstance(item, dict) else {})}] + scope)
            return out
        text = re.sub(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', section, text, flags=re.S)
        return re.sub(r'\{\{([\w.]+)\}\}', lambda m: str(look(scope, m.group(1)) or ''), text)
    return fill(template, [values])


class Router:
    def __init__(self, rig, name, zone, ip):
        self.rig, self.name, self.zone, self.ip = rig, name, zone, ip
        self.front, self.readyz = free_port(ip), free_port(ip)
        self.process = None

    def write_settings(self):
        rig = self.rig
        values = {'node': self.name, 'zone': self.zone, 'ip': self.ip,
                  'listen': {'front': '%s:%d' % (self.ip, self.front), 'readyz': '%s:%d' % (self.ip, self.readyz),
                             'ctl': '%s:%d' % (self.ip, rig.peer_port + 1)},
                  'port_range': [rig.peer_port, rig.peer_port + 15],
                  'seeds': ['%s:%d' % (router.ip, rig.peer_port + 1) for router in rig.routers
                            if router.name.endswith('-1')][:3],
                  'platform': {'addr': '%s:%d' % (rig.store.ip, rig.store.port)},
                  'limits': {'max_fds': 4100, 'memory_mb': 260},
                  'bounds': {'retry_ratio': 0.2, 'retry_slack': rig.retry_slack}}
        with open(os.path.join(ROOT, 'platform/settings.json.in')) as file:
            text = render(file.read(), values)
        self.settings = os.path.join(rig.folder, self.name + '.json')
        with open(self.settings, 'w') as file:
            file.write(text)

    async def start(self):
        self.write_settings()
        program = os.environ.get('ROUTER', 'target/bin/berylridge-platform')
        self.log = open(os.path.join(self.rig.folder, self.name + '.log'), 'a')
        self.process = await asyncio.create_subprocess_exec(
            program, '--settings', self.settings, cwd=ROOT, stdout=self.log, stderr=self.log,
            env={'PATH': os.environ.get('PATH', ''), 'HOME': os.environ.get('HOME', '/'),
                 'BERYLRIDGE_CONFIG': self.settings})

    def signal(self, number):
        self.rig.record.add('signal', router=self.name, number=int(number))
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.readyz), 1)
            writer.write(b'GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head.first[1] == '200'
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


class Rig:
    """A small deployment: a store, replicas and routers on loopback addresses."""

    def __init__(self, record, zones=(('a', 1), ('b', 1), ('c', 1)), retry_slack=54):
        self.record = record
        self.block = 20 + os.getpid() % 200
        self.folder = tempfile.mkdtemp(prefix='review-')
        self.store = Store(self.address(1, 1))
        self.retry_slack = retry_slack
        self.peer_port = free_port(self.address(2, 1)) & ~15 | 1
        self.routers = []
        for index, (zone, count) in enumerate(zones):
            for number in range(count):
                self.routers.append(Router(self, 'edge-%s-%d' % (zone, number + 1), zone,
                                           self.address(2 + index, 1 + number)))
        self.replicas, self.beats = [], None
        self.version = 0

    def address(self, group, number):
        return '127.%d.%d.%d' % (self.block, group, number)

    def add_replica(self, service, zone, slots, run):
        replica = Replica(self, service, zone, self.address(100 + len(self.replicas) % 100,
                                                            1 + len(self.replicas) // 100), slots, run)
        self.replicas.append(replica)
        return replica

    async def publish(self, config):
        self.version += random.randint(1, 3)
        await self.store.put('op/config', {'version': self.version, **config})
        self.record.add('config', version=self.version)

    async def start(self, config):
        await self.store.start()
        for replica in self.replicas:
            await replica.start()
        await self.publish(config)
        self.beats = asyncio.ensure_future(self.beat())
        for router in self.routers:
            await router.start()
        end = time.monotonic() + 20
        while not all([await router.is_ready() for router in self.routers]):
            if time.monotonic() > end:
                raise RuntimeError('a router did not become ready')
            await asyncio.sleep(0.1)
        await asyncio.sleep(1)

    async def beat(self):
        """Replicas write their entries about every 1,200 ms while they are up and reach the store."""
        while True:
            await asyncio.sleep(1.2)
            for replica in self.replicas:
                if replica.server and replica.server.is_serving() and not self.store.is_down:
                    await replica.write_entry()

    async def stop(self):
        if self.beats:
            self.beats.cancel()
        for router in self.routers:
            if router.process and router.process.returncode is None:
                try:
                    router.process.send_signal(signal.SIGCONT)
                    router.process.kill()
                except ProcessLookupError:
                    pass
                await router.process.wait()
        if os.environ.get('KEEP') != '1':
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


class Answer:
    def __init__(self, status=0, body=b'', seal='', is_whole=False, reason='', head=None):
        self.status, self.body, self.seal, self.is_whole, self.reason, self.head = \
            status, body, seal, is_whole, reason, head


class Channel:
    """A requester's channel to the front of a router."""

    def __init__(self, rig, router):
        self.rig, self.router, self.reader, self.writer = rig, router, None, None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.router.ip, self.router.front, limit=1 << 23), 1)
        self.writer.get_extra_info('socket').setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def close(self):
        if self.writer:
            self.writer.close()
        self.writer = None

    async def call(self, method, path, key, body=b'', deadline=8000, request_id=None, extra='',
                   host='ficu95.example', on_event=None):
        """Sends one request and reads its answer; the answer says whether it is whole."""
        request_id = request_id or '%016x' % random.getrandbits(64)
        record = self.rig.record
        record.add('sent', id=request_id, path=path, router=self.router.name, key=key)
        answer = await self.exchange(method, path, key, body, deadline, request_id, extra, host, on_event)
        record.add('answer', id=request_id, status=answer.status, seal=answer.seal, whole=answer.is_whole,
                   bytes=len(answer.body), reason=answer.reason, path=path)
        return answer

    async def exchange(self, method, path, key, body, deadline, request_id, extra, host, on_event):
        answer = Answer()
        try:
            if self.writer is None:
                await self.open()
            authorization = 'Authorization: Bearer %s\r\n' % key if key else ''
            length = 'Content-Length: %d\r\n' % len(body) if body or method != 'GET' else ''
            self.writer.write(('%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s%s%s\r\n'
                               % (method, path, host, request_id, deadline, authorization, extra,
                                  length)).encode() + body)
            head = await asyncio.wait_for(read_head(self.reader), deadline / 1000 + 1)
            answer.head = head
            answer.status, answer.seal = int(head.first[1]), head.get('replica-seal')
            answer.got_id = head.get('request-id')
            if answer.got_id != request_id:
                answer.reason = 'id %s' % answer.got_id
            if head.get('transfer-encoding').lower() == 'chunked':
                while True:
                    size = int((await asyncio.wait_for(self.reader.readuntil(b'\r\n'), 10)).split(b';')[0], 16)
                    data = await asyncio.wait_for(self.reader.readexactly(size + 2), 10)
                    if size == 0:
                        break
                    answer.body += data[:-2]
                    if on_event:
                        on_event(data[:-2])
            else:
                answer.body = await asyncio.wait_for(
                    self.reader.readexactly(int(head.get('content-length', '0'))), 10)
            answer.is_whole = True
            if head.get('connection').lower() == 'close':
                self.close()
        except asyncio.IncompleteReadError as error:
            answer.reason = 'closed'
            answer.body += error.partial
            self.close()
        except asyncio.TimeoutError:
            answer.reason = 'timeout'
            self.close()
        except (OSError, ConnectionError) as error:
            answer.reason = type(error).__name__
            self.close()
        return answer


def route(prefix, service, kind, attempts=1, timeout_ms=8000, resume=False, sticky=False, slo_ms=400):
    return {'name': 'r-' + prefix.strip('/'), 'host': 'ficu95.example', 'prefix': prefix, 'type': kind,
            'timeout_ms': timeout_ms, 'slo_ms': slo_ms, 'priority': 1, 'service': service, 'attempts': attempts,
            'public': False, 'sticky': sticky, 'can_resume': resume, 'itl_target_ms': 200}


def service(name, engine_slots=0, max_conns=620, cold_per_s=0.0):
    spec = {'name': name, 'health_path': '/healthz', 'max_conns': max_conns, 'proto': 'h1', 'tls': False,
            'cold_s': 3.0 if cold_per_s else 0.0, 'cold_per_s': cold_per_s}
    if engine_slots:
        spec['engine'] = {'slots': engine_slots, 'kv_cap_tokens': 1026424, 'kv_token_bytes': 18432,
                          'link_mbps': 88000.0, 'models': [{'name': 'm'}]}
    return spec


LIMITS = {'max_header_bytes': 16384, 'max_body_bytes': 4194304, 'header_timeout_ms': 3000,
          'idle_timeout_ms': 15000, 'tokens_per_s': 720000}


def run_case(main, folder):
    """Runs a case; its result is the exit status: 0 held, 1 broken, 2 could not run."""
    record = Record(os.path.join(folder, 'record.txt'))

    async def limited():
        case = asyncio.ensure_future(asyncio.wait_for(main(record), 105))
        for number in (signal.SIGTERM, signal.SIGINT):      # Ends the processes that the case started.
            asyncio.get_running_loop().add_signal_handler(number, case.cancel)
        try:
            status = await case
        except (Exception, asyncio.CancelledError) as error:      # The case could not run.
            record.add('error', text=repr(error))
            print(repr(error))
            status = 2
        record.close()
        sys.stdout.flush()
        os._exit(status)        # The processes that it started have ended.
    asyncio.run(limited())
