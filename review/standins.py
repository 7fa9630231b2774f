"""Stand-ins for a small deployment on loopback: discovery, render workers, submitters and operators, and the start and
end of the node's processes. Standard library only."""

import json
import os
import re
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "127.0.0.1"


class CannotRun(Exception):
    """The case could not be set up, so nothing was shown."""


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, who, text):
        with self.lock:
            line = f"{self.now():8.3f} {who}: {text}"
            print(line, file=self.file, flush=True)


def free_port(used=set()):
    """A free port. Ports come from below the range that the system gives to outgoing connections, so that one stays
    free while its process is restarted."""
    with open("/proc/sys/net/ipv4/ip_local_port_range", encoding="ascii") as file:
        low = int(file.read().split()[0])
    first, last = (10000, low) if low > 12000 else (10000, 30000)
    number = (os.getpid() * 97 + int(time.time() * 1000)) % (last - first)
    for _ in range(last - first):
        number = (number + 1) % (last - first)
        port = first + number
        if port in used:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        used.add(port)
        return port
    raise CannotRun("no free port")


def wait_until(what, condition, seconds=20.0, pause=0.02):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(pause)
    raise CannotRun(f"not seen within {seconds} s: {what}")


def serve(handler, port=0):
    """Accepts connections on a loopback port; each is handled on a thread of its own."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, port))
    listener.listen(256)

    def accept():
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=guarded, args=(connection,), daemon=True).start()

    def guarded(connection):
        try:
            handler(connection)
        except OSError:
            pass
        finally:
            connection.close()

    threading.Thread(target=accept, daemon=True).start()
    return listener.getsockname()[1]


def read_request(stream):
    """Reads an HTTP/1.1 request: method, target, fields, body. None at the end of the connection."""
    line = stream.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    fields = {}
    while True:
        line = stream.readline()
        if line in (b"\r\n", b"\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        fields[name.strip().lower()] = value.strip()
    body = stream.read(int(fields.get("content-length", "0")))
    return method, target, fields, body


def http_answer(status, text, body=b"", fields=""):
    head = f"HTTP/1.1 {status} {text}\r\nContent-Length: {len(body)}\r\n{fields}\r\n"
    return head.encode("latin-1") + body


class Discovery:
    """Discovery as in PROTOCOL: the whole list, and a watch on changes."""

    def __init__(self):
        self.condition = threading.Condition()
        self.revision = 0
        self.members = {}
        self.changed = {}
        self.address = f"{HOST}:{serve(self.handle)}"

    def set(self, worker, phase="up"):
        with self.condition:
            self.revision += 1
            self.members[worker.id] = worker.entry(phase)
            self.changed[worker.id] = self.revision
            self.condition.notify_all()

    def list(self):
        with self.condition:
            return self.answer(None)

    def answer(self, after):
        members = [m for m in self.members.values()
                   if (after is None and m["phase"] != "removed")
                   or (after is not None and self.changed[m["id"]] > after)]
        return {"revision": self.revision, "complete": after is None, "members": members}

    def handle(self, connection):
        stream = connection.makefile("rb")
        while True:
            request = read_request(stream)
            if request is None:
                return
            path, _, query = request[1].partition("?")
            if path != "/v1/endpoints":
                connection.sendall(http_answer(404, "Not Found"))
                continue
            values = dict(pair.split("=") for pair in query.split("&") if "=" in pair)
            after = int(values["after"]) if "after" in values else None
            wait = min(int(values.get("wait_ms", "0")), 60000) / 1000
            with self.condition:
                if after is not None and after <= self.revision:
                    end = time.monotonic() + wait
                    while self.revision <= after and time.monotonic() < end:
                        self.condition.wait(end - time.monotonic())
                else:
                    after = None
                body = json.dumps(self.answer(after)).encode()
            connection.sendall(http_answer(200, "OK", body))


class Cell:
    """The workers of one cell: together they drop the repeats of a key within the window."""

    def __init__(self, window):
        self.window = window
        self.lock = threading.Lock()
        self.keys = {}

    def first_run(self, key, run):
        """The earlier run of this key that is still in the window, or None where `run` is the first."""
        with self.lock:
            known = self.keys.get(key)
            if known is not None and time.monotonic() - known["at"] < self.window:
                return known
            self.keys[key] = run
            return None


class Worker:
    """A render worker as in PROTOCOL. `run_s(job)` tells how long a job runs. Work does not stop when its connection is
    closed."""

    def __init__(self, name, record, cell_number, cell, run_s, zone="keller-ost", kind="r5-std", slots=8):
        self.id, self.zone, self.kind, self.cell_number = name, zone, kind, cell_number
        self.cell, self.run_s, self.slots = cell, run_s, slots
        self.record = record
        self.lock = threading.Lock()
        self.runs = []
        self.port = serve(self.handle)
        self.address = f"{HOST}:{self.port}"

    def entry(self, phase):
        return {"id": self.id, "host_port": self.address, "locality": self.zone, "flavor": self.kind,
                "cell": self.cell_number, "phase": phase, "size": 1.0, "up_since_ms": 0}

    def load(self):
        with self.lock:
            running = sum(1 for run in self.runs if run["end"] is None)
        return json.dumps({"err_rps": 0.0, "avg_ms": 500.0, "cpu": 0.2, "x0": max(0, self.slots - running)})

    def running(self):
        with self.lock:
            return [run for run in self.runs if run["end"] is None]

    def handle(self, connection):
        stream = connection.makefile("rb")
        while True:
            request = read_request(stream)
            if request is None:
                return
            method, target, fields, body = request
            if method == "GET" and target in ("/health", "/status/load"):
                connection.sendall(http_answer(200, "OK", self.load().encode()))
                continue
            if "x-txn" not in fields:
                connection.sendall(http_answer(404, "Not Found"))
                continue
            if not self.job(connection, target, fields, body):
                return

    def line(self, connection, alive, value):
        text = (json.dumps(value) if isinstance(value, dict) else value) + "\n"
        if alive[0]:
            try:
                connection.sendall(f"{len(text.encode()):x}\r\n{text}\r\n".encode())
            except OSError:
                alive[0] = False

    def job(self, connection, target, fields, body):
        txn, key = fields["x-txn"], fields.get("idempotency-key")
        run = {"txn": txn, "key": key, "target": target, "worker": self.id, "at": time.monotonic(), "end": None,
               "result": None, "done": threading.Event()}
        earlier = self.cell.first_run(key, run) if key else None
        alive = [True]
        connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if earlier is not None:
            self.record(self.id, f"drops a repeat: txn {txn} key {key} {target}")
            earlier["done"].wait(60)
            self.line(connection, alive, {"id": txn, "from": self.id, "state": "done", "result": earlier["result"],
                                          "load": json.loads(self.load())})
        else:
            seconds = self.run_s(run)
            with self.lock:
                self.runs.append(run)
            self.record(self.id, f"runs: txn {txn} key {key} {target}, for {seconds} s")
            self.line(connection, alive, {"id": txn, "from": self.id, "state": "started"})
            end = run["at"] + seconds
            while time.monotonic() < end:
                time.sleep(max(0.0, min(1.0, end - time.monotonic())))
                if time.monotonic() < end:
                    self.line(connection, alive, {"id": txn, "from": self.id, "state": "running", "share": 0.5})
            run["result"] = f"{self.id} made {target}"
            with self.lock:
                run["end"] = time.monotonic()
            run["done"].set()
            self.record(self.id, f"has run: txn {txn} key {key} {target}")
            self.line(connection, alive, {"id": txn, "from": self.id, "state": "done", "result": run["result"],
                                          "load": json.loads(self.load())})
        if alive[0]:
            try:
                connection.sendall(b"0\r\n\r\n")
            except OSError:
                alive[0] = False
        return alive[0]


class Submitter:
    """A connection to a node's submission front: one JSON object a line."""

    def __init__(self, address, record, name, timeout=60.0):
        host, port = address.rsplit(":", 1)
        self.socket = socket.create_connection((host, int(port)), timeout=timeout)
        self.stream = self.socket.makefile("rb")
        self.record, self.name = record, name
        self.seq = 0

    def send(self, request):
        self.seq += 1
        line = json.dumps({**request, "seq": self.seq})
        self.record(self.name, f"sends {line}")
        self.socket.sendall(line.encode() + b"\n")
        return self.seq

    def receive(self, seq):
        while True:
            line = self.stream.readline()
            if not line:
                self.record(self.name, "its connection was closed")
                raise ConnectionError("closed")
            value = json.loads(line)
            self.record(self.name, f"gets {line.decode().strip()[:600]}")
            if value.get("seq") == seq:
                return value

    def ask(self, request):
        return self.receive(self.send(request))

    def close(self):
        # The socket ends with the last of both.
        self.stream.close()
        self.socket.close()


def ask_operator(address, line, timeout=10.0):
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=timeout) as connection:
        connection.sendall(line.encode() + b"\n")
        answer = b""
        while True:
            data = connection.recv(65536)
            if not data:
                return answer.decode()
            answer += data


def get_ready(address):
    host, port = address.rsplit(":", 1)
    try:
        with socket.create_connection((host, int(port)), timeout=2) as connection:
            connection.sendall(b"GET /ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
            return connection.recv(64).startswith(b"HTTP/1.1 200")
    except OSError:
        return False


def settings(balancers, index, **changes):
    """The settings of a small deployment, with the figures of WIRE's example."""
    value = {
        "balancers": balancers,
        "bounds": {"conn-idle-us": 5000000, "connect-timeout-us": 250000, "cpu-us-per-request": 0.0,
                   "cpu-us-per-s": 15000, "max-open": 20000, "max-retry-after-us": 2000000, "may-cancel": True,
                   "may-tell": False, "probes": True, "retry-after": True, "second-copies": True,
                   "streams-per-conn": 1, "try-limit": 3},
        "clients": {"marks-retry": True},
        "family": "jobs",
        "family-info": {"class-kind": [-1, -1], "class-priority": [0, 1], "class-stretch": [2.0, 2.5],
                        "memory-unit": "a worker has one unit for each slot", "notes": "1 it has started, 2 share done",
                        "progress-us": 1000000, "queue-order": "fifo", "report-x0": "free slots",
                        "report-x1": "free memory", "tells-start": True},
        "kinds": ["r4-fast", "r5-std", "r5-old"],
        "layers": ["vorschau-workers"],
        "localities": ["keller-ost", "keller-west"],
        "profiles": [
            {"deadline-us": 7500000, "dedup-scope": "all", "dedup-window-us": 5000000, "effect": "safe",
             "importance": 3.0, "late-worth": 0.0, "name": "preview", "promise-us": 250000, "stream": False},
            {"deadline-us": 25000000, "dedup-scope": "cell", "dedup-window-us": 40000000, "effect": "keyed",
             "importance": 9.0, "late-worth": 0.0, "name": "sheet-publish", "promise-us": 600000, "stream": False}],
        "registry-mode": "subscribe",
        "rules": {"cold-from": 0.38, "drain-grace-us": 400000, "grace-to-answer-us": 8000, "must-ask-in-us": 10000000,
                  "overload-factor": 4.0, "tip-after-us": 1500000, "warm-up-us": 8400000},
        "self-index": index,
        "stats": {"fields": ["err_rps", "avg_ms", "cpu", "x0"], "how": "piggyback"},
        "tenants": [{"name": "landesfilm", "quota-per-s": 15.0, "share": 0.54},
                    {"name": "stadtarchiv-au", "quota-per-s": 8.0, "share": 0.29},
                    {"name": "heimatverein-sued", "quota-per-s": 5.0, "share": 0.17}],
        "tick-us": 2000, "tier": 0, "weights": "silent", "worth-by": "request", "zone": 0}
    value.update(changes)
    return value


class Node:
    """A node: its addresses, files and processes. It is started with the deploy file's `run`, with a site file of its
    own."""

    def __init__(self, name, folder, record, discovery, platform, operator_file, submission=False):
        self.name, self.record, self.discovery, self.platform = name, record, discovery, platform
        self.folder = os.path.join(folder, name)
        os.makedirs(os.path.join(self.folder, "tmp"))
        self.address = f"{HOST}:{free_port()}"
        self.submission = f"{HOST}:{free_port()}" if submission else None
        self.ops = f"{HOST}:{free_port()}"
        self.operator_file = operator_file
        self.starts = 0
        self.processes = []

    def write_site(self):
        site = os.path.join(self.folder, "site.toml")
        text = self.operator_file(self)
        with open(site, "w", encoding="utf-8") as file:
            file.write(text)
        return site

    def start(self):
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
            found = re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE)
        run = found.group(1) if found else ""
        if "deploy/site.toml" not in run:
            raise CannotRun("the deploy file's run names no deploy/site.toml")
        self.starts += 1
        seed = f"{int.from_bytes(os.urandom(7), 'big') + 1:x}"
        config = {"name": self.name, "listen": self.address, "discovery": self.discovery.address, "seed": seed,
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": self.discovery.list(),
                  "settings": self.platform}
        path = os.path.join(self.folder, f"config-{self.starts}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        ops = self.ops
        environment = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        environment.update(LB_CONFIG=path, LB_NAME=self.name, LB_LISTEN=self.address,
                           LB_DISCOVERY=self.discovery.address, LB_OPS=ops, MARBLEDECK_LOG="debug",
                           TMPDIR=os.path.join(self.folder, "tmp"))
        log = open(os.path.join(self.folder, f"log-{self.starts}.txt"), "wb")
        command = run.replace("deploy/site.toml", shlex.quote(self.write_site()))
        process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                   stdout=log, stderr=log)
        self.processes.append(process)
        self.record(self.name, f"process {self.starts} started")
        return process

    def move_ops(self):
        """A process that is to replace the running one answers operators at another address."""
        self.ops = f"{HOST}:{free_port()}"

    def check(self):
        try:
            return ask_operator(self.ops, "check")
        except OSError:
            return ""

    def upgrade(self):
        """operations.md, `Upgrading`: the new process beside the old one, `check` until `ACK`, SIGTERM to the old one.
        Returns the old process, and when it got the signal. An upgrade that the page itself lets become a restart (the
        old process doesn't answer within a second) is no case."""
        old = self.processes[-1]
        self.move_ops()
        self.start()
        wait_until("the new process answers ACK", lambda: self.check().startswith("ACK"))
        if "takes over from a process that runs" not in self.log_of(self.starts):
            raise CannotRun("the new process has taken over nothing, so this was a restart")
        self.signal(signal.SIGTERM, old)
        return old, time.monotonic()

    def wait_ready(self):
        wait_until(f"{self.name} is ready", lambda: get_ready(self.address))

    def signal(self, number, process=None):
        process = process or self.processes[-1]
        self.record(self.name, f"gets {signal.Signals(number).name}")
        process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.processes[-1].wait()

    def end_all(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()

    def log_of(self, number):
        with open(os.path.join(self.folder, f"log-{number}.txt"), encoding="utf-8", errors="replace") as file:
            return file.read()


def agreement_text(node, number, count, voters, fleet):
    """The part [agreement] of an operator file: `voters` are the addresses of the first nodes."""
    store = os.path.join(node.folder, "store")
    text = (f'[agreement]\nfleet = "{fleet}"\nnode = {number}\nnodes = {count}\nfrom = ["{HOST}"]\n'
            f'store = "{store}"\nlease_ms = 3000\ntick_ms = 100\n')
    for index, address in enumerate(voters):
        text += f'[[agreement.voters]]\nnumber = {index + 1}\naddress = "{address}"\n'
    return text


class Fleet:
    """Three nodes that all vote, with discovery and workers of their own."""

    def __init__(self, name, folder, record, workers, extra, platform=None, submission=True, keys=""):
        self.record, self.name = record, name
        self.discovery = Discovery()
        self.workers = workers
        for worker in workers:
            self.discovery.set(worker)
        voters = [f"{HOST}:{free_port()}" for _ in range(3)]

        def operator_file(node):
            number = self.nodes.index(node) + 1
            text = f'[submission]\nlisten = "{node.submission}"\n{keys}\n' if submission else ""
            return text + agreement_text(node, number, 3, voters, name) + extra

        self.nodes = []
        # Short names: a socket's path, which is in the node's temporary folder, has 107 bytes at most.
        for index in range(3):
            node = Node(f"{name}-n{index + 1}", folder, record, self.discovery,
                        settings(3, index, **(platform or {})), operator_file, submission)
            self.nodes.append(node)

    def start(self):
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            node.wait_ready()
            wait_until(f"{node.name} reads the records", lambda: self.has_reading(node))

    def has_reading(self, node):
        try:
            text = ask_operator(node.ops, "records")
        except OSError:
            return False
        return "reading for" in text and "reading for 0 ms" not in text

    def set_record(self, node, name, expected, body):
        line = "change " + json.dumps({"expect": {name: expected}, "put": {name: body}})

        def change():
            try:
                answer = ask_operator(node.ops, line)
            except OSError:
                return False
            self.record(f"operator of {node.name}", f"{line} -> {answer.strip()}")
            return answer.startswith("ACK") or f"has version {expected + 1}" in answer

        wait_until(f"the record {name} is changed", change, pause=0.2)
        for other in self.nodes:
            wait_until(f"{name} is in force at {other.name}",
                       lambda: f"{name} {expected + 1} in force" in ask_operator(other.ops, "records"))

    def end_all(self):
        for node in self.nodes:
            node.end_all()


def site_record(address, classes, codecs):
    """A record sites/NAME: where a site takes submissions, and its catalog."""
    return {"site": {"address": address,
                     "catalog": {"version": 1, "classes": classes, "slots": 4.0, "codecs": codecs,
                                 "key_window_ms": 40000, "longest_run_ms": 60000}}}


def main(folder, play):
    """Runs a case: `play(trouble, record, temporary folder, clean-ups)` returns a list of the rule's breaks."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record("case", f"disruption: {'yes' if trouble else 'no'}")
    if not os.path.exists(os.path.join(ROOT, "target", "release", "marbledeck")):
        record("case", "cannot run: the build of the deploy file is missing")
        sys.exit(2)
    temporary = tempfile.mkdtemp(prefix="review-")
    if len(temporary) > 40:
        # A node's socket lies in it, and the path of a socket has 107 bytes at most.
        os.rmdir(temporary)
        temporary = tempfile.mkdtemp(prefix="review-", dir="/tmp")
    clean_ups = []

    def expire():
        record("case", "cannot run: not over within 115 s")
        for clean_up in clean_ups:
            clean_up()
        shutil.rmtree(temporary, ignore_errors=True)
        os._exit(2)

    timer = threading.Timer(115, expire)
    timer.daemon = True
    timer.start()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(2))
    code = 2
    try:
        breaks = play(trouble, record, temporary, clean_ups)
        for text in breaks:
            record("BROKEN", text)
            print(f"broken: {text}")
        if not breaks:
            record("case", "the rule held")
            print("the rule held")
        code = 1 if breaks else 0
    except CannotRun as error:
        record("case", f"cannot run: {error}")
        print(f"cannot run: {error}")
    except Exception as error:  # a fault of the set-up shows nothing of the rule
        record("case", f"cannot run: {type(error).__name__} {error}")
        print(f"cannot run: {error}")
    finally:
        timer.cancel()
        for clean_up in clean_ups:
            clean_up()
        record("case", f"all processes have ended; {record.now():.1f} s")
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for folder_, _, names in os.walk(temporary):
                for name in (n for n in names if n.endswith((".txt", ".toml", ".json"))):
                    os.makedirs(os.path.join(keep, os.path.basename(folder_)), exist_ok=True)
                    shutil.copy(os.path.join(folder_, name), os.path.join(keep, os.path.basename(folder_), name))
        shutil.rmtree(temporary, ignore_errors=True)
    sys.stdout.flush()
    os._exit(code)
