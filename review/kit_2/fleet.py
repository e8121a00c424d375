"""A small deployment on loopback for the cases of this review.

The daemons are the project's own processes, started with the command of the deploy
file. The store, the backend servers, the operator and the clients are small stand-ins
in the process of the case; they speak what PROTOCOL.md says.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
SERVICE = "booking"
ZONES = ("zone-a", "zone-b", "zone-c")
HEARTBEAT_S = 1.5
MAX_SILENT_HEARTBEATS = 3
READY_WITHIN_S = 30.0
STOP_WITHIN_S = 8.0
LENGTH = struct.Struct(">I")
BOUNDS = struct.Struct(">QQ")
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 67108864,
    "headerTimeoutS": 3,
    "idleTimeoutS": 15,
}


class CannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, with times in seconds from the start."""

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line to the record and to the standard output."""
        line = f"{time.monotonic() - self._began_at:8.3f} {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


@dataclass
class Request:
    """A request as a stand-in received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    has_left: Callable[[], bool] = lambda: False
    """Returns whether the caller has closed the connection since."""

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The fields of the query."""
        pairs = (
            item.partition("=") for item in self.target.partition("?")[2].split("&")
        )
        return {name: _unquote(value) for name, _, value in pairs}


def _unquote(text: str) -> str:
    from urllib.parse import unquote_plus

    return unquote_plus(text)


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    method, target, _ = first.split(" ", 2)
    pairs = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body, reader.at_eof)


def encode_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a response with a length."""
    named = {**headers, "Content-Length": str(len(body))}
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in named.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


@dataclass
class Topic:
    """A keyed topic of the store."""

    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)

    def append(self, key: str, value: bytes) -> None:
        """Append a record; without a value the key is dropped."""
        name = key.encode()
        if value:
            self.newest[key] = (len(self.records), value)
        else:
            self.newest.pop(key, None)
        self.records.append(bytes([len(name)]) + name + value)


class Store:
    """The platform's store: its keyed topics."""

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.mode: Callable[[Request], str] = lambda request: ""
        """Returns how a call fails: "busy", "silent", or "" for not at all."""

        self.reader = ""
        """The daemon that read the list of the servers last."""

    def port_of(self, caller: str) -> Callable[..., Awaitable[None]]:
        """Return what serves the connections of one daemon, for a port of its own."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self.serve(reader, writer, caller)

        return serve

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record as its writer would."""
        self.topics.setdefault(topic, Topic()).append(key, value)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, caller: str
    ) -> None:
        """Answer the calls of one connection of a daemon."""
        with contextlib.suppress(asyncio.CancelledError, ConnectionError):
            await self._serve(reader, writer, caller)
        writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, caller: str
    ) -> None:
        while (request := await read_request(reader)) is not None:
            if request.query.get("topic") == "keyed.servers":
                self.reader = caller
            mode = self.mode(request)
            if mode == "silent":
                await asyncio.sleep(3600)
            answer = (503, {}, b"{}") if mode == "busy" else self._answer(request)
            writer.write(encode_response(*answer))

    def _answer(self, request: Request) -> tuple[int, dict[str, str], bytes]:
        query = request.query
        topic = self.topics.setdefault(query.get("topic", ""), Topic())
        json_type = {"Content-Type": "application/json"}
        match request.path:
            case "/log-read":
                start = int(query["from"])
                body = BOUNDS.pack(len(topic.records), 0)
                for record in topic.records[start:]:
                    body += LENGTH.pack(len(record)) + record
                return 200, {}, body
            case "/log-newest":
                items = [
                    {
                        "key": key,
                        "value": base64.b64encode(value).decode(),
                        "offset": offset,
                    }
                    for key, (offset, value) in sorted(topic.newest.items())
                    if key > query.get("after", "")
                ]
                page = {
                    "items": items[:500],
                    "hasMore": len(items) > 500,
                    "end": len(topic.records),
                }
                return 200, json_type, json.dumps(page).encode()
            case "/log-append":
                offset = len(topic.records)
                data = request.body
                while data:
                    (size,) = LENGTH.unpack_from(data)
                    record, data = data[4 : 4 + size], data[4 + size :]
                    name = record[1 : 1 + record[0]].decode()
                    topic.append(name, record[1 + record[0] :])
                done = {"offset": offset, "end": len(topic.records)}
                return 200, json_type, json.dumps(done).encode()
        return 404, json_type, b"{}"


Answer = Callable[["Server", Request, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """A backend server, which registers itself in the store.

    ``answer`` runs a request and writes its response. ``reaches_store`` tells whether
    its heartbeats arrive; after three silent intervals the store removes its entry.
    """

    def __init__(self, name: str, zone: str, answer: Answer, *, slots: int = 4):
        self.name = name
        self.zone = zone
        self.slots = slots
        self.answer = answer
        self.address = ""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.reaches_store = True
        self.written_at = time.monotonic()
        self.arrivals: list[tuple[float, Request]] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        with contextlib.suppress(asyncio.CancelledError, ConnectionError):
            await self._serve(reader, writer)
        writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_request(reader)) is not None:
            if request.headers.get("x-expect-instance", self.name) != self.name:
                head = {"X-Instance-Id": self.name}
                writer.write(encode_response(421, head, b""))
                continue
            self.arrivals.append((time.monotonic(), request))
            await self.answer(self, request, writer)
            await writer.drain()

    def headers(self, request: Request, **more: str) -> dict[str, str]:
        """Return the headers of an answer of this server."""
        named = {name.replace("_", "-"): value for name, value in more.items()}
        return {
            "X-Request-Id": request.headers.get("x-request-id", ""),
            "X-Response-Stamp": f"stamp-of-{self.name}",
            **named,
        }

    def entry(self) -> bytes:
        """Return the entry that the next heartbeat writes."""
        self.sequence += 1
        info = {
            "service": SERVICE,
            "version": "v1",
            "zone": self.zone,
            "slots": self.slots,
        }
        status = {"state": self.state, "sequence": self.sequence, "warmupLeftS": 0}
        table = {
            "address": self.address,
            "info": info,
            "status": status,
            "born": self.born,
        }
        return json.dumps(table).encode()


@dataclass
class Daemon:
    """One daemon of the project and its addresses."""

    name: str
    zone: str
    ip: str
    store_address: str = ""
    process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """The id of its process."""
        assert self.process is not None
        return self.process.pid

    def peak_mb(self) -> float:
        """Return the largest memory that its process has had, in megabytes."""
        text = Path(f"/proc/{self.pid}/status").read_text(encoding="utf-8")
        for line in text.splitlines():
            if line.startswith("VmHWM"):
                return int(line.split()[1]) * 1024 / 1e6
        raise CannotRunError("no VmHWM")


def route(name: str, path: str, **spec: Any) -> dict[str, Any]:
    """Return a route of the operator's document."""
    fields = {
        "host": HOST,
        "pathPrefix": path,
        "kind": "idempotent",
        "timeoutS": 10,
        "targetLatencyS": 1.0,
        "priority": 1,
        "service": SERVICE,
        "maxAttempts": 2,
        "public": False,
        **spec,
    }
    return {"resourceKind": "routes", "metadata": {"name": name}, "spec": fields}


def tenant(name: str, *keys: str, **spec: Any) -> dict[str, Any]:
    """Return a tenant of the operator's document."""
    fields = {"apiKeys": list(keys), "priority": 1, **spec}
    return {"resourceKind": "tenants", "metadata": {"name": name}, "spec": fields}


def service(name: str = SERVICE) -> dict[str, Any]:
    """Return a service of the operator's document."""
    spec = {"healthPath": "/health", "maxConns": 330, "protocol": "h1", "tls": False}
    return {"resourceKind": "services", "metadata": {"name": name}, "spec": spec}


class Fleet:
    """Store, servers and daemons; an asynchronous context manager."""

    def __init__(
        self,
        record: Record,
        servers: list[Server],
        resources: list[dict[str, Any]],
        *,
        n_daemons: int = 3,
        settings: dict[str, str] | None = None,
    ):
        self.record = record
        self.store = Store()
        self.servers = servers
        self.daemons: list[Daemon] = []
        self._resources = resources
        self._n_daemons = n_daemons
        self._settings = settings or {}
        self._listeners: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._version = 0
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        self._role = deploy["roles"]["proxy"]
        self._ports: dict[str, int] = {}

    async def __aenter__(self) -> "Fleet":
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        running = [item.process for item in self.daemons if item.process is not None]
        for process in running:
            process.kill()
        for process in running:
            process.wait(STOP_WITHIN_S)
        for listener in self._listeners:
            listener.close()

    def publish(self, resources: list[dict[str, Any]]) -> None:
        """Write a complete configuration, as the operator does."""
        before, self._version = self._version, self._version + 3
        limits = {"resourceKind": "limits", "metadata": {}, "spec": LIMITS}
        document = {
            "version": self._version,
            "baseVersion": before,
            "resources": [*resources, limits],
        }
        self.store.put("keyed.op", "config", json.dumps(document).encode())

    def address(self, daemon: Daemon, port: str) -> tuple[str, int]:
        """Return where a daemon serves ``front``, ``ready`` or ``directory``."""
        return daemon.ip, self._ports[port]

    async def ask(
        self,
        daemon: Daemon,
        method: str,
        path: str,
        *,
        port: str = "front",
        body: bytes = b"",
        timeout_s: float = 30.0,
        **headers: str,
    ) -> tuple[int, dict[str, str], bytes]:
        """Make one request on a new connection; status 0 if it is cut."""
        ip, number = self.address(daemon, port)
        reader, writer = await asyncio.open_connection(ip, number)
        try:
            writer.write(encode_request(method, path, body, **headers))
            return await asyncio.wait_for(read_response(reader), timeout_s)
        except ConnectionError:
            return 0, {}, b""
        finally:
            writer.close()

    async def is_ready(self, daemon: Daemon, *, timeout_s: float = 2.0) -> bool:
        """Return whether the readiness check succeeds."""
        try:
            found = await self.ask(
                daemon, "GET", "/readiness", port="ready", timeout_s=timeout_s
            )
        except (OSError, TimeoutError):
            return False
        return found[0] == 200

    async def wait_ready(self) -> None:
        """Wait until every daemon is ready."""
        until = time.monotonic() + READY_WITHIN_S
        for daemon in self.daemons:
            while not await self.is_ready(daemon):
                if time.monotonic() > until:
                    raise CannotRunError(f"{daemon.name} is not ready")
                await asyncio.sleep(0.1)

    def start_daemon(self, daemon: Daemon) -> None:
        """Start a daemon with the command of the deploy file."""
        settings = self._folder / f"{daemon.name}.conf"
        settings.write_text("\n".join(self._settings_of(daemon)), encoding="utf-8")
        environment = {
            **os.environ,
            **self._role.get("env", {}),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "WAGTAILPADDLE_SETTINGS": str(settings),
        }
        with open(self.log_path(daemon), "ab") as log:
            daemon.process = subprocess.Popen(
                self._role["run"].split(" "),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def log_path(self, daemon: Daemon) -> Path:
        """Return where the output of a daemon goes."""
        return self._folder / f"{daemon.name}.log"

    async def _start(self) -> None:
        for server in self.servers:
            listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
            self._listeners.append(listener)
            server.address = _address_of(listener)
        self.publish(self._resources)
        self._tasks.append(asyncio.create_task(self._beat()))
        self._place_daemons()
        for daemon in self.daemons:
            serve = self.store.port_of(daemon.name)
            listener = await asyncio.start_server(serve, "127.0.0.1", 0)
            self._listeners.append(listener)
            daemon.store_address = _address_of(listener)
            self.start_daemon(daemon)
        await self.wait_ready()
        self.record.write(f"{len(self.daemons)} daemons are ready")

    def _place_daemons(self) -> None:
        """Choose loopback addresses with the same free ports on all of them."""
        names = ("directory", "front", "ready", "control")
        fixed = int(self._role["env"]["WAGTAILPADDLE_MONITORING_PORT"])
        for _ in range(50):
            net, first = random.randint(0, 16383), random.randint(20000, 30000)
            prefix = f"127.{64 + net // 256}.{net % 256}"
            ips = [f"{prefix}.{n + 1}" for n in range(self._n_daemons)]
            ports = [first + n for n in range(len(names))]
            if all(_is_free(ip, port) for ip in ips for port in (*ports, fixed)):
                self._ports = dict(zip(names, ports, strict=True))
                self.daemons = [
                    Daemon(f"front-{n}", ZONES[n % len(ZONES)], ip)
                    for n, ip in enumerate(ips)
                ]
                return
        raise CannotRunError("no free ports")

    async def _beat(self) -> None:
        """Write the servers' heartbeats; remove the entries of silent ones."""
        while True:
            now = time.monotonic()
            for server in self.servers:
                if server.reaches_store:
                    self.store.put("keyed.servers", server.name, server.entry())
                    server.written_at = now
                elif self._is_expired(server, now):
                    self.store.put("keyed.servers", server.name, b"")
                    self.record.write(f"the store removes the entry of {server.name}")
            await asyncio.sleep(HEARTBEAT_S)

    def _is_expired(self, server: Server, now: float) -> bool:
        """Return whether the store removes the entry of a silent server now."""
        is_silent = now - server.written_at > MAX_SILENT_HEARTBEATS * HEARTBEAT_S
        return is_silent and server.name in self.store.topics["keyed.servers"].newest

    def _settings_of(self, daemon: Daemon) -> list[str]:
        at = {name: f"{daemon.ip}:{port}" for name, port in self._ports.items()}
        seeds = [f"{item.ip}:{self._ports['control']}" for item in self.daemons[:3]]
        table = {
            "node": daemon.name,
            "role": "proxy",
            "class": "front",
            "serves": "front,control,directory",
            "ip": daemon.ip,
            "zone": daemon.zone,
            "region": "region",
            **{f"zones.{zone}": "region" for zone in ZONES},
            **{f"listen.{name}": address for name, address in at.items()},
            "portRange": f"{self._ports['control'] + 10},{self._ports['control'] + 25}",
            "seeds": ",".join(seeds),
            "bootstrap": "true",
            "countsAsLoss": "false",
            "limits.cpuShare": "0.86",
            "limits.cores": "1",
            "limits.memoryMb": "300",
            "limits.maxFds": "4100",
            "limits.linkMbps": "1000.0",
            "limits.diskMb": "0",
            "discovery": "platform",
            "entry": "directory",
            "heartbeatS": str(HEARTBEAT_S),
            "contracts": "base,drain,config,cost,retry,recover,health,tenants,quota,"
            "platform",
            "bounds.seedLagS": "3",
            "bounds.addrReuseS": "2",
            "bounds.stableWindowS": "3",
            "bounds.ackS": "4",
            "bounds.catchUpS": "4",
            "bounds.drainS": "2",
            "bounds.graceS": "6",
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
            "platform.address": daemon.store_address,
            "platform.form": "log",
            "platform.writesPerS": "400",
            "platform.readsPerS": "2000",
            **self._settings,
        }
        return [f"{name}={value}" for name, value in table.items()]


def encode_request(method: str, path: str, body: bytes = b"", **headers: str) -> bytes:
    """Return the bytes of a client's request."""
    named = {"Host": HOST}
    named |= {name.replace("_", "-"): value for name, value in headers.items()}
    if body or method not in ("GET", "HEAD"):
        named["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in named.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_response(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    """Return status, headers and body of a response; status 0 if it is cut."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")[:-2]
        pairs = (line.partition(":") for line in lines)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = await _read_chunks(reader)
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0, {}, b""
    return int(first.split(" ")[1]), headers, body


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return body


def _address_of(listener: asyncio.Server) -> str:
    host, port = listener.sockets[0].getsockname()
    return f"{host}:{port}"


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


def run_case(case: Callable[[Record, bool], Awaitable[bool]], folder: Path) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if it can't run.

    ``case`` is called with the record and whether there is a disruption.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    try:
        is_broken = asyncio.run(case(record, has_trouble))
    except Exception as exc:
        record.write(f"the case could not run: {exc!r}")
        return 2
    record.write("the rule was BROKEN" if is_broken else "the rule held")
    return int(is_broken)
