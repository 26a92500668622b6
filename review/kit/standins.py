"""Stand-ins for the platform, its store, backend servers and clients. Loopback addresses only.

They speak PROTOCOL.md and start the router with the command and the template of the deploy file.
"""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
GRACE_S = 8


USED_PORTS = set()


def free_ports(count):
    """Neighbouring free ports below the range from which the system takes those of outgoing connections."""
    while True:
        first = random.randrange(10000, 30000)
        ports = range(first, first + count)
        sockets = []
        try:
            for port in ports:
                sockets.append(socket.socket())
                sockets[-1].bind(("127.0.0.1", port))
        except OSError:
            continue
        finally:
            for s in sockets:
                s.close()
        if USED_PORTS.isdisjoint(ports):
            USED_PORTS.update(ports)
            return list(ports)


class Record:
    """Lines of record.txt, with seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Store:
    """The platform's store: rows with versions, transactions under conditions, and a feed of changes."""

    def __init__(self):
        self.version = 0
        self.rows = {}
        self.changed = asyncio.Event()
        self.start_time = time.monotonic()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def put(self, table, key, value):
        self.version += 1
        self.rows[(table, key)] = (self.version, value)
        self._notify()

    def values(self, table):
        return {k: v for (t, k), (_version, v) in self.rows.items() if t == table and v is not None}

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _row(self, table, key):
        version, value = self.rows[(table, key)]
        row = {"tableName": table, "part": "", "key": key, "schemaVer": version}
        if value is None:
            return {**row, "deleted": True}
        return {**row, "value": base64.b64encode(value.encode()).decode()}

    def _stamp(self):
        return {"schemaVer": self.version, "nowMs": int((time.monotonic() - self.start_time) * 1000)}

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                _method, target, _http = first.split(" ")
                status, reply = await self._answer(target, body)
                out = json.dumps(reply).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(out)}\r\n\r\n"
                writer.write(head.encode() + out)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        table = query.get("tableName", "")
        if url.path == "/api/rows-get":
            known = self.values(table)
            keys = sorted(k for k in known if k >= query.get("from", ""))
            if "targetVersion" in query:
                keys = [k for k in keys if k < query["targetVersion"]]
            limit = min(int(query.get("limit", 500)), 500)
            rows = [self._row(table, k) for k in keys[:limit]]
            return 200, {"rows": rows, "hasMore": len(keys) > limit, **self._stamp()}
        if url.path == "/api/rows-feed":
            after, until = int(query["after"]), time.monotonic() + int(query.get("waitMs", 0)) / 1000
            while True:
                changed = self.changed
                new = sorted((v, k) for (t, k), (v, _x) in self.rows.items() if t == table and v > after)
                left = until - time.monotonic()
                if new or left <= 0:
                    return 200, {"rows": [self._row(table, k) for _v, k in new], **self._stamp()}
                await self._wait(changed, left)
        if url.path == "/api/rows-tx":
            return self._transact(json.loads(body))
        return 404, {}

    @staticmethod
    async def _wait(event, timeout_s):
        try:
            await asyncio.wait_for(event.wait(), timeout_s)
        except asyncio.TimeoutError:
            pass

    def _transact(self, transaction):
        for row in transaction.get("expectRev", []):
            place = (row["tableName"], row["key"])
            version, value = self.rows.get(place, (0, None))
            if (version if value is not None else 0) != row["schemaVer"]:
                return 412, {"rows": [self._row(*place)] if value is not None else [], **self._stamp()}
        self.version += 1
        for row in transaction.get("writes", []):
            value = base64.b64decode(row["value"]).decode()
            self.rows[(row["tableName"], row["key"])] = (self.version, value)
        for row in transaction.get("remove", []):
            self.rows[(row["tableName"], row["key"])] = (self.version, None)
        self._notify()
        return 200, self._stamp()


class BackendServer:
    """A sound backend server: a plain service, or an engine that prefills or decodes."""

    def __init__(self, server_id, service, world, zone, stage=None, slots=6, work_s=0.03):
        self.id, self.service, self.zone, self.stage = server_id, service, zone, stage
        self.store, self.record = world.store, world.record
        self.slots, self.work_s, self.ran, self.issued = slots, work_s, [], 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        row = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
               "slots": self.slots, "state": "ready", "coldLeftMs": 0, "callSeq": 0}
        if self.stage:
            row.update(stage=self.stage, models=[{"name": "m", "version": 1, "adapters": []}])
        self.store.put("servers", self.id, json.dumps(row))

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self._answer(first.split(" ")[1], headers, body, writer)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    @staticmethod
    def send(writer, status, headers, body=b""):
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body)

    async def _answer(self, path, headers, _body, writer):
        request_id = headers.get("dillspool-attempt-id", "")
        base = {"Dillspool-Attempt-Id": request_id} if request_id else {}
        reply = {**base, "Content-Type": "application/json"}
        if headers.get("dillspool-expect-instance", self.id) != self.id:
            return self.send(writer, 421, {**base, "Dillspool-Instance-Id": self.id})
        if path == "/api/hold-take":
            self.issued += 1
            return self.send(writer, 200, reply, json.dumps({"hold": f"h{self.issued}"}).encode())
        if path == "/api/order":
            return self.send(writer, 409, reply, b"{}")
        if path.startswith("/api/"):
            return self.send(writer, 200, reply, b"{}")
        if headers.get("dillspool-serving-stage") == "prefill":
            if self.stage != "prefill":
                return self.send(writer, 421, base)
            self.issued += 1
            prompt = {"handle": f"{self.id}-k{self.issued}", "tokens": 10, "version": 1}
            return self.send(writer, 200, reply, json.dumps(prompt).encode())
        self.ran.append(request_id)
        self.record(f"server: {self.id} runs {request_id}")
        await asyncio.sleep(self.work_s)
        self.send(writer, 200, {**base, "Dillspool-Server-Seal": f"s.{self.id}.{request_id}"},
                  f"answer to {request_id}".encode())


def fill_template(text, fields):
    """Fills the template of the settings as DEPLOY.md says."""

    def lookup(name):
        value = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
            if value is None:
                return None
        return value

    def section(match):
        return match.group(2) if lookup(match.group(1)) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)

    def gap(match):
        value = lookup(match.group(1))
        if match.group(2):
            return json.dumps(value)
        if value is None:
            return ""
        return str(value).lower() if isinstance(value, bool) else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", gap, text)


class Machine:
    """One entry host: its addresses, its settings and its process."""

    def __init__(self, world, name, zone):
        self.world, self.name, self.zone = world, name, zone
        self.front, self.ready, self.control, first, last = free_ports(5)
        self.port_range = [first, last]
        self.process, self.is_in, self.misses = None, False, 0

    def settings(self, bootstrap):
        world = self.world
        return {
            "nodeName": self.name, "zone": self.zone, "ip": "127.0.0.1",
            "bind": {"front": f"127.0.0.1:{self.front}", "ready": f"127.0.0.1:{self.ready}",
                     "control": f"127.0.0.1:{self.control}"},
            "portRange": self.port_range, "seeds": world.seeds, "bootstrap": bootstrap,
            "limits": {"memoryMb": 110, "linkMbps": 1000.0},
            "bounds": world.bounds, "platform": {"address": world.store.address},
        }

    def start(self, bootstrap=False):
        path = os.path.join(self.world.folder, f"{self.name}.toml")
        with open(os.path.join(ROOT, self.world.role["template"]), encoding="utf-8") as file:
            text = fill_template(file.read(), self.settings(bootstrap))
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        names = ("PATH", "HOME", "JAVA_HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        environment["DILLSPOOL_CONFIG"] = path
        log = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(self.world.role["run"].split(" "), cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT)
        log.close()
        self.world.record(f"platform: machine {self.name} started in {self.zone}, front 127.0.0.1:{self.front}")

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def is_ready(self):
        async def ask():
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            try:
                writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                return b" 200 " in await reader.readline()
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(ask(), 0.8)
        except (OSError, asyncio.TimeoutError):
            return False


class World:
    """The platform: its store, the machines, the readiness checks and the balancer."""

    def __init__(self, record_path, bounds):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="review-")
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["router"]
        self.bounds, self.store = bounds, Store()
        self.machines, self.seeds, self.tasks = [], [], []

    async def start(self):
        await self.store.start()
        self.tasks.append(asyncio.create_task(self._check_readiness()))

    def add_machine(self, name, zone):
        machine = Machine(self, name, zone)
        self.machines.append(machine)
        return machine

    async def _check_readiness(self):
        while True:
            await asyncio.gather(*(self._check(machine) for machine in list(self.machines)))
            await asyncio.sleep(1)

    @staticmethod
    async def _check(machine):
        if await machine.is_ready():
            machine.is_in, machine.misses = True, 0
            return
        machine.misses += 1
        if machine.misses >= 2:
            machine.is_in = False

    async def wait_ready(self, machines, timeout_s=20):
        until = time.monotonic() + timeout_s
        for machine in machines:
            while not await machine.is_ready():
                if time.monotonic() > until or machine.process.poll() is not None:
                    raise RuntimeError(f"machine {machine.name} is not ready")
                await asyncio.sleep(0.1)
            machine.is_in, machine.misses = True, 0

    async def remove(self, machine):
        """Takes a machine away for good: SIGTERM, and SIGKILL after the grace."""
        self.record(f"platform: SIGTERM to machine {machine.name}, which is taken away")
        machine.signal(signal.SIGTERM)
        until = time.monotonic() + GRACE_S
        while machine.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.05)
        machine.end()
        self.machines.remove(machine)
        self.record(f"platform: machine {machine.name} is gone")

    def entry_port(self, zone, number):
        """The front port that a new connection is handed to: by zone and by a hash of the client."""
        near = [m for m in self.machines if m.zone == zone]
        ready = [m for m in near if m.is_in]
        chosen = ready if ready and len(ready) * 2 >= len(near) else near
        if not ready:
            chosen = [m for m in self.machines if m.is_in] or self.machines
        return chosen[number % len(chosen)].front if chosen else None

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            machine.end()
        shutil.rmtree(self.folder, ignore_errors=True)


async def send_request(port, method, path, request_id, budget_ms, headers, body=b""):
    """One client attempt on a new connection. Returns status (0 without an answer), headers and body."""
    lines = {"Host": "desk.example", "Dillspool-Attempt-Id": request_id,
             "Dillspool-Time-Budget-Ms": str(budget_ms), "Connection": "close", **headers}
    if body:
        lines["Content-Length"] = str(len(body))
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in lines.items()) + "\r\n"

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(head.encode() + body)
            await writer.drain()
            first, answer = await read_head(reader)
            return int(first.split(" ")[1]), answer, await read_body(reader, answer)
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), budget_ms / 1000)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as error:
        return 0, {"error": type(error).__name__}, b""
