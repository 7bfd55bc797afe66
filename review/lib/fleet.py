"""Stand-ins for the platform's store, its workers and its clients, and real gateway processes.

The stand-ins speak what PROTOCOL.md describes, on loopback addresses and the real clock. Each has a
few switches for the disruptions of the cases; without them it behaves like a sound peer.
"""
import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "diary.example"
STARTED = time.monotonic()


def clock():
    return time.monotonic() - STARTED


def free_port(ip="127.0.0.1"):
    """A free port below the range that outgoing connections take theirs from."""
    while True:
        with socket.socket() as probe:
            try:
                probe.bind((ip, random.randint(12_000, 30_000)))
            except OSError:
                continue
            return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")

    def log(self, who, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{clock():9.3f} {who:<12} {what:<22} {text}\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path = target.partition("?")[0]

    def query(self):
        pairs = (pair.partition("=") for pair in self.target.partition("?")[2].split("&"))
        return {name: value.replace("%00", "\0").replace("%7f", "\x7f") for name, _, value in pairs}

    def get(self, name):
        return self.headers.get(name.lower())


async def read_request(reader):
    """Reads one request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += data[:-2]
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def response(status, reason, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    writer.transport.abort()


class Store:
    """The platform's metadata store: rows, transactions and change feeds."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.ver = 0
        self.era = 0
        self.changed = asyncio.Event()
        self.on_call = None
        self.mode = "ok"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, table, key, value, part=""):
        self.ver += 1
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.rows[(table, part, key)] = (base64.b64encode(value).decode(), self.ver, False)
        self.wake()

    def remove(self, table, key, part=""):
        self.ver += 1
        if (table, part, key) in self.rows:
            self.rows[(table, part, key)] = (None, self.ver, True)
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self):
        """A copy from which the store can be restored."""
        return dict(self.rows), self.ver

    async def restore(self, copy, away_s=0.3):
        """A drill: the store is away for a moment, and comes back from an older copy."""
        self.record.log("store", "away")
        self.mode = "reset"
        self.era += 1
        self.wake()
        await asyncio.sleep(away_s)
        self.rows, self.ver = dict(copy[0]), copy[1]
        self.mode = "ok"
        self.record.log("store", "back from a copy", era=self.era, ver=self.ver)

    def wire(self, key):
        value, ver, deleted = self.rows[key]
        row = {"table": key[0], "part": key[1], "key": key[2], "ver": ver}
        row.update({"deleted": True} if deleted else {"value": value})
        return row

    def body(self, rows, **more):
        return {"rows": rows, "ver": self.ver, "nowMs": int(clock() * 1000), **more}

    def read(self, query):
        table, part = query.get("table"), query.get("part", "")
        first, last = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", 500)), 500)
        keys = sorted(
            key for key, (_, _, deleted) in self.rows.items()
            if key[0] == table and key[1] == part and not deleted
            and key[2] >= first and (last is None or key[2] < last))
        rows = [self.wire(key) for key in keys[:limit]]
        return self.body(rows, hasMore=len(keys) > limit)

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        ends = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            era = self.era
            keys = [key for key, row in self.rows.items() if key[0] == table and row[1] > after]
            left = ends - time.monotonic()
            if keys or left <= 0:
                keys.sort(key=lambda key: self.rows[key][1])
                return self.body([self.wire(key) for key in keys])
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
            if self.era != era:
                return None

    def transact(self, txn):
        current = lambda row: self.rows.get((row["table"], row["part"], row["key"]))
        for row in txn.get("precondition", []):
            known = current(row)
            ver = 0 if known is None or known[2] else known[1]
            if ver != row["ver"]:
                keys = [(it["table"], it["part"], it["key"]) for it in txn["precondition"]]
                found = [self.wire(key) for key in keys if key in self.rows and not self.rows[key][2]]
                return 412, self.body(found)
        self.ver += 1
        for row in txn.get("puts", []):
            self.rows[(row["table"], row["part"], row["key"])] = (row["value"], self.ver, False)
        for row in txn.get("remove", []):
            key = (row["table"], row["part"], row["key"])
            if key in self.rows:
                self.rows[key] = (None, self.ver, True)
        self.wake()
        return 200, self.body([])

    async def serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                if self.on_call and await self.on_call(request, writer):
                    return
                if self.mode == "silent":
                    await asyncio.sleep(30)
                    return
                if self.mode == "reset":
                    reset(writer)
                    return
                if self.mode == "busy":
                    writer.write(response(503, "Service Unavailable"))
                    continue
                status, body = 200, None
                if request.path == "/-/rows-get":
                    body = self.read(request.query())
                elif request.path == "/-/rows-feed":
                    if int(request.query()["after"]) > self.ver:
                        status = 410
                    else:
                        body = await self.feed(request.query())
                        if body is None:
                            return
                elif request.path == "/-/rows-tx":
                    status, body = self.transact(json.loads(request.body))
                else:
                    status = 404
                data = json.dumps(body).encode() if body is not None else b""
                await asyncio.sleep(0.004)
                writer.write(response(status, "OK", [("Content-Type", "application/json"),
                                                     ("Store-Era", self.era)], data))
                await writer.drain()
                if "close" in (request.get("connection") or ""):
                    return
        except ConnectionError:
            pass
        finally:
            writer.close()


class Worker:
    """A worker of one service. `answer` may be replaced by a case."""

    def __init__(self, record, store, ident, service, zone="z-a", version="v1", models=(), slots=8):
        self.record, self.store, self.ident, self.service = record, store, ident, service
        self.zone, self.version, self.slots = zone, version, slots
        self.models = {model: [] for model in models}
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence, self.beats = 0, 0
        self.runs = []
        self.orders = []
        self.answer = self.sound_answer
        self.listed = True
        self.work_s = 0.02
        self.connections = set()

    async def start(self, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, ip, 0, backlog=512)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.beat()
        self.beating = asyncio.create_task(self.beat_forever())

    def held(self):
        return [{"name": name, "version": 1, "adapters": list(held)}
                for name, held in self.models.items()]

    def entry(self):
        self.beats += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone,
                 "version": self.version, "slots": self.slots, "state": self.state,
                 "coldLeftMs": 0, "sequence": self.beats, "born": self.born}
        if self.models:
            entry.update(stage="colocated", models=self.held())
        return entry

    def beat(self):
        if self.listed and self.store.mode == "ok":
            self.store.put("servers", self.ident, self.entry())

    async def beat_forever(self):
        while True:
            await asyncio.sleep(1.2)
            self.beat()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                expected = request.get("expect-instance")
                if expected not in (None, self.ident):
                    writer.write(response(421, "Misdirected Request", [("Instance-Id", self.ident)]))
                elif request.path == "/-/report":
                    writer.write(self.report())
                elif request.path == "/-/order":
                    answer = self.order(json.loads(request.body))
                    if answer is None:
                        await asyncio.sleep(30)
                        return
                    writer.write(answer)
                else:
                    await self.answer(request, reader, writer)
                await writer.drain()
                if "close" in (request.get("connection") or ""):
                    return
        except ConnectionError:
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def report(self):
        report = {"stage": "colocated", "models": self.held(), "busy": False,
                  "sequence": self.sequence, "queued": 0, "active": 0, "kvUsed": 0,
                  "kvTotal": 150000, "handles": 0, "born": self.born}
        return response(200, "OK", [("Content-Type", "application/json")],
                        json.dumps(report).encode())

    def order(self, order):
        """Carries an order out. A case may return None, so that the order gets no answer."""
        self.record.log(self.ident, "order", **order)
        self.orders.append((clock(), order))
        if order.get("precondition", self.sequence) != self.sequence:
            return response(409, "Conflict")
        self.sequence += 1
        model, adapter = order["model"], order.get("adapter")
        if order["operation"] == "load":
            held = self.models.setdefault(model, [])
            if adapter:
                held.append(adapter)
        elif adapter:
            self.models[model].remove(adapter)
        else:
            self.models.pop(model, None)
        return response(202, "Accepted")

    def begin(self, request):
        ident = request.get("request-id")
        self.runs.append((clock(), ident, request))
        self.record.log(self.ident, "runs", id=ident, method=request.method, path=request.path,
                        bytes=len(request.body))
        return ident

    def seal_headers(self, ident):
        return [("Request-Id", ident), ("Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")]

    async def sound_answer(self, request, _reader, writer):
        ident = self.begin(request)
        await asyncio.sleep(self.work_s)
        body = f"answer to {ident}\n".encode()
        writer.write(response(200, "OK", self.seal_headers(ident), body))

    def stop(self, crash=True):
        self.listed = False
        self.beating.cancel()
        self.server.close()
        for writer in list(self.connections):
            reset(writer) if crash else writer.close()


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, record, folder, name, store_port, zones=("z-a",), ip="127.0.0.1"):
        self.record, self.name, self.ip = record, name, ip
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        self.front, self.ready, self.peers, self.metrics = (free_port(ip) for _ in range(4))
        self.template = (ROOT / deploy["template"]).read_text()
        self.zones = zones
        self.values = {
            "nodeName": name, "zone": zones[0], "region": "r-a",
            "bind.frontend": f"{ip}:{self.front}", "policyParams.graceS": "8",
            "platform.address": f"127.0.0.1:{store_port}", "bind.ready": f"{ip}:{self.ready}",
            "ip": ip, "portRange.0": str(self.peers), "portRange.1": str(self.metrics),
            "limits.cpuShare": "0.19", "limits.cpuCores": "1", "policyParams.leaseMs": "3000",
            "policyParams.retrySlack": "56"}
        self.settings = pathlib.Path(folder) / f"{name}.ini"
        self.fill_in()
        words = deploy["run"].split()
        self.command = [str(self.settings) if word.startswith("/etc/") else word for word in words]
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        self.process = None

    def fill_in(self, **changes):
        """The platform fills in the template, at the start and whenever the settings change."""
        self.values.update({name.replace("__", "."): value for name, value in changes.items()})
        lines = "\n".join(f"{zone} = r-a" for zone in self.zones)
        text = re.sub(r"\{\{#zones\}\}.*\{\{/zones\}\}", lines, self.template, flags=re.S)
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda match: self.values[match[1]], text)
        self.settings.write_text(text)

    def start(self):
        out = open(self.log_path, "ab")
        keep = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = subprocess.Popen(self.command, cwd=ROOT, stdout=out, stderr=out, env=keep)
        self.record.log(self.name, "started", pid=self.process.pid)

    def signal(self, number):
        self.record.log(self.name, "signal", name=signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def wait_ready(self, limit_s=15):
        ends = time.monotonic() + limit_s
        while time.monotonic() < ends:
            answer = await call(self.ip, self.ready, "GET", "/-/readiness", {}, limit_s=1)
            if answer.status == 200:
                return
            if self.process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    def log(self):
        return self.log_path.read_text(errors="replace")


class CannotRun(Exception):
    pass


class Answer:
    def __init__(self):
        self.status, self.headers, self.body = None, {}, b""
        self.is_complete, self.error = False, None

    def text(self):
        return f"status={self.status} complete={self.is_complete} bytes={len(self.body)} error={self.error}"


async def read_answer(reader, answer, is_head=False):
    """Reads one answer. It is complete only if its framing says so."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split(" ")[1])
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            answer.headers[name.strip().lower()] = value.strip()
    if is_head or answer.status in (204, 304):
        answer.is_complete = True
    elif "chunked" in answer.headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                answer.is_complete = True
                return
            answer.body += data[:-2]
    elif "content-length" in answer.headers:
        left = int(answer.headers["content-length"])
        while left > 0:
            data = await reader.read(left)
            if not data:
                raise ConnectionError("answer ended early")
            answer.body += data
            left -= len(data)
        answer.is_complete = True
    else:
        while data := await reader.read(65536):
            answer.body += data
        answer.is_complete = True


def request_bytes(method, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(ip, port, method, path, headers, body=b"", limit_s=10):
    """One request on a new connection."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(request_bytes(method, path, {"Host": HOST, **headers}, body))
            await read_answer(reader, answer, method == "HEAD")
    except (OSError, EOFError, ValueError, TimeoutError, asyncio.IncompleteReadError) as error:
        answer.error = f"{type(error).__name__}"
    finally:
        if writer is not None:
            writer.close()
    return answer


def new_id():
    return "%016x" % random.getrandbits(64)


def route(name, kind, service, timeout_ms=3000, attempts=1, resumable=False, priority=0, aim_ms=500):
    rule = {"name": f"r-{name}", "host": HOST, "pathPrefix": f"/{name}/", "routeType": kind,
            "timeoutMs": timeout_ms, "targetLatencyMs": aim_ms, "priority": priority,
            "service": service, "maxAttempts": attempts}
    if kind == "streaming":
        rule.update(sticky=True, resumable=resumable, gapAimMs=250)
    return rule


def config(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


def plain_service(name):
    return {"name": name, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": False}


def model_service(name, models):
    return {**plain_service(name), "engine": {
        "slots": 8, "kvCapacity": 154719, "weightsSize": 200000.0, "adapterSlots": 8,
        "loadsPerS": 4.5, "models": [
            {"name": model, "weightsSize": 34300.0, "loadTimeS": 6.0, "adapters": 0,
             "adapterMb": 40.0, "warmS": 0.28, "diskS": 0.4} for model in models]}}


class Fleet:
    """A small deployment. Everything that it started ends with it."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.record)
        self.workers, self.gateways = [], []

    async def __aenter__(self):
        await self.store.start()
        return self

    async def add_worker(self, ident, service, **options):
        worker = Worker(self.record, self.store, ident, service, **options)
        await worker.start()
        self.workers.append(worker)
        return worker

    async def add_gateway(self, name, is_awaited=True, **options):
        gateway = Gateway(self.record, self.temp, name, self.store.port, **options)
        gateway.start()
        self.gateways.append(gateway)
        if is_awaited:
            await gateway.wait_ready()
        return gateway

    async def __aexit__(self, *_):
        for gateway in self.gateways:
            gateway.kill()
        for worker in self.workers:
            worker.stop()
        if os.environ.get("KEEP_LOGS"):
            for gateway in self.gateways:
                shutil.copy(gateway.log_path, pathlib.Path(os.environ["KEEP_LOGS"]))
        shutil.rmtree(self.temp, ignore_errors=True)


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case):
    """Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case cannot run.

    The first argument of the program is the path of its record.
    """
    record_path = pathlib.Path(sys.argv[1]).resolve()

    # Connections that are still open at the end are dropped without a word.
    sys.unraisablehook = lambda _: None

    async def main():
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        async with Fleet(record_path) as fleet:
            broken = await asyncio.wait_for(case(fleet), 110)
            fleet.record.log("check", "broken" if broken else "held", detail=broken or "")
            return broken

    try:
        broken = asyncio.run(main())
    except CannotRun as error:
        print(f"cannot run: {error}")
        sys.exit(2)
    except Exception as error:
        print(f"cannot run: {type(error).__name__}: {error}")
        sys.exit(2)
    print(f"broken: {broken}" if broken else "held")
    sys.exit(1 if broken else 0)
