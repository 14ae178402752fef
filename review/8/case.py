"""Bad clients that send hundreds of requests at once take a node over its memory limit."""

import asyncio
import os
import sys
import time
from collections import Counter

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from standins import Client, Discovery, Node, Worker, method, new_id, run, settings  # noqa: E402

MEMORY_MB, SOCKETS = 32, 1024  # DAYS: "32 to 192 MB", "256 to 1,024 descriptors"
USUAL, USUAL_RATE, USUAL_BODY = 40, 100, 1024
BAD = 240  # "connect by the hundred"; with the usual ones under a third of the descriptors
AT_ONCE = 200  # "hundreds of requests at once"
BODY = os.urandom(16 * 1024)  # "A body holds 16 KiB at most."
CALM, LENGTH = 3.0, 40.0
TIMEOUT_MS = 5000


async def case(record, trouble, cleanup):
    workers = [await Worker(record, f"s-{n:08x}", work_s=0.1).start() for n in range(8)]
    discovery = await Discovery(record, workers).start()
    node = Node(record, "n1", settings([method("read-fields", 600.0, 5000.0, "read_like")]), workers, discovery.address,
                sockets=SOCKETS, memory_mb=MEMORY_MB)
    cleanup.append(node)
    await node.start()
    subjects = [new_id() for _ in range(20)]
    over = asyncio.Event()
    highest = 0

    async def platform():
        """Kills the scheduler once it is over its limit. Counts anonymous memory alone, neither files nor sockets."""
        nonlocal highest
        last = 0
        while True:
            used = node.memory_kb("RssAnon") or 0
            highest = max(highest, used)
            if time.time() - last > 1:
                last = time.time()
                record.line(f"the node uses {used} kB")
            if used > MEMORY_MB * 1024:
                record.line(f"the node uses {used} kB, its limit is {MEMORY_MB * 1024} kB: the platform kills it")
                node.process.kill()
                over.set()
                return
            await asyncio.sleep(0.02)

    async def usual(client, answers):
        while not over.is_set():
            req, _, answer = client.call("read-fields", subjects[len(answers) % 20], TIMEOUT_MS, os.urandom(USUAL_BODY))
            answers.append((req, answer))
            await answer
            await asyncio.sleep(USUAL / USUAL_RATE)

    async def bad(words):
        """Sends hundreds of requests at once, reads what it gets, and sends the same again."""
        client = await Client.connect(record, node.address)
        while not over.is_set() and not client.ended:
            answers = []
            for n in range(AT_ONCE):
                answers.append(client.call("read-fields", subjects[n % 20], TIMEOUT_MS, BODY)[2])
                await client.writer.drain()
            for answer in answers:
                words[(await answer or [0, "closed"])[1]] += 1

    watching = asyncio.ensure_future(platform())
    answers, words = [], Counter()
    clients = [await Client.connect(record, node.address) for _ in range(USUAL)]
    tasks = [asyncio.ensure_future(usual(client, answers)) for client in clients]
    await asyncio.sleep(CALM)
    if trouble:
        record.line(f"{BAD} bad clients begin, each sends {AT_ONCE} requests of {len(BODY)} bytes at once, again and again")
        tasks += [asyncio.ensure_future(bad(words)) for _ in range(BAD)]
    try:
        await asyncio.wait_for(over.wait(), LENGTH)
    except asyncio.TimeoutError:
        pass
    crashed = over.is_set() or node.process.poll() is not None
    await asyncio.sleep(0.5)
    for task in tasks:
        task.cancel()
    watching.cancel()
    lost = 0
    for req, answer in answers:
        word = (answer.result() or [0, "nothing, the connection ended"])[1] if answer.done() and not answer.cancelled() \
            else "nothing yet"
        lost += word.startswith("nothing,")
        record.line(f"a usual client got '{word}' for {req}")
    record.line(f"the bad clients got {dict(words)}")
    print(f"highest use {highest} kB of {MEMORY_MB * 1024} kB; requests of usual clients cut off: {lost}")
    return f"the scheduler went over its memory limit and was killed, {lost} requests of usual clients cut off" \
        if crashed else None


run(case, os.path.dirname(os.path.abspath(__file__)))
