"""The native protocol (docs/protocol.md) and AMQP 0-9-1, as far as the stand-ins need them, and the project's programs.

Taken from the earlier review's review/lib/native.py, on the stand-ins of this folder.
"""

import asyncio
import os
import shutil
import struct
import subprocess
import tempfile
import time

from standins import ROOT, CannotRun

PROGRAM = os.path.join(ROOT, "target", "release", "curlewpoint")


def now():
    return time.monotonic() * 1000.0



# A worker on the native protocol.

def cbor_int(major, n):
    if n < 24:
        return bytes([major << 5 | n])
    for code, size in ((24, 1), (25, 2), (26, 4), (27, 8)):
        if n < 1 << (8 * size):
            return bytes([major << 5 | code]) + n.to_bytes(size, "big")


def frame(kind, fields, body=b""):
    head = b""
    for number, value in fields:
        head += cbor_int(0, number)
        if isinstance(value, int):
            head += cbor_int(0, value)
        elif isinstance(value, str):
            head += cbor_int(3, len(value.encode())) + value.encode()
        else:
            head += cbor_int(4, len(value)) + b"".join(b"\xfb" + struct.pack(">d", v) for v in value)
    return struct.pack(">IHH", 4 + len(head) + len(body), kind, len(head)) + head + body


def read_head(head):
    fields, at = {}, 0

    def item():
        nonlocal at
        first = head[at]
        major, n = first >> 5, first & 31
        at += 1
        if major == 7:
            at += 8
            return struct.unpack(">d", head[at - 8:at])[0]
        if n >= 24:
            size = 1 << (n - 24)
            n, at = int.from_bytes(head[at:at + size], "big"), at + size
        if major == 3:
            at += n
            return head[at - n:at].decode()
        return [item() for _ in range(n)] if major == 4 else n

    while at < len(head):
        number = item()
        fields[number] = item()
    return fields


TAG, TOKEN, OUTCOME, COPY_STATUS, REPORT, COPIES = 4, 9, 10, 11, 13, 16


async def read_frame(reader):
    """Returns kind, fields and body of the next frame."""
    length, kind, head_length = struct.unpack(">IHH", await reader.readexactly(8))
    rest = await reader.readexactly(length - 4)
    return kind, read_head(rest[:head_length]), rest[head_length:]


class NativeWorker:
    """Answers probes and load orders; `attempt(writer, fields, body, at)` is called for each attempt."""

    def __init__(self, record):
        self.record, self.jobs = record, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        writer.write(frame(1, [(1, 1), (2, "w-0")]))
        try:
            while True:
                kind, fields, body = await read_frame(reader)
                if kind == 32:
                    job = asyncio.create_task(self.attempt(writer, fields, body, now()))
                    self.jobs.add(job)
                    job.add_done_callback(self.jobs.discard)
                elif kind == 35:
                    writer.write(frame(36, [(TAG, fields[TAG]), (REPORT, [0.1, 1.0, 0.1])]))
                elif kind == 37:
                    writer.write(frame(38, [(TAG, fields[TAG]), (OUTCOME, 0), (COPIES, 1)]))
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            self.record.line("worker: a connection has ended")
        writer.close()

    def answer_ok(self, writer, fields, body):
        if not writer.is_closing():
            writer.write(frame(33, [(TAG, fields[TAG]), (OUTCOME, 0), (COPY_STATUS, 1)], body))


class Folder:
    """A temporary folder, for the list of what `run` ends, behind the programs that use it."""

    def __init__(self):
        self.path = tempfile.mkdtemp(prefix="curlewpoint-review-")

    def stop(self):
        shutil.rmtree(self.path, ignore_errors=True)


class Process:
    """A program of the project, for the list of what `run` ends."""

    def __init__(self, record, folder, name, arguments):
        self.record, self.folder, self.name, self.arguments, self.process = record, folder, name, arguments, None

    def start(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun("the program is not built")
        self.log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen([PROGRAM] + self.arguments, cwd=self.folder, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)
        self.record.line(f"{self.name} is started")

    def kill(self):
        if self.process and self.process.poll() is None:
            self.record.line(f"{self.name} is killed")
            self.process.kill()
        if self.process:
            self.process.wait()

    def stop(self):
        self.kill()
        with open(os.path.join(self.folder, self.name + ".log"), encoding="utf-8", errors="replace") as file:
            for line in file.read().splitlines()[:200]:
                self.record.file.write(f"          | {self.name}: {line}\n")


async def listening(port):
    for _ in range(200):
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.close()
            return
        except OSError:
            await asyncio.sleep(0.05)
    raise CannotRun("nothing listens on a port")


async def until(condition, limit_ms):
    end = now() + limit_ms
    while now() < end:
        if condition():
            return True
        await asyncio.sleep(0.01)
    return False


# A requester on AMQP 0-9-1.

def short(text):
    return bytes([len(text)]) + text.encode()


def long_text(text):
    return struct.pack(">I", len(text)) + text.encode()


class AmqpClient:
    """Publishes, and consumes queues without acknowledgement. `answers`: correlation id -> [(time, answer, why, length)]."""

    def __init__(self, record):
        self.record, self.answers, self.dead = record, {}, []

    async def open(self, port, consume):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.writer.write(b"AMQP\0\0\x09\x01")
        await self.expect(10, 10)
        self.method(0, 10, 11, struct.pack(">I", 0) + short("PLAIN") + long_text("\0guest\0guest") + short("en_US"))
        tune = await self.expect(10, 30)
        _, self.frame_max, _ = struct.unpack(">HIH", tune[:8])
        self.method(0, 10, 31, struct.pack(">HIH", 0, self.frame_max, 0))
        self.method(0, 10, 40, short("/") + short("") + b"\0")
        await self.expect(10, 41)
        self.method(1, 20, 10, short(""))
        await self.expect(20, 11)
        for queue in consume:
            self.method(1, 60, 20, struct.pack(">H", 0) + short(queue) + short(queue) + b"\x02" + struct.pack(">I", 0))
        self.task = asyncio.create_task(self.read())

    def raw(self, kind, channel, payload):
        self.writer.write(struct.pack(">BHI", kind, channel, len(payload)) + payload + b"\xce")

    def method(self, channel, group, number, arguments):
        self.raw(1, channel, struct.pack(">HH", group, number) + arguments)

    async def frame(self):
        kind, channel, size = struct.unpack(">BHI", await self.reader.readexactly(7))
        return kind, (await self.reader.readexactly(size + 1))[:-1]

    async def expect(self, group, number):
        while True:
            kind, payload = await self.frame()
            if kind == 1 and struct.unpack(">HH", payload[:4]) == (group, number):
                return payload[4:]

    def publish(self, queue, identity, reply_to, model, body):
        self.method(1, 60, 40, struct.pack(">H", 0) + short("") + short(queue) + b"\0")
        table = short("model") + b"S" + long_text(model)
        flags = 1 << 13 | 1 << 12 | 1 << 9 | 1 << 7
        properties = struct.pack(">I", len(table)) + table + b"\2" + short(reply_to) + short(identity)
        self.raw(2, 1, struct.pack(">HHQH", 60, 0, len(body), flags) + properties)
        for at in range(0, len(body), self.frame_max - 8):
            self.raw(3, 1, body[at:at + self.frame_max - 8])

    async def read(self):
        consumer, left, values = None, 0, None
        try:
            while True:
                kind, payload = await self.frame()
                if kind == 1 and struct.unpack(">HH", payload[:4]) == (60, 60):
                    consumer = payload[5:5 + payload[4]].decode()
                elif kind == 2:
                    left, values = struct.unpack(">Q", payload[4:12])[0], self.properties(payload)
                    size = left
                    if left == 0:
                        self.delivered(consumer, values, size)
                elif kind == 3:
                    left -= len(payload)
                    if left == 0:
                        self.delivered(consumer, values, size)
        except (asyncio.IncompleteReadError, OSError):
            self.record.line("requester: the broker has closed the connection")

    def delivered(self, consumer, values, size):
        headers = values.get("headers", {})
        if consumer == "curlewpoint.dead":
            self.dead.append((now(), values.get("message-id"), headers.get("curlewpoint-why")))
            self.record.line("dead letter %s: %s" % (values.get("message-id"), headers.get("curlewpoint-why")))
        else:
            identity = values.get("correlation-id")
            self.answers.setdefault(identity, []).append((now(), headers.get("answer"), headers.get("why"), size))
            self.record.line("answer to %s: %s %s" % (identity, headers.get("answer"), headers.get("why") or ""))

    @staticmethod
    def properties(payload):
        flags, at, values = struct.unpack(">H", payload[12:14])[0], 14, {}

        def short_text():
            nonlocal at
            length = payload[at]
            at += 1 + length
            return payload[at - length:at].decode()

        names = {15: "content-type", 14: "content-encoding", 13: "headers", 12: "delivery-mode", 11: "priority",
                 10: "correlation-id", 9: "reply-to", 8: "expiration", 7: "message-id"}
        for bit in range(15, 6, -1):
            if not flags & 1 << bit:
                continue
            if bit == 13:
                size = struct.unpack(">I", payload[at:at + 4])[0]
                at += 4
                end, headers = at + size, {}
                while at < end:
                    name, kind = short_text(), payload[at:at + 1]
                    at += 1
                    if kind != b"S":
                        break
                    length = struct.unpack(">I", payload[at:at + 4])[0]
                    at += 4 + length
                    headers[name] = payload[at - length:at].decode()
                at, values["headers"] = end, headers
            elif bit in (12, 11):
                at += 1
            else:
                values[names[bit]] = short_text()
        return values
