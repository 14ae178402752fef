"""Stand-ins for the clients, workers and discovery of a node, on loopback, and the node process itself.

All of them follow the operators' protocol page. Everything runs in one asyncio loop; times are Unix seconds.
"""

import asyncio
import base64
import json
import logging
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

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


class CannotRun(Exception):
    """The case could not run; exit code 2."""


# ---------------------------------------------------------------- record


class Record:
    """Writes what was sent, answered and run to record.txt, in the order in which it was seen."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.time()

    def line(self, text, at=None):
        self.file.write(f"{(at or time.time()) - self.began:9.3f} {text}\n")

    def close(self):
        self.file.close()


# ---------------------------------------------------------------- node


def method(name, aim, give_up, effect, **more):
    return {"aim": aim, "effect": effect, "gain": 2.0, "giveUp": give_up, "group": "all", "lateWorth": 0.1,
            "memorySpan": 5000.0, "name": name, "streaming": False, **more}


def settings(methods, instances=1, **more):
    """Settings as in the example of the wire page, with other methods."""
    return {
        "azs": ["ist-dc1"],
        "clients": {"marksRetry": False},
        "contract": {"answerSlack": 16.0, "askEvery": 10000.0, "drainGrace": 500.0, "fall": 2000.0,
                     "fallMultiple": 2.0, "startCapacity": 0.2, "warmWithin": 18000.0},
        "discovery": "automatic",
        "family": "warm",
        "familyInfo": {"idleMemoryCost": 0.05, "keepAlive": 8400.0, "kindMemoryMb": [67968.0, 69952.0],
                       "loadFloor": 6.0, "loadShare": 0.2, "loadsWithin": 5000.0, "mayOrder": True,
                       "notesPeersInHand": True, "orderLimit": 10000.0,
                       "reportX0": "share of memory that is at work or loading",
                       "reportX1": "loads under way or waiting", "saysWarm": True, "whenAbsent": "load"},
        "goal": {"whole": 0.7, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.1},
        "instances": instances,
        "layer": 0,
        "limits": {"cpuUsPerRequest": 0.0, "cpuUsPerS": 63845, "dialTimeout": 250.0, "keepalive": 15000.0,
                   "maxAttempts": 5, "maxOpen": 25538, "maxRetryAfter": 500.0, "mayCancel": True,
                   "peers": False, "probes": True, "retryAfter": False, "secondCopies": True,
                   "streamsPerConn": 32},
        "loadInfo": {"how": "pull", "names": ["utilization", "outstanding", "x0"]},
        "locality": 0,
        "models": ["std-3", "slow-3"],
        "ordinal": 0,
        "overShareWorth": 0.1,
        "prices": {"connection": 0.0, "crossZone": 0.0, "discovery": 0.0, "handshake": 0.0, "lateFail": 0.067,
                   "moves": 0.0, "origin": 0.05, "peer": 0.0, "probe": 0.011, "waste": 0.08},
        "requestClasses": methods,
        "step": 4.0,
        "tenants": [],
        "tiers": ["model-workers"],
        "weightKind": "rough",
        "worthBy": "request",
        **more,
    }


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def deploy_command(key):
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        found = re.search(rf'^{key} = "(.*)"$', file.read(), re.MULTILINE)
    if not found:
        raise CannotRun(f"no '{key}' in deploy/balancer.toml")
    return found.group(1)


class Node:
    """One scheduler, started by the `run` line of the deploy file."""

    def __init__(self, record, name, node_settings, workers, resolver, sockets=1024, memory_mb=128, folder=None,
                 listen=None):
        self.record, self.name = record, name
        self.folder = folder or tempfile.mkdtemp(prefix="curlewpoint-review-")
        self.address = listen or ("127.0.0.1", free_port())
        self.config_path = os.path.join(self.folder, f"{name}.json")
        self.config = {
            "name": name, "listen": "%s:%d" % self.address, "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "resolver": "%s:%d" % resolver, "known": known(workers), "settings": node_settings,
        }
        self.process = None

    def write_config(self):
        with open(self.config_path + ".new", "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        os.replace(self.config_path + ".new", self.config_path)

    async def start(self):
        self.write_config()
        env = dict(os.environ, ROUTER_NAME=self.name, ROUTER_LISTEN=self.config["listen"],
                   ROUTER_CONFIG=self.config_path, TMPDIR=self.folder)
        self.log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", deploy_command("run")], cwd=ROOT, env=env,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.record.line(f"node {self.name} started")
        for _ in range(200):
            if self.process.poll() is not None:
                raise CannotRun(f"the node ended at its start with {self.process.returncode}")
            try:
                client = await Client.connect(self.record, self.address, quiet=True)
                if await client.check(1) == "fit":
                    client.close()
                    return
                client.close()
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the node was not fit within 10 s")

    def signal(self, number):
        self.record.line(f"node {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def memory_kb(self, key="RssAnon"):
        """Resident memory as the system counts it; None if the process has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
                found = re.search(rf"^{key}:\s+(\d+) kB", file.read(), re.MULTILINE)
        except OSError:
            return None
        return int(found.group(1)) if found else None

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()
            self.record.line(f"node {self.name} ended with {self.process.returncode}; its log:")
            for line in self.log_text().splitlines()[:200]:
                self.record.file.write(f"          | {line}\n")
        shutil.rmtree(self.folder, ignore_errors=True)

    def log_text(self):
        with open(os.path.join(self.folder, f"{self.name}.log"), encoding="utf-8", errors="replace") as file:
            return re.sub(r"\x1b\[[0-9;]*m", "", file.read())


# ---------------------------------------------------------------- discovery


def known(workers):
    rows = [{"instanceId": w.name, "hostPort": f"127.0.0.1:{w.port}", "zone": w.zone, "machineType": "std-3",
             "cell": w.cell, "lifecycle": "Ready", "weight": 4, "startedAtMs": w.started_ms} for w in workers]
    event = {"cursor": 1, "nodes": {"generation": 1, "reset": False, "instances": rows}}
    return {"cursor": 1, "cmds": [event]}


def dns_name(name):
    return b"".join(bytes([len(label)]) + label.encode() for label in name.split(".")) + b"\0"


class Discovery(asyncio.DatagramProtocol):
    """The directory: `rows` maps a worker to True while it drains; `serial` is the number of the last event."""

    def __init__(self, record, workers):
        self.record, self.serial, self.silent = record, 1, False
        self.rows = {worker: False for worker in workers}
        self.answered_at = {}
        self.queries = 0

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self.address = self.transport.get_extra_info("sockname")
        return self

    def change(self, text):
        self.serial += 1
        self.record.line(f"event {self.serial} of the directory: {text}")

    def datagram_received(self, query, sender):
        self.queries += 1
        if self.silent:
            return
        question = query[12:]
        service = dns_name("_app._tcp.cluster.lan")
        count = len(self.rows)
        answers = additional = b""
        for worker, draining in self.rows.items():
            target = dns_name(f"{worker.name}.{worker.zone}.hosts")
            data = struct.pack(">HHH", 1 if draining else 0, 40, worker.port) + target
            answers += service + struct.pack(">HHIH", 33, 1, 0, len(data)) + data
            additional += target + struct.pack(">HHIH", 1, 1, 0, 4) + bytes([127, 0, 0, 1])
            texts = [b"kind=std-3", b"cell=%d" % worker.cell, b"started=%d" % worker.started_ms]
            data = b"".join(bytes([len(t)]) + t for t in texts)
            additional += target + struct.pack(">HHIH", 16, 1, 0, len(data)) + data
        soa = dns_name("ns") + dns_name("admin") + struct.pack(">IIIII", self.serial, 1, 1, 1, 1)
        authority = dns_name("cluster.lan") + struct.pack(">HHIH", 6, 1, 0, len(soa)) + soa
        header = query[:2] + struct.pack(">HHHHH", 0x8400, 1, count, 1, 2 * count)
        self.transport.sendto(header + question + answers + authority + additional, sender)
        self.answered_at.setdefault(self.serial, time.time())


# ---------------------------------------------------------------- worker


class Worker:
    """A worker that loads what it lacks. `serve` makes the answer to an attempt; by default OK after `work_s`."""

    def __init__(self, record, name, work_s=0.1, load_s=0.0, zone="ist-dc1", cell=1, started_ms=0, port=None):
        self.record, self.name, self.zone, self.cell, self.started_ms = record, name, zone, cell, started_ms
        self.work_s, self.load_s, self.copies = work_s, load_s, {}
        self.port = port
        self.attempts, self.orders, self.writers = [], [], set()
        self.held, self.drains = 0, False
        self.hangs = False

    async def start(self):
        """`reuse_port` lets a successor listen at the address before its predecessor has closed it."""
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", self.port or 0, limit=1 << 20,
                                                 backlog=1024, reuse_port=True)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def connection(self, reader, writer):
        self.writers.add(writer)
        tasks = {}
        try:
            while line := await reader.readline():
                message = json.loads(line)
                kind, req = message["type"], message["req"]
                if kind == "invoke":
                    self.attempts.append((time.time(), message))
                    tasks[req] = asyncio.ensure_future(self.attempt(writer, message))
                elif kind == "abort":
                    task = tasks.pop(req, None)
                    if task:
                        task.cancel()
                elif kind == "prewarm":
                    self.order(writer, message)
                elif kind == "gauges":
                    use = f"util:{min(self.held / 16, 1):.2f};inflight:{self.held};x0:0.1"
                    self.write(writer, {"type": "UP", "req": req, "meta": {"use": use}})
                elif kind == "alive":
                    self.write(writer, {"type": "UP", "req": req})
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            for task in tasks.values():
                task.cancel()
            self.writers.discard(writer)
            writer.close()

    def order(self, writer, message):
        path, count = message["meta"]["path"], int(message["meta"]["instances"])
        if count > 0:
            self.orders.append((time.time(), message))
        held = self.copies.get(path, 0)
        if self.drains:
            word = "BUSY"
        else:
            word, held = "OK", max(held, count)
            self.copies[path] = held
        self.write(writer, {"type": word, "req": message["req"], "meta": {"instances": held}})

    def write(self, writer, message):
        if not writer.is_closing() and not self.hangs:
            writer.write(json.dumps(message).encode() + b"\n")

    async def attempt(self, writer, message):
        if self.drains:
            self.write(writer, {"type": "BUSY", "req": message["req"], "meta": {"rivals": 0}})
            return
        self.held += 1
        try:
            path = message["meta"]["path"]
            resident = path in self.copies
            if not resident:
                await asyncio.sleep(self.load_s)
                self.copies[path] = 1
            reply = await self.serve(message)
            reply.setdefault("meta", {}).setdefault("detail", "resident" if resident else "booted")
            reply["meta"].setdefault("rivals", 0)
            self.write(writer, {**reply, "req": message["req"]})
        finally:
            self.held -= 1

    async def serve(self, message):
        await asyncio.sleep(self.work_s)
        return {"type": "OK", "data": base64.b64encode(b"done " + message["req"].encode()).decode()}

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


# ---------------------------------------------------------------- client


def resp(words):
    out = [b"*%d\r\n" % len(words)]
    for word in words:
        word = word if isinstance(word, bytes) else str(word).encode()
        out.append(b"$%d\r\n%s\r\n" % (len(word), word))
    return b"".join(out)


def new_id():
    return os.urandom(8).hex()


class Client:
    """One client connection."""

    def __init__(self, record, reader, writer):
        self.record, self.reader, self.writer = record, reader, writer
        self.tag, self.open, self.ended = 0, {}, False
        self.task = asyncio.ensure_future(self.read())

    @classmethod
    async def connect(cls, record, address, quiet=False):
        reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(record, reader, writer)

    async def read(self):
        try:
            while True:
                head = await self.reader.readuntil(b"\r\n")
                words = []
                for _ in range(int(head[1:])):
                    size = await self.reader.readuntil(b"\r\n")
                    words.append((await self.reader.readexactly(int(size[1:]) + 2))[:-2])
                future = self.open.pop(int(words[0]), None)
                if future and not future.done():
                    future.set_result([w.decode("utf-8", "replace") for w in words])
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.ended = True
            for future in self.open.values():
                if not future.done():
                    future.set_result(None)
            self.open.clear()

    def begin(self, words):
        """Sends a command with a new tag; the future gets the answer's words, or None if the connection ends."""
        self.tag += 1
        future = asyncio.get_running_loop().create_future()
        if self.ended:
            future.set_result(None)
            return self.tag, future
        self.open[self.tag] = future
        self.writer.write(resp([words[0], self.tag, *words[1:]]))
        return self.tag, future

    async def check(self, timeout):
        _, future = self.begin(["CHECK"])
        answer = await asyncio.wait_for(future, timeout)
        return answer and answer[1]

    def call(self, kind, subject, timeout_ms, body=b"", req=None, more=""):
        req = req or new_id()
        fields = f"req={req},timeout={timeout_ms},subject={subject},info=memory_mb:512;lanes:4{more}"
        tag, future = self.begin(["CALL", kind, fields, body])
        return req, tag, future

    def cancel(self, tag):
        self.open.pop(tag, None)
        self.writer.write(resp(["CANCEL", tag]))

    def close(self):
        self.task.cancel()
        self.writer.close()


def run(case, folder):
    """Runs a case: `case(record, trouble, cleanup)` returns what broke the rule, or None. Exits with 0, 1 or 2.

    The case adds what is to be stopped at the end to `cleanup`; that happens also if this script is told to end.
    """
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    record = Record(folder)
    # Tasks that are still open at the end are no fault of the case.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"trouble: {trouble}")
    cleanup = []
    code = 2
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble, cleanup), 110))
        record.line(f"rule broken: {broken}" if broken else "the rule held")
        print(f"rule broken: {broken}" if broken else "the rule held")
        code = 1 if broken else 0
    except CannotRun as error:
        record.line(f"could not run: {error}")
        print(f"could not run: {error}")
    except Exception as error:  # noqa: BLE001
        record.line(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        for node in cleanup:
            node.stop()
        record.close()
        sys.stdout.flush()
        # Without the interpreter's own shutdown, which complains of connections that are still open.
        os._exit(code)
