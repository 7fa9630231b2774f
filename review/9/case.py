"""A render worker's answer is spoilt while the call runs. The seat of that call must not be given to another."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from lab2 import CannotRun, Discovery, Worker, main, peak, post  # noqa: E402

SEATS = '[seats]\nlicences = ["av1"]\n'


def run_s(call):
    return 5.0 if call.path == "/long" else 0.2


def case(lab):
    discovery = Discovery()
    spoilt = set()

    def spoil(call):
        # Only the first answer to the long call is spoilt.
        if lab.trouble and call.path == "/long" and not spoilt:
            spoilt.add(call.txn)
            return True
        return False

    workers = [Worker(f"w{number}", lab.record, plan=run_s, spoil=spoil, cell=number) for number in (1, 2, 3)]
    for worker in workers:
        discovery.set(worker)
    nodes = lab.fleet("au", 3, discovery, lambda number: SEATS)
    lab.change(nodes[0], {"seats/av1": {"pool": {"seats": 1, "longest_run_ms": 10000}}}, {"seats/av1": 0})
    for node in nodes:
        lab.wait_record(node, "seats/av1", 1)

    def send(number, path, timeout):
        txn = f"t{number:04x}"
        status = post(nodes[0].listen, txn, "preview", "au", 15000, path, timeout, labels="licence=av1")
        lab.record("client", txn, path, "->", status)
        return status

    # The node asks for a seat once a job has found none.
    number = 1
    while send(number, "/short", 5.0) != 200:
        number += 1
        if number > 60:
            raise CannotRun("no seat was granted")
        time.sleep(0.2)
    long = threading.Thread(target=send, args=(1000, "/long", 16.0))
    long.start()
    start = time.monotonic()
    while time.monotonic() < start + 6.5:
        time.sleep(0.4)
        number += 1
        send(number, "/short", 5.0)
    long.join()
    time.sleep(5.5)

    calls = [call for worker in workers for call in worker.seen()]
    most, who = peak(calls, time.monotonic())
    lab.record("most calls with a seat at a time:", most, [f"{call.worker} {call.path} {call.txn}" for call in who])
    if most > 1:
        return f"{most} calls ran at a time with the one seat of the pool"
    return None


main(case, HERE)
