"""Stand-ins of store, endpoints and callers, and gateways as processes.

Only the standard library is used.  Store, endpoints and callers run in the
process of the case, on loopback addresses; each gateway is a process that the
command of the deploy file starts at the root of the checkout.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import typing
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "shop.example"
MAX_PAGE = 500
BEAT_SECONDS = 1.2
READY_SECONDS = 30.0
# Exit codes of a case.  Python ends with 1 on a mistake, so run.sh takes
# everything but the first two for a case that couldn't run.
BROKEN, HELD, NOT_RUN = 10, 0, 2


class CaseError(Exception):
    """The case could not be run."""


class Request(typing.NamedTuple):
    """A request as an endpoint or the store got it; names in lower case."""

    method: str
    target: str
    headers: dict
    body: bytes

    @property
    def attempt(self):
        """Return the attempt id, ``None`` without one."""
        return self.headers.get("attempt-id")


class Answer(typing.NamedTuple):
    """What a caller got; ``status`` is ``None`` without a whole head."""

    status: int | None
    headers: dict
    body: bytes
    is_whole: bool


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path):
        """Begin the file anew."""
        self._file = open(path, "w")
        self._began = time.monotonic()

    def __call__(self, *words):
        """Write one line with the time since the start."""
        seconds = time.monotonic() - self._began
        self._file.write(f"{seconds:8.3f} {' '.join(map(str, words))}\n")
        self._file.flush()


async def read_message(reader):
    """Return start line, headers by lower-case name and the whole body.

    :raises asyncio.IncompleteReadError: the connection ended before.
    """
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, is_answer=False):
    """Return the body by its framing."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0] or b"0", 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(data[:-2])
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if is_answer else b""


def response(status, body=b"", headers=(), reason="X"):
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def chunk(data):
    """Return ``data`` as a chunk; without data the last one."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number, text):
    """Return one event of a stream."""
    return f"id: {number}\ndata: {text}\n\n".encode()


class Server:
    """Accepts connections; each request is passed to ``handle``."""

    def __init__(self):
        """Listen later, see :meth:`listen`."""
        self._server = None
        self.address = None

    async def listen(self, ip="127.0.0.1", port=0):
        """Listen at an address, by default at a free port."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    def close(self):
        """Stop accepting."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_message(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ", 2)
                request = Request(method, target, headers, body)
                if await self.handle(request, reader, writer) is False:
                    return
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            with contextlib.suppress(OSError):
                writer.close()

    async def handle(self, request, reader, writer):
        """Answer a request; return ``False`` to close the connection."""
        raise NotImplementedError


class Topic:
    """One partition of the store's log."""

    def __init__(self):
        """Begin empty."""
        self.records = []
        self.offset_by_key = {}
        self.changed = asyncio.Event()

    def append(self, content):
        """Add a raw record."""
        size = content[0] if content else 0
        key = content[1 : 1 + size]
        self.records.append(content)
        if len(content) > 1 + size:
            self.offset_by_key[key] = len(self.records) - 1
        else:
            self.offset_by_key.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()


class Store(Server):
    """The platform's store: reads, newest records, appends."""

    def __init__(self):
        """Begin empty and sound."""
        super().__init__()
        self.topic_by_name = {}
        # ``ok``, ``busy`` (503) or ``silent``.
        self.mode = "ok"
        self.calls = 0

    def put(self, topic, key, value):
        """Write a record as the operator or an endpoint; ``None`` removes."""
        name = key.encode()
        raw = b"" if value is None else json.dumps(value).encode()
        found = self.topic_by_name.setdefault(topic, Topic())
        found.append(bytes([len(name)]) + name + raw)

    async def handle(self, request, reader, writer):
        """Answer one call."""
        self.calls += 1
        if self.mode == "busy":
            writer.write(response(503))
            return True
        if self.mode == "silent":
            await asyncio.sleep(60)
            return False
        await asyncio.sleep(0.004)
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        topic = self.topic_by_name.setdefault(query["topic"], Topic())
        if url.path == "/log-newest":
            writer.write(self._newest(topic, query))
        elif url.path == "/log-read":
            writer.write(await self._read(topic, query))
        elif url.path == "/log-append":
            writer.write(self._append(topic, query, request.body))
        else:
            writer.write(response(404))
        await writer.drain()
        return True

    def _newest(self, topic, query):
        after = query.get("after", "").encode()
        rows = sorted(r for r in topic.offset_by_key.items() if r[0] > after)
        items = [
            {
                "key": key.decode(),
                "value": base64.b64encode(
                    topic.records[offset][1 + len(key) :]
                ).decode(),
                "offset": offset,
            }
            for key, offset in rows[:MAX_PAGE]
        ]
        return _json_response(
            {
                "items": items,
                "has_more": len(rows) > MAX_PAGE,
                "end_offset": len(topic.records),
            }
        )

    async def _read(self, topic, query):
        start = int(query["from"])
        wait_ms = int(query.get("wait_ms", 0))
        if start >= len(topic.records) and wait_ms:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(topic.changed.wait(), wait_ms / 1000)
        found = topic.records[start:]
        raw = struct.pack(">QQ", len(topic.records), 0)
        for content in found:
            raw += struct.pack(">I", len(content)) + content
        return response(200, raw)

    def _append(self, topic, query, raw):
        start = len(topic.records)
        if query.get("topic") in ("keyed.op", "keyed.servers"):
            return response(403)
        if "at" in query and int(query["at"]) != start:
            return _json_response({"end_offset": start}, 412)
        while raw:
            (length,) = struct.unpack_from(">I", raw)
            topic.append(raw[4 : 4 + length])
            raw = raw[4 + length :]
        end = len(topic.records)
        return _json_response({"offset": start, "end_offset": end})


def _json_response(data, status=200):
    return response(
        status,
        json.dumps(data).encode(),
        [("Content-Type", "application/json")],
    )


class Endpoint(Server):
    """An engine or a service, registered in the store by its own beats."""

    def __init__(self, store, name, service, stage=None, slots=16):
        """Register later, see :meth:`start`."""
        super().__init__()
        self.name = name
        self._store = store
        self.row = {
            "service": service,
            "address": "",
            "zone": "a",
            "version": "v1",
            "slot_count": slots,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
            "born": time.time_ns() // 1_000_000,
        }
        if stage is not None:
            self.row["stage"] = stage
            self.row["models"] = [{"name": "m", "version": 1, "adapters": []}]
        self._beats = None

    async def start(self, ip="127.0.0.1"):
        """Listen and register."""
        await self.listen(ip)
        self.row["address"] = self.address
        self._beats = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            self._store.put("keyed.servers", self.name, self.row)
            await asyncio.sleep(BEAT_SECONDS)
            self.row["sequence"] += 1

    def leave(self):
        """Remove the record."""
        self._beats.cancel()
        self._store.put("keyed.servers", self.name, None)

    def refuses(self, request):
        """Return the refusal of a request that is meant for another."""
        expected = request.headers.get("expect-instance")
        if expected in (None, self.name):
            return None
        return response(421, headers=[("Instance-Id", self.name)])

    def success(self, request, body=b"fine", headers=()):
        """Return a whole successful answer to a request."""
        return response(
            200,
            body,
            [
                ("Attempt-Id", request.attempt),
                ("Server-Stamp", f"{self.name}.{request.attempt}"),
                *headers,
            ],
            "OK",
        )

    def stream_head(self, request):
        """Return the head of a streamed answer, framed in chunks."""
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"Attempt-Id: {request.attempt}",
            f"Server-Stamp: {self.name}.{request.attempt}",
        ]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    def report(self):
        """Return the answer to ``GET /report``."""
        return _json_response(
            {
                "stage": self.row.get("stage"),
                "models": self.row.get("models", []),
                "busy": False,
                "sequence": 0,
                "queued": 0,
                "running": 0,
                "kv_used": 0,
                "kv_total": 100_000,
                "handles": 0,
                "born": self.row["born"],
            }
        )


ENGINE = {
    "slot_count": 16,
    "kv_capacity": 100_000,
    "kv_token_bytes": 18_432,
    "link_mbps": 370_000.0,
    "move_count": True,
    "backups": True,
    "stride": 9,
    "most": 12,
    "handle_ttl_s": 5.0,
    "switch_s": 3.0,
    "pin_ms": 4000.0,
    "hold_ms": 2000.0,
    "models": [{"name": "m"}],
}


def route(name, service, kind, **more):
    """Return a route; its prefix is its name."""
    row = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "route_kind": kind,
        "timeout_ms": 3_000,
        "goal_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "resumable": False,
        "gap_goal_ms": 200,
    }
    row.update(more)
    return row


def publish(store, version, routes, engine=None):
    """Write a version of the manifest."""
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    }
    common = {"health_path": "/health", "max_conns": 490, "protocol": "h1"}
    services = [
        {"name": "app", **common},
        {"name": "model", **common, "engine": {**ENGINE, **(engine or {})}},
    ]
    store.put(
        "keyed.op",
        "config",
        {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": limits,
        },
    )


class Gateway:
    """One gateway as a process, by the command of the deploy file."""

    def __init__(self, folder, name, ip, port, store, bounds=None):
        """Write the settings; ``port`` is the first one of the machine."""
        self.name = name
        self.front = f"{ip}:{port + 3}"
        self.ready = f"{ip}:{port + 4}"
        self.directory = f"{ip}:{port + 5}"
        self._path = folder / f"{name}.toml"
        self.log_path = folder / f"{name}.log"
        self.process = None
        lines = [
            f'node_name = "{name}"',
            'node_role = "gateway"',
            'machine_class = "front"',
            'serves = ["front", "directory"]',
            f'ip = "{ip}"',
            'zone = "a"',
            'region = "r"',
            f"port_range = [{port}, {port + 2}]",
            "[listen]",
            f'front = "{self.front}"',
            f'ready_addr = "{self.ready}"',
            f'directory = "{self.directory}"',
            "[limits]",
            "cpu_cores = 1",
            "memory_mb = 300",
            "max_fds = 4200",
            "link_mbps = 1000.0",
            "[platform]",
            f'address = "{store.address}"',
            'form = "log"',
            "writes_per_s = 400",
            "reads_per_s = 2000",
            "append_ms = 3.0",
            "record_bytes = 262144",
            "keep_s = 300",
            "[bounds]",
        ]
        figures = {
            "drain_ms": 2000,
            "grace_s": 8,
            "config_ms": 2000,
            "budget_ratio": 0.2,
            "budget_window_s": 10,
            "budget_slack": 54,
            "lease_ms": 3000,
            "ttl_max_s": 5,
            **(bounds or {}),
        }
        lines += [f"{key} = {value}" for key, value in figures.items()]
        self._path.write_text("\n".join(lines) + "\n")

    def start(self):
        """Start the process."""
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            deploy = tomllib.load(file)
        command = deploy["roles"]["gateway"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CLEMENTINEWALL_SETTINGS"] = str(self._path)
        # Not by asyncio: a start that is cancelled must not leave a process.
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    @property
    def has_ended(self):
        """Tell whether there is no process, or it has ended."""
        return self.process is None or self.process.poll() is not None

    async def wait_end(self):
        """Wait for the end of the process."""
        while not self.has_ended:
            await asyncio.sleep(0.01)

    async def wait_ready(self):
        """Wait until it says that it is ready.

        :raises CaseError: it did not within :data:`READY_SECONDS`.
        """
        end = time.monotonic() + READY_SECONDS
        while time.monotonic() < end:
            answer = await call(self.ready, "GET", "/ready", limit=1.0)
            if answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise CaseError(f"{self.name} did not become ready")

    def signal(self, number):
        """Send a signal."""
        self.process.send_signal(number)

    def end(self):
        """End the process if it still runs."""
        if not self.has_ended:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def free_ports(ip, count=6):
    """Return the first of some free ports in a row."""
    for _ in range(200):
        port = random.randrange(15_000, 31_000)
        probes = []
        try:
            for number in range(port, port + count):
                probe = socket.socket()
                probes.append(probe)
                probe.bind((ip, number))
            return port
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()
    raise CaseError("no free ports")


def head_bytes(method, target, headers, body):
    """Return a request's bytes."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_answer(reader):
    """Return what comes on a connection as one :class:`Answer`."""
    try:
        line, headers = await read_message(reader)
        status = int(line.split(" ")[1])
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return Answer(None, {}, b"", False)
    body = b""
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readline()) or b"x", 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    return Answer(status, headers, body, True)
                body += data[:-2]
        body = await read_body(reader, headers, True)
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return Answer(status, headers, body, False)
    return Answer(status, headers, body, True)


async def call(
    address, method, target, headers=(), body=b"", limit=10.0, on_sent=None
):
    """Send one request on a connection of its own and return the answer."""
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(head_bytes(method, target, headers, body))
            await writer.drain()
            if on_sent is not None:
                on_sent()
            return await read_answer(reader)
    except (OSError, TimeoutError):
        return Answer(None, {}, b"", False)
    finally:
        if writer is not None:
            writer.close()


def model_headers(attempt, tokens_in=200, tokens_out=8, part=None):
    """Return the headers of a model request."""
    part = part or attempt
    return [
        ("Attempt-Id", attempt),
        ("Model", "m"),
        ("Token-Usage", f"{tokens_in},{tokens_out}"),
        (
            "Prompt-Prefix",
            f"5c1e07a2:{tokens_in // 2},{part}:{tokens_in // 2}",
        ),
        ("Deadline-Ms", "8000"),
    ]


def new_attempt():
    """Return a new attempt id."""
    return f"{random.getrandbits(64):016x}"


def main(case, record_path):
    """Run ``case(folder, record)``, a coroutine function; exit by its result.

    ``case`` gets a temporary folder and returns :data:`BROKEN` or
    :data:`HELD`.
    """
    record = Record(record_path)
    scratch = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
    code = NOT_RUN
    try:
        code = asyncio.run(_limited(case, scratch, record))
    except (Exception, asyncio.CancelledError) as exc:
        record("could not run:", repr(exc))
    finally:
        if os.environ.get("KEEP_LOGS"):
            print(scratch, file=sys.stderr)
        else:
            shutil.rmtree(scratch, ignore_errors=True)
    words = {BROKEN: "the rule was broken", HELD: "the rule held"}
    record(words.get(code, "the case could not run"))
    sys.exit(code)


async def _limited(case, scratch, record):
    # What the case started has to end with it.
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asyncio.current_task().cancel)
    async with asyncio.timeout(115):
        return await case(scratch, record)
