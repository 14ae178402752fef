"""A long-lived client connection that carries calls and health checks, with one run of tags from 1."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from standin import *

LENGTH_MS = 85_000
CALL_EVERY_MS = 25
CHECK_EVERY_MS = 250
TIMEOUT_MS = 5_000
SLACK_MS = 50


async def scenario(record, folder, trouble, started):
    rng = random.Random(7)
    work = lambda message: rng.uniform(150, 450)
    directory = Directory()
    await directory.start()
    workers = [Worker("s-%08x" % n, record, work) for n in range(1, 5)]
    for worker in workers:
        worker.start()
        directory.add(worker)
    classes = [request_class("read-fields", "read_like", 600.0, 5000.0)]
    node = Scheduler(folder, "n1", directory, settings(classes))
    started.append(node)
    node.start()
    await node.ready(record)
    conn, number = ClientConn("a", record), 0
    await conn.open(node.address)
    conns, tag, begin, next_check = [conn], 0, now(), now()
    calls = []  # (connection, tag)
    tick = 0
    while now() - begin < LENGTH_MS:
        if conn.ended is not None:
            number += 1
            conn, tag = ClientConn("a%d" % number, record), 0
            await conn.open(node.address)
            conns.append(conn)
        if trouble and now() >= next_check:
            tag += 1
            conn.check(tag)
            next_check += CHECK_EVERY_MS
        tag += 1
        conn.call(tag, "read-fields", "%016x" % rng.getrandbits(64), TIMEOUT_MS, "%016x" % rng.randrange(1, 4), b"page %d" % tag)
        calls.append((conn, tag))
        tick += 1
        await asyncio.sleep(max(0.0, (begin + tick * CALL_EVERY_MS - now()) / 1000.0))
    await asyncio.sleep((TIMEOUT_MS + SLACK_MS + 500) / 1000.0)
    words, lost, crossed = {}, [], 0
    for conn, tag in calls:
        answer = conn.answers.get(tag)
        if answer is None:
            # A request that crosses the close of a connection without an open request goes again: not lost by that.
            sent = conn.written[tag]
            others = [t for c, t in calls if c is conn and t != tag and conn.written[t] < sent - 50
                      and (t not in conn.answers or conn.answers[t][0] > sent)]
            if conn.ended is not None and conn.ended - sent <= 50 and not others:
                crossed += 1
            else:
                lost.append((conn.name, tag, sent, conn.ended, len(others)))
            continue
        words[answer[1]] = words.get(answer[1], 0) + 1
    summary = ["calls %d, answers %s, connections that the scheduler ended %d, excused %d" %
               (len(calls), words, sum(c.ended is not None for c in conns), crossed)]
    for name, tag, sent, ended, others in lost:
        summary.append("LOST: call %d on connection %s, written at %.1f, connection ended at %s with no answer; %d other "
                       "calls were open" % (tag, name, sent, "%.1f" % ended if ended else "-", others))
    summary.append("rule lost: %s" % ("broken" if lost else "held"))
    return not lost, summary


play(HERE, scenario)
