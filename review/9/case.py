"""Discovery tells that a render worker drains and then that it is gone; a registry names it `UP` for some seconds more."""

import json
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from lab2 import CannotRun, Discovery, Handler, Worker, main, post, serve  # noqa: E402

# Far over the 0.4 s of grace (and 50 ms on sockets), so that a slow machine makes no call late.
LATE_S = 1.0


class Registry:
    """A Eureka registry that serves whole lists."""

    def __init__(self, record):
        self.record, self.instances = record, {}
        registry = self

        class Calls(Handler):
            def do_GET(self):
                if self.path.rstrip("/") != "/eureka/apps":
                    return self.reply(404)
                return self.reply(200, json.dumps(registry.list()).encode())

        self.server, self.address = serve(Calls)

    def set(self, worker, status):
        host, port = worker.address.rsplit(":", 1)
        self.instances[worker.id] = {
            "instanceId": worker.id, "hostName": worker.id, "app": "RENDER", "ipAddr": host, "status": status,
            "overriddenstatus": "UNKNOWN", "port": {"$": int(port), "@enabled": "true"}, "vipAddress": "render",
            "leaseInfo": {"serviceUpTimestamp": 0}, "metadata": {"worker": worker.id, "zone": "east", "kind": "std"},
            "lastDirtyTimestamp": str(int(time.time() * 1000)), "actionType": "ADDED"}

    def list(self):
        instances = list(self.instances.values())
        counts = {}
        for instance in instances:
            counts[instance["status"]] = counts.get(instance["status"], 0) + 1
        hash_code = "".join(f"{status}_{count}_" for status, count in sorted(counts.items()))
        self.record("registry answers:", {instance["instanceId"]: instance["status"] for instance in instances})
        applications = [{"name": "RENDER", "instance": instances}] if instances else []
        return {"applications": {"versions__delta": "1", "apps__hashcode": hash_code, "application": applications}}


def case(lab):
    discovery, registry = Discovery(), Registry(lab.record)
    workers = [Worker("w1", lab.record, cell=1), Worker("w2", lab.record, cell=2)]
    for worker in workers:
        discovery.set(worker)
        registry.set(worker, "UP")
    operator_file = (f'[eureka]\nurls = ["http://{registry.address}/eureka"]\napps = ["RENDER"]\nid_key = "worker"\n'
                     'zone_key = "zone"\nkind_key = "kind"\npoll_s = 2\ndeltas = false\n')
    node = lab.node("au1", 0, 1, discovery, lambda _: operator_file)
    node.start()
    lab.wait_ready(node)
    lab.wait("both sources name w2", lambda: "eureka: up" in members_line(node) and "directory: up" in members_line(node))

    stop, answers, lock = threading.Event(), {}, threading.Lock()

    def client(number):
        turn = 0
        while not stop.is_set():
            turn += 1
            status = post(node.listen, f"c{number}-{turn}", "preview", "au", 5000, f"/job-{number}-{turn}", 6.0)
            with lock:
                answers[status] = answers.get(status, 0) + 1
            time.sleep(0.1)

    clients = [threading.Thread(target=client, args=(number,)) for number in range(2)]
    for thread in clients:
        thread.start()
    time.sleep(3.0)
    lab.record("discovery tells: w2 draining; registry:", "w2 UP as before" if lab.trouble else "w2 DOWN")
    discovery.set(workers[1], "draining")
    if not lab.trouble:
        registry.set(workers[1], "DOWN")
    time.sleep(3.0)
    lab.record("members:", members_line(node), "- calls at w2 so far:", len(workers[1].seen()))
    lab.record("discovery tells: w2 removed; registry:", "w2 UP as before" if lab.trouble else "w2 is cancelled")
    discovery.set(workers[1], "removed")
    gone = time.monotonic()
    if not lab.trouble:
        del registry.instances["w2"]
    time.sleep(6.0)
    lab.record("members:", members_line(node))
    if lab.trouble:
        lab.record("the lease of w2 has run out at the registry")
        del registry.instances["w2"]
    time.sleep(3.0)
    stop.set()
    for thread in clients:
        thread.join()
    lab.record("answers to clients:", answers, "- calls at w1:", len(workers[0].seen()), "at w2:", len(workers[1].seen()))
    if not answers.get(200):
        raise CannotRun("nothing was served")
    wrong = [call for call in workers[1].seen() if call.got > gone + LATE_S]
    if wrong:
        late = wrong[-1].got - gone
        return (f"{len(wrong)} calls were sent to a render worker over 4 s after it was told to drain and over 1 s after it "
                f"was told to be gone, the last {late:.1f} s after that")
    return None


def members_line(node):
    """What the node says of w2."""
    lines = [line for line in node.call("members").splitlines() if line.startswith("w2 ")]
    return lines[0] if lines else "w2 is not known"


main(case, HERE)
