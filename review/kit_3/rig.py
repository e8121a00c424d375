"""A small deployment on loopback: real daemons in front of small stand-ins.

The daemons are separate processes, started with the command and the ``env`` of
``deploy/system.toml``. The stand-ins of the store, the servers and the clients run in
the process of the case and need the standard library only.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
ZONES = ("namur-a", "namur-b", "gembloux")
HEARTBEAT_S = 1.5
GRACE_S = 6.0
HELD, BROKEN, NOT_RUN = 0, 1, 2

Headers = dict[str, str]

CONNECTION_ENDS = (asyncio.IncompleteReadError, asyncio.CancelledError, OSError)


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """The file ``record.txt`` of a case: what was sent, answered and run."""

    def __init__(self, folder: Path):
        self._began_at = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the begin of the case."""
        return time.monotonic() - self._began_at

    def write(self, text: str) -> None:
        """Write one line with the time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclass
class Message:
    """A request, or a response, as read from a connection."""

    line: str
    headers: Headers
    body: bytes

    @property
    def target(self) -> str:
        """The second word of a request's first line."""
        return self.line.split(" ")[1]


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the head of one message. Raises ``asyncio.IncompleteReadError``."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *fields = head[:-4].split("\r\n")
    headers = {}
    for item in fields:
        name, _, value = item.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(line, headers, b"")


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message that has a length, is chunked, or has no body.

    Raises ``asyncio.IncompleteReadError`` if it ends early.
    """
    message = await read_head(reader)
    body = b""
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    else:
        length = int(message.headers.get("content-length", "0"))
        body = await reader.readexactly(length)
    message.body = body
    return message


def encode_answer(status: int, headers: Headers, body: bytes = b"") -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


@dataclass
class Topic:
    """The one partition of a topic."""

    first: int = 0
    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)

    @property
    def end(self) -> int:
        """The offset of the next record."""
        return self.first + len(self.records)

    def append(self, raw: bytes) -> None:
        """Append the content of one record of a keyed topic."""
        size = raw[0]
        key, value = raw[1 : 1 + size].decode(), raw[1 + size :]
        if value:
            self.newest[key] = (self.end, value)
        else:
            self.newest.pop(key, None)
        self.records.append(raw)

    def copy(self) -> "Topic":
        """Return a copy."""
        return Topic(self.first, list(self.records), dict(self.newest))


class Store:
    """The platform's store: keyed topics of one partition.

    While ``is_away`` every call is answered 503, which means that nothing was done.
    """

    def __init__(self, record: Record):
        self._record = record
        self.topics: dict[str, Topic] = {}
        self.era = 1
        self.is_away = False

    def topic(self, name: str) -> Topic:
        """Return a topic; it is created at its first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record as the operator or a server would; return its offset."""
        at = self.topic(topic)
        name = key.encode()
        at.append(bytes([len(name)]) + name + value)
        return at.end - 1

    def copy(self) -> dict[str, Topic]:
        """Return a copy of all that the store holds."""
        return {name: topic.copy() for name, topic in self.topics.items()}

    def come_back(self, copied: dict[str, Topic]) -> None:
        """Go on from a copy; the era rises by one."""
        self.topics = {name: topic.copy() for name, topic in copied.items()}
        self.era += 1
        self.is_away = False

    async def serve(self, reader: asyncio.StreamReader, writer: Any) -> None:
        """Answer the calls of one connection."""
        with contextlib.suppress(*CONNECTION_ENDS):
            while True:
                writer.write(self._answer(await read_message(reader)))
                await writer.drain()
        writer.close()

    def _answer(self, call: Message) -> bytes:
        path, _, query = call.target.partition("?")
        args = dict(parse_qsl(query))
        if self.is_away:
            return self._json(503, {"error": "away"})
        at = self.topic(args.get("topic", ""))
        if path == "/log-read":
            start = int(args["from"])
            if not at.first <= start <= at.end:
                return self._json(410, {"first": at.first})
            found = at.records[start - at.first :]
            packed = [struct.pack(">I", len(raw)) + raw for raw in found]
            body = struct.pack(">QQ", at.end, at.first) + b"".join(packed)
            return encode_answer(200, {"Store-Era": str(self.era)}, body)
        if path == "/log-newest":
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": n}
                for key, (n, value) in sorted(at.newest.items())
                if key > args.get("after", "")
            ]
            return self._json(200, {"items": items, "hasMore": False, "end": at.end})
        if path == "/log-append":
            offset, rest = at.end, call.body
            while rest:
                (size,) = struct.unpack_from(">I", rest)
                at.append(rest[4 : 4 + size])
                rest = rest[4 + size :]
            return self._json(200, {"offset": offset, "end": at.end})
        return self._json(404, {})

    def _json(self, status: int, table: Any) -> bytes:
        headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        return encode_answer(status, headers, json.dumps(table).encode())


@dataclass
class Run:
    """A request that a server ran."""

    id: str
    method: str
    target: str
    at: float
    body: bytes
    headers: Headers


class Server:
    """A sound server, which runs every request that is meant for it."""

    def __init__(self, record: Record, name: str, service: str, zone: str):
        self.name = name
        self.service = service
        self.zone = zone
        self.address = ("", 0)
        self.work_s = 0.05
        self.state = "ready"
        self.runs: list[Run] = []
        self.record = record
        self._sequence = 0
        self._born = int(time.time() * 1000)

    def entry(self) -> bytes:
        """Return the next heartbeat."""
        self._sequence += 1
        info = {"service": self.service, "version": "v1", "zone": self.zone, "slots": 4}
        status = {"state": self.state, "sequence": self._sequence, "warmupLeftS": 0}
        table = {
            "address": f"{self.address[0]}:{self.address[1]}",
            "info": info,
            "status": status,
            "born": self._born,
        }
        return json.dumps(table).encode()

    async def serve(self, reader: asyncio.StreamReader, writer: Any) -> None:
        """Answer the requests of one connection, one at a time."""
        with contextlib.suppress(*CONNECTION_ENDS):
            while True:
                await self.answer(await read_message(reader), writer)
                await writer.drain()
        writer.close()

    async def answer(self, request: Message, writer: Any) -> None:
        """Run a request and answer it."""
        expected = request.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            writer.write(encode_answer(421, {"X-Instance-Id": self.name}))
            return
        if request.target == "/health":
            writer.write(encode_answer(200, {"X-Instance-Id": self.name}))
            return
        self.note_run(request)
        await asyncio.sleep(self.work_s)
        writer.write(encode_answer(200, self.answer_headers(request), b"done"))

    def answer_headers(self, request: Message) -> Headers:
        """Return the headers of the answer to a request that ran."""
        return {
            "X-Request-Id": request.headers.get("x-request-id", ""),
            "X-Response-Stamp": f"{self.name}.{len(self.runs)}",
            "X-Server-Load": "1,0,4",
        }

    def note_run(self, request: Message) -> None:
        """Record that a request runs."""
        method, target, _ = request.line.split(" ")
        id = request.headers.get("x-request-id", "")
        run = Run(id, method, target, self.record.now(), request.body, request.headers)
        self.runs.append(run)
        self.record.write(f"ran {id} at {self.name}: {method} {target}")


@dataclass
class Answer:
    """What a client got: no status if the connection ended without an answer."""

    id: str
    sent_at: float
    status: int
    headers: Headers
    body: bytes


class Deployment:
    """Store, servers and daemons, with the operator's part."""

    def __init__(
        self,
        folder: Path,
        *,
        n_daemons: int = 3,
        servers: Callable[[Record], list[Server]],
        settings: dict[str, str] | None = None,
    ):
        self.record = Record(folder)
        self.store = Store(self.record)
        self.servers = servers(self.record)
        self.daemons: list[Any] = [None] * n_daemons
        self._settings = settings or {}
        self._net = f"127.{random.randrange(64, 250)}.{random.randrange(250)}"
        self._ports = random.randrange(20000, 30000)
        self._files = Path(tempfile.mkdtemp(prefix="review-"))
        self._version = 0
        self._tasks: list[asyncio.Task[Any]] = []
        self._listeners: list[Any] = []
        self._deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._n_sent = 0

    def ip(self, index: int) -> str:
        """Return the address of a daemon's machine."""
        return f"{self._net}.{index + 1}"

    async def start(self, document: list[dict[str, Any]]) -> None:
        """Start everything and wait until every daemon is ready."""
        if not (ROOT / "target/deps/wagtailpaddle_platform").is_dir():
            raise CannotRunError("target/deps is missing: run the build line first")
        self.store_address = await self._listen(self.store.serve)
        for server in self.servers:
            server.address = await self._listen(server.serve)
        self.publish(document)
        self._tasks.append(asyncio.ensure_future(self._beat()))
        for index in range(len(self.daemons)):
            await self.start_daemon(index)
        for index in range(len(self.daemons)):
            if not await self.wait_ready(index):
                raise CannotRunError(f"daemon {index} is not ready")
        self.record.write("all daemons are ready")

    async def _listen(self, serve: Any) -> tuple[str, int]:
        listener = await asyncio.start_server(serve, "127.0.0.1", 0, backlog=512)
        self._listeners.append(listener)
        address: tuple[str, int] = listener.sockets[0].getsockname()
        return address

    async def _beat(self) -> None:
        while True:
            for server in self.servers:
                if not self.store.is_away and server.state:
                    self.store.put("keyed.servers", server.name, server.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def publish(self, resources: list[dict[str, Any]], *, note: str = "") -> None:
        """Write a configuration, which the store acknowledges at once."""
        self._version += 3
        self.document = {"version": self._version, "resources": resources}
        self.write_again(note)

    def write_again(self, note: str = "") -> None:
        """Write the newest configuration to the store."""
        value = json.dumps(self.document).encode()
        offset = self.store.put("keyed.op", "config", value)
        self.record.write(
            f"acknowledged: version {self._version} at offset {offset} {note}"
        )

    async def start_daemon(self, index: int) -> None:
        """Start one daemon with a settings file as the platform writes it."""
        path = self._files / f"boot-{index}.conf"
        path.write_text("\n".join(self._settings_lines(index)) + "\n")
        role = self._deploy["roles"]["proxy"]
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env |= {name: str(value) for name, value in role.get("env", {}).items()}
        env |= {
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "WAGTAILPADDLE_SETTINGS": str(path),
        }
        with (self._files / f"daemon-{index}.log").open("ab") as log:
            self.daemons[index] = await asyncio.create_subprocess_exec(
                *shlex.split(role["run"]), cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def _settings_lines(self, index: int) -> list[str]:
        ip, port = self.ip(index), self._ports
        seeds = ",".join(f"{self.ip(n)}:{port + 2}" for n in range(3))
        zone = ZONES[index % len(ZONES)]
        fields = {
            "node": f"front-{zone}-{index}",
            "role": "proxy",
            "class": "front",
            "serves": "front,directory,control",
            "ip": ip,
            "zone": zone,
            "region": "wallonie",
            **{f"zones.{name}": "wallonie" for name in ZONES},
            "listen.front": f"{ip}:{port}",
            "listen.ready": f"{ip}:{port + 1}",
            "listen.control": f"{ip}:{port + 2}",
            "listen.directory": f"{ip}:{port + 3}",
            "portRange": f"{port + 10},{port + 25}",
            "seeds": seeds,
            "bootstrap": "true",
            "limits.cpuShare": "0.86",
            "limits.cores": "1",
            "limits.memoryMb": "300",
            "limits.maxFds": "4100",
            "heartbeatS": str(HEARTBEAT_S),
            "bounds.seedLagS": "3",
            "bounds.addrReuseS": "2",
            "bounds.stableWindowS": "3",
            "bounds.ackS": "4",
            "bounds.catchUpS": "4",
            "bounds.drainS": "2",
            "bounds.graceS": str(GRACE_S),
            "bounds.lossSlackS": "0.2",
            "bounds.configApplyS": "2",
            "bounds.rollbackSlackS": "0.25",
            "bounds.outerS": "5",
            "bounds.strictRevoke": "true",
            "bounds.revokeS": "5",
            "bounds.retryRatio": "0.2",
            "bounds.retryWindowS": "10",
            "bounds.retrySlack": "56",
            "bounds.quotaWindowS": "5",
            "bounds.quotaExcess": "0.1",
            "bounds.quotaSlack": "20",
            "bounds.recoverS": "15",
            "bounds.ttl_max_s": "5",
            "bounds.probesPerS": "3",
            "bounds.floorShare": "0.7",
            "platform.address": f"{self.store_address[0]}:{self.store_address[1]}",
            "platform.form": "log",
            "platform.keep_s": "300",
            **self._settings,
        }
        return [f"{name}={value}" for name, value in fields.items()]

    async def wait_ready(self, index: int, *, within_s: float = 25.0) -> bool:
        """Return whether a daemon says in time that it is ready."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                async with connected((self.ip(index), self._ports + 1)) as (r, w):
                    w.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                    if " 200 " in (await read_message(r)).line:
                        return True
            await asyncio.sleep(0.1)
        return False

    def front(self, index: int) -> tuple[str, int]:
        """Return the address of a daemon for clients."""
        return (self.ip(index), self._ports)

    def new_id(self) -> str:
        """Return a new request id."""
        self._n_sent += 1
        return f"r{self._n_sent:05d}"

    async def ask(
        self,
        index: int,
        method: str,
        path: str,
        *,
        key: str = "",
        body: bytes = b"",
        deadline_ms: int = 3000,
    ) -> Answer:
        """Send one request on a new connection and return its answer."""
        id = self.new_id()
        head = encode_request(id, method, path, key, len(body), deadline_ms)
        sent_at = self.record.now()
        self.record.write(f"sent {id} to daemon {index}: {method} {path} key={key}")
        status, headers, got = 0, {}, b""
        try:
            async with (
                asyncio.timeout(deadline_ms / 1000 + 1.0),
                connected(self.front(index)) as (reader, writer),
            ):
                writer.write(head + body)
                answer = await read_message(reader)
                status = int(answer.line.split(" ")[1])
                headers, got = answer.headers, answer.body
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        self.record.write(f"answered {id}: {status or 'nothing'}")
        return Answer(id, sent_at, status, headers, got)

    def ended(self) -> list[int]:
        """Return the daemons that have ended by themselves."""
        return [n for n, item in enumerate(self.daemons) if item.returncode is not None]

    def log(self, index: int) -> str:
        """Return what a daemon has logged."""
        return (self._files / f"daemon-{index}.log").read_text(errors="replace")

    async def stop(self) -> None:
        """End all processes that were started, and close everything."""
        for task in self._tasks:
            task.cancel()
        for process in self.daemons:
            if process is not None and process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
        for listener in self._listeners:
            listener.close()
        self.record.close()


def memory_mb(process: int, field: str) -> float:
    """Return the memory of a process in megabytes, 0 if it has ended."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{process}/status").read_text().splitlines():
            if line.startswith(field):
                return int(line.split()[1]) * 1024 / 1e6
    return 0.0


class Platform:
    """Kills daemon 0 if it exceeds the memory of its machine, as the pages say."""

    def __init__(self, system: Deployment, *, memory_limit_mb: float):
        self._system = system
        self._memory_limit_mb = memory_limit_mb
        self.killed = False

    async def watch(self) -> None:
        """Look at the daemon's memory a hundred times a second."""
        process = self._system.daemons[0]
        while process.returncode is None:
            used_mb = memory_mb(process.pid, "VmRSS")
            if used_mb > self._memory_limit_mb:
                limit_mb = self._memory_limit_mb
                self._system.record.write(
                    f"daemon 0 uses {used_mb:.0f} MB of {limit_mb:.0f}: it is killed"
                )
                self.killed = True
                process.kill()
                return
            await asyncio.sleep(0.01)


def encode_request(
    id: str, method: str, path: str, key: str, n_bytes: int, deadline_ms: int
) -> bytes:
    """Return the head of a client's request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {id}"]
    lines.append(f"X-Deadline-Ms: {deadline_ms}")
    lines += [f"Api-Key: {key}"] if key else []
    lines += [f"Content-Length: {n_bytes}"] if n_bytes or method == "POST" else []
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


@contextlib.asynccontextmanager
async def connected(address: tuple[str, int]) -> AsyncIterator[Any]:
    """Open a connection, and close it at the end."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1.0)
    try:
        yield reader, writer
    finally:
        writer.close()


def route(name: str, path: str, service: str, **spec: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration."""
    fields = {
        "host": HOST,
        "pathPrefix": path,
        "service": service,
        "kind": "idempotent",
        "timeoutS": 3.0,
        "targetLatencyS": 0.8,
        "maxAttempts": 3,
        "priority": 1,
        **spec,
    }
    return {"resourceKind": "routes", "metadata": {"name": name}, "spec": fields}


def service(name: str) -> dict[str, Any]:
    """Return a service of the operator's configuration."""
    spec = {"healthPath": "/health"}
    return {"resourceKind": "services", "metadata": {"name": name}, "spec": spec}


def tenant(name: str, *keys: str, rate: float = 0, burst: float = 0) -> dict[str, Any]:
    """Return a tenant of the operator's configuration."""
    spec = {"apiKeys": list(keys), "ratePerS": rate, "burst": burst, "priority": 1}
    return {"resourceKind": "tenants", "metadata": {"name": name}, "spec": spec}


def limits(**spec: Any) -> dict[str, Any]:
    """Return the limits of the operator's configuration."""
    fields = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1048576,
        "headerTimeoutS": 5,
        "idleTimeoutS": 10,
        **spec,
    }
    return {"resourceKind": "limits", "metadata": {"name": "limits"}, "spec": fields}


def run_case(play: Callable[[bool], Any]) -> None:
    """Play a case and exit with its result; ``TROUBLE=0`` leaves the trouble out."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        result = asyncio.run(asyncio.wait_for(play(has_trouble), 115.0))
    except (CannotRunError, TimeoutError, OSError) as exc:
        print(f"the case could not run: {exc!r}")
        result = NOT_RUN
    print({HELD: "the rule held", BROKEN: "the rule was broken"}.get(result, "not run"))
    sys.exit(result)


def local_socket() -> socket.socket:
    """Return a socket of TCP."""
    return socket.socket(socket.AF_INET, socket.SOCK_STREAM)
