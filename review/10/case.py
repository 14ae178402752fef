"""A node sends to a drained worker for a second too long while discovery gives no answer for 3 s."""

import asyncio
import os
import sys
import time
from collections import Counter

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from standins import Client, Discovery, Node, Worker, method, new_id, run, settings  # noqa: E402

WARM_UP = 3.0
SILENCE = 3.0  # DAYS: "for 3 s no answer at all may come"
DRAIN_AT = 0.1  # after the last answer could come
ASKED = 0.25  # a good answer to the next query would have told of the drain: the node asks five times a second
TOLD = 1.5  # DAYS: "Whatever a good answer would have told counts as told 1.5 s later"
GRACE, SLACK = 0.5, 0.05  # `drainGrace`; "Each time limit grows by 50 ms"
RATE, FUNCTIONS = 150, 900


async def case(record, trouble, cleanup):
    workers = [await Worker(record, f"s-{n:08x}", work_s=0.05).start() for n in range(4)]
    leaving = workers[0]
    discovery = await Discovery(record, workers).start()
    node = Node(record, "n1", settings([method("read-fields", 600.0, 5000.0, "read_like")]), workers, discovery.address)
    cleanup.append(node)
    await node.start()
    clients = [await Client.connect(record, node.address) for _ in range(4)]
    subjects = [new_id() for _ in range(FUNCTIONS)]
    began = time.time()
    silent_at = drained_at = None
    answers = []
    while time.time() - began < WARM_UP + SILENCE + 1:
        now = time.time()
        if silent_at is None and now - began >= WARM_UP:
            silent_at, discovery.silent = now, trouble
            record.line("discovery gives no answer from now on" if trouble else "discovery goes on answering")
        if drained_at is None and silent_at and now - silent_at >= DRAIN_AT:
            drained_at, discovery.rows[leaving], leaving.drains = now, True, True
            discovery.change(f"{leaving.name} drains")
        if discovery.silent and now - silent_at >= SILENCE:
            discovery.silent = False
            record.line("discovery answers again")
        count = len(answers)
        answers.append(clients[count % 4].call("read-fields", subjects[count % FUNCTIONS], 3000, b"page"))
        await asyncio.sleep(1 / RATE)
    await asyncio.sleep(3.2)
    words = Counter((answer.result() or [0, "nothing"])[1] if answer.done() else "nothing" for _, _, answer in answers)
    until = drained_at + ASKED + TOLD + GRACE + SLACK
    late = [(at, m["req"]) for at, m in leaving.attempts if at > until]
    late += [(at, f"an order to load ({m['req']})") for at, m in leaving.orders if at > until]
    for at, message in leaving.attempts:
        record.line(f"{leaving.name} gets {message['req']}, {at - drained_at:.3f} s after its drain began", at)
    for at, what in sorted(late):
        record.line(f"too late: {what}, {at - drained_at:.3f} s after the drain began", at)
    last = max((at for at, _ in late), default=drained_at) - drained_at
    print(f"answers: {dict(words)}; sent too late: {len(late)}, the last one {last:.2f} s after the drain began")
    return f"{len(late)} attempts or orders went to a drained worker later than {until - drained_at:.2f} s" if late else None


run(case, os.path.dirname(os.path.abspath(__file__)))
