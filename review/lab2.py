"""Stand-ins and process control for the cases 6 to 10 of the review: discovery, render workers, a Eureka registry, and
nodes that are started with the command of the deploy file. All of it listens on loopback addresses and free ports."""

import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HELD, BROKEN, NOT_RUN = 0, 1, 2
# A case gives up after this many seconds, so that it ends all that it started within 120 s.
GIVE_UP_S = 110


class CannotRun(Exception):
    """The case could not run: no verdict."""


GIVEN_PORTS = set()


def free_port():
    """A port that is free, was not given before, and lies below those that the system gives to connections."""
    while True:
        port = random.randrange(20000, 32000)
        if port in GIVEN_PORTS:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        GIVEN_PORTS.add(port)
        return port


class Record:
    """What was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()

    def __call__(self, *words):
        line = f"{time.monotonic() - self.start:8.3f} " + " ".join(str(word) for word in words)
        with self.lock:
            self.file.write(line + "\n")
            self.file.flush()
            print(line, flush=True)


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def reply(self, status, body=b"", content_type="application/json"):
        self.send_response(status)
        self.send_header("Content-Type", content_type)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def serve(handler):
    server = Server(("127.0.0.1", 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server, f"127.0.0.1:{server.server_address[1]}"


class Discovery:
    """Discovery as PROTOCOL has it: the whole list, and a watch with `after` and `wait_ms`."""

    def __init__(self):
        self.revision, self.members, self.changed = 1, {}, {}
        self.condition = threading.Condition()
        discovery = self

        class Calls(Handler):
            def do_GET(self):
                path, _, query = self.path.partition("?")
                if path != "/v1/endpoints":
                    return self.reply(404)
                values = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
                answer = discovery.answer(values)
                return self.reply(200, json.dumps(answer).encode())

        self.server, self.address = serve(Calls)

    def answer(self, values):
        with self.condition:
            if "after" not in values:
                return self.list()
            after, deadline = int(values["after"]), time.monotonic() + int(values.get("wait_ms", 0)) / 1000
            while self.revision <= after and time.monotonic() < deadline:
                self.condition.wait(deadline - time.monotonic())
            if after > self.revision:
                return self.list()
            members = [self.members[name] for name, revision in self.changed.items() if revision > after]
            return {"revision": self.revision, "complete": False, "members": members}

    def list(self):
        members = [member for member in self.members.values() if member["phase"] != "removed"]
        return {"revision": self.revision, "complete": True, "members": members}

    def set(self, worker, phase="up"):
        with self.condition:
            self.revision += 1
            self.members[worker.id] = {"id": worker.id, "host_port": worker.address, "locality": "east", "flavor": "std",
                                       "cell": worker.cell, "phase": phase, "size": 1.0, "up_since_ms": 0}
            self.changed[worker.id] = self.revision
            self.condition.notify_all()


class Call:
    """One request that a render worker has got."""

    def __init__(self, worker, path, txn, got):
        self.worker, self.path, self.txn, self.got = worker, path, txn, got
        self.began = self.ended = None


class Worker:
    """A render worker as PROTOCOL has it. A job runs to its end once it has come, whatever becomes of its connection.
    `plan(call)` gives the seconds that it runs, and `spoil(call)` whether the answer is spoilt: then the line of the
    first progress report is cut short. With `slots`, jobs beyond that number wait in the order of their arrival."""

    def __init__(self, name, record, plan=lambda call: 0.02, spoil=lambda call: False, slots=None, cell=0):
        self.id, self.record, self.plan, self.spoil, self.cell = name, record, plan, spoil, cell
        self.calls, self.lock = [], threading.Lock()
        self.free, self.queue, self.turn = slots, [], threading.Condition()
        worker = self

        class Calls(Handler):
            def do_GET(self):
                self.reply(404)

            def do_POST(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                worker.run(self, body)

        self.server, self.address = serve(Calls)

    def wait_for_slot(self, call):
        if self.free is None:
            return
        with self.turn:
            self.queue.append(call)
            while self.queue[0] is not call or self.free == 0:
                self.turn.wait()
            self.queue.pop(0)
            self.free -= 1
            self.turn.notify_all()

    def return_slot(self):
        if self.free is not None:
            with self.turn:
                self.free += 1
                self.turn.notify_all()

    def run(self, http, _body):
        call = Call(self.id, http.path, http.headers.get("X-Txn"), time.monotonic())
        with self.lock:
            self.calls.append(call)
        self.record(self.id, "got", call.path, call.txn)
        stream = Lines(http, call.txn, self.id)
        self.wait_for_slot(call)
        call.began = time.monotonic()
        self.record(self.id, "began", call.path, call.txn)
        stream.send({"state": "started"})
        end, spoilt = call.began + self.plan(call), self.spoil(call)
        while True:
            left = end - time.monotonic()
            if left <= 1.0:
                break
            time.sleep(1.0)
            if spoilt:
                stream.raw(b'{"id":"' + call.txn.encode() + b'","from":"' + self.id.encode() + b'","sta\n')
                self.record(self.id, "sent a spoilt line for", call.path)
                spoilt = False
            else:
                stream.send({"state": "running", "share": 0.5})
        time.sleep(max(0.0, end - time.monotonic()))
        call.ended = time.monotonic()
        self.return_slot()
        self.record(self.id, "ended", call.path, call.txn)
        stream.send({"state": "done", "result": f"made {call.path}"})
        stream.finish()

    def seen(self, path=None):
        with self.lock:
            return [call for call in self.calls if path is None or call.path == path]


class Lines:
    """The chunked answer of a render worker. A client that has gone ends the answer, not the job."""

    def __init__(self, http, txn, worker):
        self.http, self.txn, self.worker, self.open = http, txn, worker, True
        try:
            http.send_response(200)
            http.send_header("Transfer-Encoding", "chunked")
            http.end_headers()
            http.wfile.flush()
        except OSError:
            self.close()

    def raw(self, line):
        if not self.open:
            return
        try:
            self.http.wfile.write(b"%x\r\n%s\r\n" % (len(line), line))
            self.http.wfile.flush()
        except OSError:
            self.close()

    def send(self, fields):
        line = {"id": self.txn, "from": self.worker, **fields}
        self.raw(json.dumps(line).encode() + b"\n")

    def finish(self):
        if not self.open:
            return
        try:
            self.http.wfile.write(b"0\r\n\r\n")
            self.http.wfile.flush()
        except OSError:
            self.close()

    def close(self):
        self.open, self.http.close_connection = False, True


class Link:
    """A cable to an address: what connects here is led there. While it is cut, nothing is led on in either direction,
    and connections stay silent; those that were open or were made meanwhile are reset when it is mended."""

    def __init__(self, target):
        self.target, self.is_cut, self.pairs, self.lock = target, False, [], threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", free_port()))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            near, _ = self.listener.accept()
            with self.lock:
                if self.is_cut:
                    self.pairs.append((near, None))
                    continue
                host, port = self.target.rsplit(":", 1)
                try:
                    far = socket.create_connection((host, int(port)), 1.0)
                except OSError:
                    reset(near)
                    continue
                far.settimeout(None)
                self.pairs.append((near, far))
            for source, sink in ((near, far), (far, near)):
                threading.Thread(target=self.lead, args=(source, sink), daemon=True).start()

    def lead(self, source, sink):
        try:
            while data := source.recv(65536):
                with self.lock:
                    if self.is_cut:
                        return
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def cut(self):
        with self.lock:
            self.is_cut = True

    def mend(self):
        with self.lock:
            self.is_cut, pairs, self.pairs = False, self.pairs, []
        for near, far in pairs:
            reset(near)
            if far:
                reset(far)


def reset(stream):
    """Closes a connection with a reset."""
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        stream.close()
    except OSError:
        pass


def peak(calls, now):
    """The most calls that ran at one time, and one pair of calls that did."""
    marks = sorted([(call.began, 1, call) for call in calls if call.began is not None]
                   + [(call.ended or now, -1, call) for call in calls if call.began is not None],
                   key=lambda mark: mark[:2])
    running, most, who = [], 0, []
    for _, step, call in marks:
        if step > 0:
            running.append(call)
        else:
            running.remove(call)
        if len(running) > most:
            most, who = len(running), list(running)
    return most, who


CLASSES = {
    "preview": {"name": "preview", "effect": "safe", "promise-us": 2000000, "deadline-us": 20000000},
    "sheet-publish": {"name": "sheet-publish", "effect": "keyed", "dedup-scope": "cell", "dedup-window-us": 40000000,
                      "promise-us": 5000000, "deadline-us": 25000000},
    "print": {"name": "print", "effect": "unsafe", "promise-us": 5000000, "deadline-us": 25000000},
}


def settings(nodes, index):
    classes = list(CLASSES.values())
    return {
        "balancers": nodes, "self-index": index, "zone": 0, "localities": ["east"], "kinds": ["std"], "layers": ["workers"],
        "registry-mode": "subscribe", "family": "jobs", "tier": 0, "stats": {"fields": [], "how": "silent"},
        "family-info": {"class-kind": [-1] * len(classes), "class-stretch": [2.0] * len(classes),
                        "class-priority": list(range(len(classes))), "tells-start": True, "progress-us": 1000000},
        "bounds": {"conn-idle-us": 5000000, "connect-timeout-us": 250000, "max-open": 20000, "max-retry-after-us": 2000000,
                   "may-cancel": True, "may-tell": False, "probes": False, "retry-after": True, "second-copies": False,
                   "try-limit": 3, "cpu-us-per-s": 0, "streams-per-conn": 1},
        "profiles": classes,
        "rules": {"cold-from": 0.38, "drain-grace-us": 400000, "grace-to-answer-us": 8000, "must-ask-in-us": 10000000,
                  "overload-factor": 4.0, "tip-after-us": 1500000, "warm-up-us": 8400000},
        "tenants": [{"name": "au", "quota-per-s": 1000.0, "share": 0.5},
                    {"name": "sued", "quota-per-s": 1000.0, "share": 0.5}],
        "weights": "silent", "worth-by": "request",
    }


class Process:
    """A process of a node; its log lines go to a file in the node's folder."""

    def __init__(self, node, ops):
        self.node, self.ops = node, ops
        self.log_path = os.path.join(node.folder, f"log-{len(node.processes)}.txt")
        self.log = open(self.log_path, "w", encoding="utf-8")
        environment = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        environment.update(LB_CONFIG=node.config, LB_NAME=node.name, LB_LISTEN=node.listen,
                           LB_DISCOVERY=node.discovery, LB_OPS=ops, TMPDIR=node.tmp)
        command = run_command(node.site)
        self.child = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                      stdout=self.log, stderr=self.log)

    def signal(self, number):
        if self.child.poll() is None:
            self.child.send_signal(number)

    def lines(self):
        with open(self.log_path, encoding="utf-8") as log:
            return log.read()

    def end(self):
        self.signal(signal.SIGKILL)
        self.child.wait()
        self.log.close()


def run_command(site):
    """The `run` command of the deploy file, with the operator file of the case in place of the deployment's."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as deploy:
        command = re.search(r'^run = "(.*)"$', deploy.read(), re.MULTILINE).group(1)
    return command.replace("deploy/site.toml", shlex.quote(site))


class Node:
    """A node with its folder and files."""

    def __init__(self, lab, name, index, nodes, discovery, operator_file):
        self.name, self.folder, self.tmp = name, os.path.join(lab.folder, name), os.path.join(lab.folder, name, "t")
        os.makedirs(self.tmp)
        self.listen, self.discovery = f"127.0.0.1:{free_port()}", discovery.address
        self.config, self.site = os.path.join(self.folder, "config.json"), os.path.join(self.folder, "site.toml")
        self.index, self.nodes, self.list, self.processes = index, nodes, discovery.list, []
        with open(self.site, "w", encoding="utf-8") as file:
            file.write(operator_file(self))
        self.write_config()

    def write_config(self):
        config = {"name": self.name, "listen": self.listen, "discovery": self.discovery,
                  "seed": f"{len(self.processes) + 1:x}{os.urandom(6).hex()}",
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                  "known": self.list(), "settings": settings(self.nodes, self.index)}
        with open(self.config, "w", encoding="utf-8") as file:
            json.dump(config, file)

    def start(self):
        """Starts a process; one that runs is replaced by it, as in an upgrade."""
        self.write_config()
        self.processes.append(Process(self, f"127.0.0.1:{free_port()}"))
        return self.processes[-1]

    @property
    def process(self):
        return self.processes[-1]

    def call(self, line, timeout=10.0, process=None):
        host, port = (process or self.process).ops.rsplit(":", 1)
        with socket.create_connection((host, int(port)), timeout) as stream:
            stream.settimeout(timeout)
            stream.sendall(line.encode() + b"\n")
            parts = []
            while part := stream.recv(65536):
                parts.append(part)
        return b"".join(parts).decode()


class Lab:
    """Everything that a case starts. Leaving it ends all processes and removes the temporary folder."""

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder, self.nodes = tempfile.mkdtemp(prefix="mdr-"), []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for node in self.nodes:
            for process in node.processes:
                process.end()
        if os.environ.get("KEEP_LOGS"):
            print("logs are kept in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def node(self, name, index, nodes, discovery, operator_file):
        node = Node(self, name, index, nodes, discovery, operator_file)
        self.nodes.append(node)
        return node

    def fleet(self, fleet, count, discovery, extra, voters=3):
        """Nodes that agree on records; the first `voters` of them vote."""
        addresses = [f"127.0.0.1:{free_port()}" for _ in range(voters)]

        def operator_file(number):
            def text(node):
                lines = [extra(number), "[agreement]", f'fleet = "{fleet}"', f"node = {number}", f"nodes = {count}",
                         'from = ["127.0.0.1"]', f'store = "{node.folder}/store"', "lease_ms = 3000", "tick_ms = 100"]
                for voter, address in enumerate(addresses, 1):
                    lines += ["[[agreement.voters]]", f"number = {voter}", f'address = "{address}"']
                return "\n".join(lines) + "\n"
            return text

        nodes = [self.node(f"{fleet}{number}", number - 1, count, discovery, operator_file(number))
                 for number in range(1, count + 1)]
        for node in nodes:
            node.start()
        for node in nodes:
            self.wait_ready(node)
            self.wait(f"{node.name} reads the records", lambda node=node: has_reading(node.call("records")))
        return nodes

    def wait(self, what, condition, timeout=20.0):
        deadline = time.monotonic() + timeout
        while True:
            try:
                if value := condition():
                    return value
            except OSError:
                pass
            if time.monotonic() > deadline:
                raise CannotRun(f"{what}: not within {timeout} s")
            time.sleep(0.02)

    def wait_ready(self, node):
        self.wait(f"{node.name} is ready", lambda: get_ready(node) == 200)

    def change(self, node, put, expect):
        """Changes records and returns once the change is done."""
        line = "change " + json.dumps({"expect": expect, "put": put})
        deadline = time.monotonic() + 20.0
        while True:
            answer = node.call(line).strip()
            self.record("operator to", node.name, line, "->", answer)
            if answer.startswith("ACK"):
                return
            if time.monotonic() > deadline:
                raise CannotRun(answer)
            time.sleep(0.3)

    def wait_record(self, node, name, version):
        self.wait(f"{name} {version} in force at {node.name}",
                  lambda: f"{name} {version} in force" in node.call("records"))


def has_reading(text):
    found = re.search(r"reading for (\d+) ms", text)
    return bool(found) and int(found.group(1)) > 0


def get_ready(node):
    host, port = node.listen.rsplit(":", 1)
    with socket.create_connection((host, int(port)), 2.0) as stream:
        stream.settimeout(2.0)
        stream.sendall(b"GET /ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
        return int(stream.recv(4096).split()[1])


class Submitter:
    """A submitter that keeps one connection and waits for each answer."""

    def __init__(self, address, record, timeout=60.0):
        host, port = address.rsplit(":", 1)
        self.stream = socket.create_connection((host, int(port)), timeout)
        self.stream.settimeout(timeout)
        self.lines, self.record, self.number = self.stream.makefile("rb"), record, 0

    def ask(self, request):
        self.number += 1
        request = {**request, "seq": self.number}
        self.record("submitter ->", json.dumps(request))
        self.stream.sendall(json.dumps(request).encode() + b"\n")
        while line := self.lines.readline():
            self.record("submitter <-", line.decode().strip())
            answer = json.loads(line)
            if answer.get("seq") == self.number:
                return answer
        raise ConnectionError("the front has closed the connection")


def post(address, txn, lane, tenant, remaining_ms, path, timeout, key=None, labels=None, stop_after=None):
    """One job over HTTP on a connection of its own: its status, or None where the client left or the connection ended."""
    host, port = address.rsplit(":", 1)
    head = [f"POST {path} HTTP/1.1", "Host: origin.svc", f"X-Txn: {txn}", f"X-Lane: {lane}", f"X-Org: {tenant}",
            f"X-Remaining-Ms: {remaining_ms}", "Content-Length: 2"]
    head += [f"Idempotency-Key: {key}"] if key else []
    head += [f"X-Labels: {labels}"] if labels else []
    with socket.create_connection((host, int(port)), 2.0) as stream:
        stream.settimeout(stop_after or timeout)
        stream.sendall(("\r\n".join(head) + "\r\n\r\nhi").encode())
        try:
            answer = stream.recv(65536)
        except TimeoutError:
            return None
        return int(answer.split()[1]) if answer else None


def main(case, case_folder):
    """Runs a case; its exit code is the verdict."""
    def give_up(number, _):
        raise CannotRun(f"ended by signal {number}")

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, give_up)
    signal.alarm(GIVE_UP_S)
    lab = Lab(case_folder)
    code = NOT_RUN
    try:
        with lab:
            lab.record("with the disruption" if lab.trouble else "without the disruption")
            problem = case(lab)
            code = BROKEN if problem else HELD
            lab.record("the rule was broken:" if problem else "the rule held", problem or "")
    except (CannotRun, OSError, subprocess.SubprocessError) as error:
        lab.record("the case could not run:", repr(error))
    sys.stdout.flush()
    # Threads of a case that was given up may still wait for an answer.
    os._exit(code)
