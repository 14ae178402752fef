"""Stand-ins for the platform's clients, workers and directory, and the start of a scheduler by the deploy file.

Python's standard library only. All sockets are on 127.0.0.1, on ports that the system chooses; all files are in a
temporary folder, except record.txt, which stands beside the case's run.sh.
"""
import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
START = time.monotonic()


def now():
    """Milliseconds since this test began."""
    return (time.monotonic() - START) * 1000.0


class CannotRun(Exception):
    """The case could not be played: exit code 2."""


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def line(self, text, at=None):
        self.file.write("%10.1f %s\n" % (now() if at is None else at, text))

    def close(self):
        self.file.close()


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def request_class(name, effect, aim, give_up, gain=2.0, **more):
    entry = {"name": name, "effect": effect, "aim": aim, "giveUp": give_up, "gain": gain, "group": "all",
             "lateWorth": 0.1, "memorySpan": 5000.0, "streaming": False}
    entry.update(more)
    return entry


def settings(classes, instances=1, limits=None, **more):
    """The settings of the simulator's page (its example), with these classes."""
    all_limits = {"cpuUsPerRequest": 0.0, "cpuUsPerS": 63845, "dialTimeout": 250.0, "keepalive": 15000.0,
                  "maxAttempts": 5, "maxOpen": 25538, "maxRetryAfter": 500.0, "mayCancel": True, "peers": False,
                  "probes": True, "retryAfter": False, "secondCopies": True, "streamsPerConn": 32}
    all_limits.update(limits or {})
    value = {
        "azs": ["ist-dc1"], "clients": {"marksRetry": False},
        "contract": {"answerSlack": 16.0, "askEvery": 10000.0, "drainGrace": 500.0, "fall": 2000.0,
                     "fallMultiple": 2.0, "startCapacity": 0.2, "warmWithin": 18000.0},
        "discovery": "automatic", "family": "warm",
        "familyInfo": {"idleMemoryCost": 0.05, "keepAlive": 8400.0, "kindMemoryMb": [67968.0, 69952.0],
                       "loadFloor": 6.0, "loadShare": 0.2, "loadsWithin": 5000.0, "mayOrder": True,
                       "notesPeersInHand": True, "orderLimit": 10000.0, "saysWarm": True, "whenAbsent": "load"},
        "goal": {"whole": 0.7, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.1},
        "instances": instances, "layer": 0, "limits": all_limits,
        "loadInfo": {"how": "pull", "names": ["utilization", "outstanding", "x0"]},
        "locality": 0, "models": ["std-3", "slow-3"], "ordinal": 0, "overShareWorth": 0.1,
        "prices": {"connection": 0.0, "crossZone": 0.0, "discovery": 0.0, "handshake": 0.0, "lateFail": 0.067,
                   "moves": 0.0, "origin": 0.05, "peer": 0.0, "probe": 0.011, "waste": 0.08},
        "requestClasses": classes, "step": 4.0, "tenants": [], "tiers": ["model-workers"], "weightKind": "rough",
        "worthBy": "request"}
    value.update(more)
    return value


# The directory: DNS over UDP.

def dns_name(name):
    return b"".join(bytes([len(label)]) + label.encode() for label in name.split(".")) + b"\0"


def dns_record(name, kind, data):
    return dns_name(name) + struct.pack(">HHIH", kind, 1, 0, len(data)) + data


class Directory(asyncio.DatagramProtocol):
    """Answers each query with the whole list. `rows`: id -> dict(host, port, zone, cell, draining, weight, started)."""

    def __init__(self):
        self.rows, self.serial, self.transport, self.silent = {}, 1, None, False
        self.queries = 0

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        host, port = self.transport.get_extra_info("sockname")
        self.address = "%s:%d" % (host, port)

    def add(self, worker, draining=False):
        self.rows[worker.id] = dict(host="127.0.0.1", port=worker.port, zone=worker.zone, cell=worker.cell,
                                    draining=draining, weight=1, started=worker.started)

    def known(self):
        states = [{"instanceId": k, "hostPort": "%s:%d" % (r["host"], r["port"]), "zone": r["zone"],
                   "machineType": "std-3", "cell": r["cell"], "lifecycle": "Ready", "weight": r["weight"],
                   "startedAtMs": r["started"]} for k, r in self.rows.items()]
        return {"cursor": 1, "cmds": [{"cursor": 1, "nodes": {"generation": 1, "reset": True, "instances": states}}]}

    def datagram_received(self, data, peer):
        self.queries += 1
        if self.silent or len(data) < 12:
            return
        self.transport.sendto(self.answer(data), peer)

    def answer(self, query):
        end = query.index(b"\0", 12) + 5
        question = query[12:end]
        service = "_app._tcp.cluster.lan"
        answers, extra = b"", b""
        for name, r in self.rows.items():
            target = "%s.%s.hosts" % (name, r["zone"])
            srv = struct.pack(">HHH", 1 if r["draining"] else 0, r["weight"] * 10, r["port"]) + dns_name(target)
            answers += dns_record(service, 33, srv)
            extra += dns_record(target, 1, socket.inet_aton(r["host"]))
            texts = ["kind=std-3", "cell=%d" % r["cell"], "started=%d" % r["started"]]
            extra += dns_record(target, 16, b"".join(bytes([len(t)]) + t.encode() for t in texts))
        soa = dns_name("ns.cluster.lan") + dns_name("admin.cluster.lan") + struct.pack(">IIIII", self.serial, 1, 1, 1, 1)
        head = query[:2] + struct.pack(">HHHHH", 0x8400, 1, len(self.rows), 1, 2 * len(self.rows))
        return head + question + answers + dns_record("cluster.lan", 6, soa) + extra


# Workers: JSON lines over TCP.

class Worker:
    """Runs every request it can read, after `work(request)` milliseconds, and answers OK."""

    def __init__(self, name, record, work, zone="ist-dc1", cell=0):
        self.id, self.record, self.work, self.zone, self.cell = name, record, work, zone, cell
        self.started, self.loaded, self.held = 0, set(), 0
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(128)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        self.accepting = asyncio.Event()
        self.accepting.set()
        self.conns, self.task = set(), None
        self.arrivals = []  # (time, req, class, connection)
        self.on_invoke = None

    def start(self):
        self.task = asyncio.create_task(self.accept())

    async def accept(self):
        while True:
            await self.accepting.wait()
            try:
                conn, _ = self.listener.accept()
            except BlockingIOError:
                await asyncio.sleep(0.002)
                continue
            conn.setblocking(False)
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            worker_conn = WorkerConn(self, conn)
            worker_conn.task = asyncio.create_task(self.serve(worker_conn))

    async def serve(self, conn):
        self.conns.add(conn)
        loop, buffer = asyncio.get_running_loop(), b""
        try:
            while conn.sock.fileno() >= 0:
                data = await loop.sock_recv(conn.sock, 65536)
                if not data:
                    break
                buffer += data
                *lines, buffer = buffer.split(b"\n")
                for line in lines:
                    self.handle(conn, json.loads(line))
        except (OSError, ValueError, asyncio.CancelledError):
            pass
        conn.close()

    def handle(self, conn, message):
        kind, req, meta = message.get("type"), message.get("req"), message.get("meta", {})
        report = "util:0.2;inflight:%d;x0:0.1" % self.held
        if kind == "invoke":
            self.arrivals.append((now(), req, meta.get("queue"), conn))
            self.record.line("worker %s got %s %s budget %s" % (self.id, req, meta.get("queue"), meta.get("budget")))
            run = self.on_invoke or self.run
            conn.jobs[req] = asyncio.create_task(run(conn, message))
        elif kind == "abort":
            job = conn.jobs.pop(req, None)
            if job:
                self.record.line("worker %s gives up %s" % (self.id, req))
                job.cancel()
        elif kind == "prewarm":
            self.record.line("worker %s ordered to load %s" % (self.id, meta.get("path")))
            self.loaded.add(meta.get("path"))
            conn.send({"type": "OK", "req": req, "meta": {"instances": 1}})
        elif kind in ("gauges", "alive"):
            conn.send({"type": "UP", "req": req, "meta": {"use": report}})

    async def run(self, conn, message):
        req, path = message["req"], message["meta"]["path"]
        note = "resident" if path in self.loaded else "booted"
        self.loaded.add(path)
        rivals, self.held = self.held, self.held + 1
        try:
            await asyncio.sleep(self.work(message) / 1000.0)
            conn.send({"type": "OK", "req": req, "meta": {"detail": note, "rivals": rivals}, "data": message.get("data", "")})
        finally:
            self.held -= 1
            conn.jobs.pop(req, None)


class WorkerConn:
    def __init__(self, worker, sock):
        self.worker, self.sock, self.jobs, self.task = worker, sock, {}, None

    def send(self, message):
        try:
            self.sock.sendall((json.dumps(message) + "\n").encode())
        except OSError:
            self.close()

    def reset(self):
        """Ends the connection with a reset."""
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
        self.close()

    def close(self):
        current = asyncio.current_task()
        for job in list(self.jobs.values()):
            if job is not current:
                job.cancel()
        self.jobs.clear()
        self.worker.conns.discard(self)
        if self.sock.fileno() >= 0:
            try:
                asyncio.get_running_loop().remove_reader(self.sock.fileno())
            except (OSError, ValueError):
                pass
            self.sock.close()
        if self.task and self.task is not current:
            self.task.cancel()


# Clients: RESP over TCP.

def resp(words):
    out = b"*%d\r\n" % len(words)
    for w in words:
        w = w if isinstance(w, bytes) else str(w).encode()
        out += b"$%d\r\n%s\r\n" % (len(w), w)
    return out


class ClientConn:
    """One connection; `answers` maps a tag to (time, word, body); `ended` is the time at which it ended."""

    def __init__(self, name, record):
        self.name, self.record = name, record
        self.answers, self.ended, self.waiters = {}, None, {}
        self.written = {}  # tag -> time of the last byte

    async def open(self, address):
        host, port = address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.task = asyncio.create_task(self.read())

    def write(self, tag, words, note):
        self.record.line("client %s sends %s" % (self.name, note))
        self.writer.write(resp(words))
        self.written[tag] = now()

    def call(self, tag, kind, req, timeout, subject, body):
        fields = "req=%s,timeout=%d,subject=%s,info=memory_mb:512;lanes:4" % (req, timeout, subject)
        self.write(tag, ["CALL", tag, kind, fields, body], "CALL %d %s %s timeout %d" % (tag, kind, req, timeout))

    def check(self, tag):
        self.write(tag, ["CHECK", tag, ""], "CHECK %d" % tag)

    async def answer(self, tag, timeout_ms):
        if tag not in self.answers and self.ended is None:
            event = self.waiters.setdefault(tag, asyncio.Event())
            try:
                await asyncio.wait_for(event.wait(), timeout_ms / 1000.0)
            except asyncio.TimeoutError:
                pass
        return self.answers.get(tag)

    async def read(self):
        try:
            while True:
                head = await self.reader.readuntil(b"\r\n")
                words = []
                for _ in range(int(head[1:-2])):
                    length = int((await self.reader.readuntil(b"\r\n"))[1:-2])
                    words.append((await self.reader.readexactly(length + 2))[:-2])
                tag, word = int(words[0]), words[1].decode()
                self.record.line("client %s gets %d %s" % (self.name, tag, word))
                if tag in self.answers:
                    self.record.line("client %s: a second answer to %d" % (self.name, tag))
                self.answers[tag] = (now(), word, words[3] if len(words) > 3 else b"")
                event = self.waiters.get(tag)
                if event:
                    event.set()
        except (asyncio.IncompleteReadError, OSError):
            pass
        self.ended = now()
        self.record.line("client %s: the connection has ended" % self.name)
        for event in self.waiters.values():
            event.set()

    def close(self):
        self.task.cancel()
        self.writer.close()


# The scheduler, by the deploy file.

class Scheduler:
    def __init__(self, folder, name, directory, the_settings, memory_mb=192, sockets=1024, seed=None):
        self.folder, self.name, self.process = folder, name, None
        self.address = "127.0.0.1:%d" % free_port()
        self.config = {"name": name, "listen": self.address, "seed": "%016x" % (seed or int.from_bytes(os.urandom(8), "big")),
                       "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                       "resolver": directory.address, "known": directory.known(), "settings": the_settings}
        self.path = os.path.join(folder, name + ".json")

    def write_config(self):
        with open(self.path + ".new", "w", encoding="utf-8") as f:
            json.dump(self.config, f)
        os.replace(self.path + ".new", self.path)

    def start(self):
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as f:
            run = re.search(r'^run\s*=\s*"(.*)"', f.read(), re.M)
        if not run:
            raise CannotRun("no run line in the deploy file")
        self.write_config()
        env = dict(os.environ, ROUTER_NAME=self.name, ROUTER_LISTEN=self.address, ROUTER_CONFIG=self.path, TMPDIR=self.folder)
        self.log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", run.group(1)], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)

    async def ready(self, record, limit_ms=30000):
        """Waits until CHECK is answered `fit`."""
        until = now() + limit_ms
        while now() < until:
            if self.process.poll() is not None:
                raise CannotRun("the scheduler ended at its start, see its log")
            probe = ClientConn("front", record)
            try:
                await probe.open(self.address)
                probe.check(1)
                answer = await probe.answer(1, 1000)
                probe.close()
                if answer and answer[1] == "fit":
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the scheduler was not ready in time")

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()
            self.log.close()

    def log_text(self):
        with open(os.path.join(self.folder, self.name + ".log"), encoding="utf-8", errors="replace") as f:
            return f.read()


def play(case_folder, scenario):
    """Runs `scenario(record, folder, trouble, started)`, an async function that returns (kept, summary).
    `started` is a list to which it adds every Scheduler, so that all are ended here. Exit: 0 kept, 1 broken, 2 not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(case_folder, "record.txt"))
    folder, started, code = tempfile.mkdtemp(prefix="case-"), [], 2
    record.line("trouble %s" % ("on" if trouble else "off"))

    async def limited():
        return await asyncio.wait_for(scenario(record, folder, trouble, started), 115)

    try:
        kept, summary = asyncio.run(limited())
        for line in summary:
            record.line(line)
            print(line)
        code = 0 if kept else 1
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record.line("could not run: %r" % error)
        print("could not run: %r" % error)
    finally:
        for scheduler in started:
            scheduler.end()
        for scheduler in started:
            for line in scheduler.log_text().splitlines():
                record.line("log of %s: %s" % (scheduler.name, re.sub(r"\x1b\[[0-9;]*m", "", line)))
        shutil.rmtree(folder, ignore_errors=True)
    record.line("exit %d" % code)
    record.close()
    sys.exit(code)
