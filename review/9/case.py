"""A scheduler that is restarted during an outage of discovery sends to a drained worker for too long."""

import asyncio
import os
import signal
import sys
import time
from collections import Counter

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from standins import Client, Discovery, Node, Worker, known, method, new_id, run, settings  # noqa: E402

WARM_UP = 2.0
OUTAGE = 8.0  # FLEET: "discovery is down for 8 s"
KILLED_AT = 4.0  # after the begin of the outage; started again at once
DRAIN_AFTER = 0.1  # after the scheduler is ready again, more than 4 s and less than 4.5 s after the outage began
TOLD_OUTAGE, TOLD, GRACE, SLACK = 4.5, 1.5, 0.5, 0.05
RATE, FUNCTIONS = 150, 900


async def case(record, trouble, cleanup):
    workers = [await Worker(record, f"s-{n:08x}", work_s=0.05).start() for n in range(4)]
    leaving = workers[0]
    discovery = await Discovery(record, workers).start()
    # Settings of a site that does not allow orders to load.
    site = settings([method("read-fields", 600.0, 5000.0, "read_like")])
    site["familyInfo"]["mayOrder"] = False
    node = Node(record, "n1", site, workers, discovery.address)
    cleanup.append(node)
    await node.start()
    subjects = [new_id() for _ in range(FUNCTIONS)]
    answers = []

    async def traffic():
        clients = []
        while True:
            count = len(answers)
            clients = [client for client in clients if not client.ended]
            try:
                while len(clients) < 4:
                    clients.append(await Client.connect(record, node.address))
                answers.append(clients[count % 4].call("read-fields", subjects[count % FUNCTIONS], 3000, b"page"))
            except OSError:
                pass
            await asyncio.sleep(1 / RATE)

    calling = asyncio.ensure_future(traffic())
    await asyncio.sleep(WARM_UP)
    began, discovery.silent = time.time(), trouble
    record.line("discovery gives no answer from now on" if trouble else "discovery goes on answering")
    await asyncio.sleep(began + KILLED_AT - time.time())
    node.signal(signal.SIGKILL)
    node.process.wait()
    # `known` holds the events so far: none but the first.
    node.config["seed"] = os.urandom(8).hex()
    node.config["known"] = known(workers)
    await node.start()
    await asyncio.sleep(DRAIN_AFTER)
    drained_at, discovery.rows[leaving], leaving.drains = time.time(), True, True
    discovery.change(f"{leaving.name} drains, {drained_at - began:.2f} s after the begin of the outage")
    await asyncio.sleep(began + OUTAGE - time.time())
    discovery.silent = False
    record.line("discovery answers again")
    await asyncio.sleep(1.0)
    calling.cancel()
    await asyncio.sleep(3.2)
    words = Counter((answer.result() or [0, "nothing"])[1] if answer.done() else "nothing" for _, _, answer in answers)
    until = max(drained_at + TOLD, began + TOLD_OUTAGE) + GRACE + SLACK
    late = [(at, m["req"]) for at, m in leaving.attempts + leaving.orders if at > until]
    for at, message in leaving.attempts:
        if at > drained_at:
            record.line(f"{leaving.name} gets {message['req']}, {at - drained_at:.3f} s after its drain began", at)
    for at, req in late:
        record.line(f"too late: {req}, {at - drained_at:.3f} s after the drain began", at)
    last = max((at for at, _ in late), default=drained_at) - drained_at
    print(f"answers: {dict(words)}; sent too late: {len(late)}, the last one {last:.2f} s after the drain began")
    return f"{len(late)} attempts went to a drained worker later than {until - drained_at:.2f} s" if late else None


run(case, os.path.dirname(os.path.abspath(__file__)))
