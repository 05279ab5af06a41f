"""Stand-ins for the platform's store, replicas, balancer and requesters, and the start of routers.

Everything listens on loopback addresses. The stand-ins follow PROTOCOL.md and DEPLOY.md.
"""

import asyncio
import base64
import json
import os
import re
import secrets
import signal
import socket
import sys
import tempfile
import time

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HEARTBEAT_S = 1.2
READINESS_PATH = "/readyz"  # GET /berylridge/readyz, as mapped by deploy/wire.toml.
BOUNDS = {"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
          "config_apply_ms": 2000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 54}
LIMITS = {"cpu_share": 0.25, "cpus": 1, "memory_mb": 260, "max_fds": 4100}


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


async def read_head(reader):
    """Returns the start line and the fields with lower-case names, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Returns the body, or None if it is cut short."""
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                if size:
                    body += await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    return body
        return await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


class Store:
    """The platform's store: listings and watches of one revision counter."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.log = []
        self.changed = asyncio.Condition()

    async def start(self, ip):
        self.ip = ip
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def put(self, key, value):
        async with self.changed:
            self.revision += 1
            text = base64.b64encode(json.dumps(value).encode()).decode()
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {"key": key, "value": text, "rev": self.revision, "created": created, "lease": 0}
            self.items[key] = item
            self.log.append((self.revision, item))
            self.changed.notify_all()

    async def remove(self, key):
        async with self.changed:
            if self.items.pop(key, None) is None:
                return
            self.revision += 1
            event = {"key": key, "rev": self.revision, "removed": True}
            self.log.append((self.revision, event))
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                target = head[0].split(" ")[1]
                path, _, query = target.partition("?")
                args = dict(part.partition("=")[::2] for part in query.split("&"))
                await asyncio.sleep(0.004)
                if path == "/berylridge/kv-range":
                    answer = self.range(args)
                elif path == "/berylridge/kv-watch":
                    answer = await self.watch(args)
                else:
                    answer = None
                body = json.dumps(answer).encode() if answer else b"{}"
                status = "200 OK" if answer else "404 Not Found"
                writer.write(f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    def range(self, args):
        keys = sorted(key for key in self.items
                      if key.startswith(args.get("prefix", "")) and key > args.get("after", ""))
        return {"entries": [self.items[key] for key in keys[:500]],
                "truncated": len(keys) > 500, "as_of": self.revision}

    async def watch(self, args):
        after = int(args["after"])

        def events():
            return [event for revision, event in self.log
                    if revision > after and event["key"].startswith(args.get("prefix", ""))]

        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(lambda: bool(events())),
                                       int(args.get("wait_ms", "0")) / 1000)
            except asyncio.TimeoutError:
                pass
            return {"events": events(), "as_of": self.revision}


class Replica:
    """A replica of a plain service. A request whose body is `deadly` crashes it."""

    def __init__(self, store, record, service, zone, ip, deadly=b"", slots=6, queue=24,
                 work_s=0.03):
        self.store, self.record, self.service, self.zone = store, record, service, zone
        self.ip, self.deadly, self.work_s = ip, deadly, work_s
        self.slots, self.queue = slots, queue
        self.on_run = lambda replica, fields, body: None
        self.on_crash = lambda replica, request: None
        self.server = None

    async def start(self):
        """Starts a new boot, with a new id."""
        self.id = "i-" + secrets.token_hex(5)
        self.seq = 0
        self.active = 0
        self.gate = asyncio.Semaphore(self.slots)
        self.writers = set()
        self.is_up = True
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        await self.report()
        self.beat = asyncio.create_task(self.report_regularly())

    async def report(self):
        self.seq += 1
        await self.store.put("servers/" + self.id, {
            "service": self.service, "addr": f"{self.ip}:{self.port}", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": "ready", "cold_left_ms": 0,
            "seq": self.seq, "born": self.born})

    async def report_regularly(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.report()

    def crash(self, request):
        """Ends like a process that dies: no more reports, and all channels are reset."""
        self.is_up = False
        self.beat.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            writer.transport.abort()
        self.record.add(f"replica {self.id} crashes while it runs {request}")
        self.on_crash(self, request)
        asyncio.create_task(self.expire(self.id))
        asyncio.create_task(self.restart())

    async def expire(self, replica_id):
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.store.remove("servers/" + replica_id)

    async def restart(self):
        await asyncio.sleep(3.0)
        await self.start()
        self.record.add(f"replica {self.id} has started")

    async def serve(self, reader, writer):
        boot = self.id
        self.writers.add(writer)
        try:
            while self.is_up and (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                if body is None:
                    return
                answer = await self.answer(head[0], head[1], body)
                if answer is None or boot != self.id:
                    return
                writer.write(answer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reject(self, status, request):
        return (f"HTTP/1.1 {status}\r\nRequest-Id: {request}\r\nNot-Run: 1\r\n"
                "Content-Length: 0\r\n\r\n").encode()

    async def answer(self, line, fields, body):
        request = fields.get("request-id", "")
        if not request:
            return self.reject("400 Bad Request", request)
        if fields.get("expect-replica", self.id) != self.id:
            return self.reject("421 Misdirected Request", request)
        if self.active >= self.slots + self.queue:
            return self.reject("503 Service Unavailable", request)
        boot = self.id
        self.active += 1
        try:
            async with self.gate:
                if boot != self.id or not self.is_up:
                    return None
                self.on_run(self, fields, body)
                await asyncio.sleep(self.work_s)
                if boot != self.id or not self.is_up:
                    return None
                if self.deadly and body == self.deadly:
                    self.crash(request)
                    return None
        finally:
            self.active -= 1
        text = f"{request} {line} {len(body)}".encode()
        return (f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nReplica-Seal: {self.id}.{request}\r\n"
                f"Keep-Alive: timeout=5\r\nContent-Length: {len(text)}\r\n\r\n").encode() + text


def render(template, fields):
    """Fills in a settings template by the rules of DEPLOY.md that the project's template uses."""

    def value(name, current):
        if name == ".":
            return current
        result = fields
        for part in name.split("."):
            result = result[int(part)] if isinstance(result, list) else result[part]
        return result

    def section(match):
        entries = value(match[1], None)
        return "".join(match[2].replace("{{.}}", str(entry)).replace(
            "{{,}}", "," if i + 1 < len(entries) else "") for i, entry in enumerate(entries))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(value(match[1], None)), text)


class Router:
    """One entry VM with one process, started by the command of deploy/system.toml."""

    started = []

    def __init__(self, record, node, zone, ip, store, folder):
        self.record, self.node, self.zone, self.ip = record, node, zone, ip
        self.front, self.readyz, self.ctl, self.peer = (free_port(ip) for _ in range(4))
        self.store, self.folder = store, folder
        self.process = None
        self.started_at = self.stopping_at = None
        self.misses = 0

    def write_settings(self, seeds):
        with open(os.path.join(REPOSITORY, "platform/settings.json.in"), encoding="utf-8") as file:
            template = file.read()
        fields = {"node": self.node, "zone": self.zone, "ip": self.ip,
                  "port_range": [self.peer, self.peer], "seeds": seeds, "limits": LIMITS,
                  "bounds": BOUNDS, "platform": {"addr": f"{self.store.ip}:{self.store.port}"},
                  "listen": {"front": f"{self.ip}:{self.front}",
                             "readyz": f"{self.ip}:{self.readyz}"}}
        self.settings = os.path.join(self.folder, self.node + ".json")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(render(template, fields))

    async def start(self):
        self.log = open(os.path.join(self.folder, self.node + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            "target/bin/berylridge-platform", "--settings", self.settings, cwd=REPOSITORY,
            stdout=self.log, stderr=self.log, env={"PATH": os.environ["PATH"]})
        Router.started.append(self)
        self.started_at, self.stopping_at = self.record.now(), None
        self.record.add(f"router {self.node} is started")

    async def terminate(self):
        """SIGTERM, then SIGKILL after grace_s."""
        self.stopping_at = self.record.now()
        self.record.add(f"router {self.node} gets SIGTERM")
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), BOUNDS["grace_s"])
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()
        self.record.add(f"router {self.node} has ended with {self.process.returncode}")

    def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()

    def is_in_touch(self):
        """Whether it has run without a start or a SIGTERM for contact_ms."""
        age = self.record.now() - (self.started_at or 0)
        return self.stopping_at is None and age >= BOUNDS["contact_ms"] / 1000

    async def is_ready(self):
        status = await asyncio.wait_for(
            get_status(self.ip, self.readyz, READINESS_PATH), 1.0)
        return status == 200

    async def watch_readiness(self):
        """Asks each second, like the platform's balancer: two misses take the router out."""
        while True:
            try:
                ready = await self.is_ready()
            except (OSError, asyncio.TimeoutError):
                ready = False
            self.misses = 0 if ready else self.misses + 1
            await asyncio.sleep(1.0)


async def get_status(ip, port, path):
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {ip}\r\nConnection: close\r\n\r\n".encode())
        head = await read_head(reader)
        return int(head[0].split(" ")[1]) if head else 0
    finally:
        writer.close()


async def send(record, router, path, body, key, method="POST", deadline_ms=2500, extra=""):
    """Sends one requester attempt on a new channel. Returns its id and the status, 0 for none."""
    request = secrets.token_hex(8)
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(router.ip, router.front), 1.0)
    except (OSError, asyncio.TimeoutError):
        return request, 0, b""
    try:
        writer.write((f"{method} {path} HTTP/1.1\r\nHost: app.example\r\nRequest-Id: {request}\r\n"
                      f"Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n{extra}"
                      f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n").encode() + body)
        head = await asyncio.wait_for(read_head(reader), deadline_ms / 1000 + 1)
        if head is None:
            return request, 0, b""
        answer = await asyncio.wait_for(read_body(reader, head[1]), deadline_ms / 1000 + 1)
        status = int(head[0].split(" ")[1])
        return request, status if answer is not None else 0, answer or b""
    except (ConnectionError, asyncio.TimeoutError):
        return request, 0, b""
    finally:
        writer.close()


def route(name, prefix, kind, service, attempts, timeout_ms=2500, slo_ms=150):
    return {"name": name, "host": "app.example", "prefix": prefix, "type": kind,
            "timeout_ms": timeout_ms, "slo_ms": slo_ms, "priority": 2, "service": service,
            "attempts": attempts, "public": False, "sticky": False, "can_resume": False}


def config(routes, services, key):
    return {"version": 3, "routes": routes,
            "services": [{"name": name, "health_path": "/healthz", "max_conns": 100, "proto": "h1",
                          "tls": False, "cold_s": 0.0, "cold_per_s": 0.0} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "hule930", "api_keys": [key], "priority": 1}]}


def run_case(play, record_path):
    """Plays the case, ends all processes, and exits with its result; 2 if it could not run."""
    record = Record(record_path)

    def end_routers(*_):
        for router in Router.started:
            router.end()

    def on_sigterm(*_):
        end_routers()
        os._exit(2)

    signal.signal(signal.SIGTERM, on_sigterm)
    result, text = 2, "the case could not run"
    with tempfile.TemporaryDirectory(prefix="berylridge-review-") as folder:
        try:
            result, text = asyncio.new_event_loop().run_until_complete(play(record, folder))
        except Exception as error:
            text = f"the case could not run: {error!r}"
        end_routers()
    record.add(f"result {result}: {text}")
    print(text, flush=True)
    sys.stderr.flush()
    os._exit(result)  # Open channels of the stand-ins need no orderly end.
