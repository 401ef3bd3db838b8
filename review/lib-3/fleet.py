"""Start the project's processes on loopback addresses for a review case.

Everything here uses the standard library only. The processes are those of
``deploy/system.toml``; clients, targets and the operator are stand-ins that
follow the pages of the users' platform.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import uuid

ROOT = pathlib.Path(__file__).resolve().parents[2]
PORT_NAMES = ("peer", "front", "ready", "control", "directory", "target")
OUTCOMES = ("kept", "broken", "cannot run")


class CannotRunError(Exception):
    """The case could not be set up."""


def free_ports(ips, count):
    """Return ports that are free on all addresses."""
    found = []
    while len(found) < count:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port in found or port == 9464:
            continue
        try:
            for ip in ips:
                with socket.socket() as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        found.append(port)
    return found


class Record:
    """Write what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = open(folder / "record.txt", "w")  # noqa: SIM115
        self._began_at = time.monotonic()

    def add(self, text):
        """Write a line with the time since the start."""
        now = time.monotonic() - self._began_at
        self._file.write(f"{now:9.3f} s  {text}\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


class Vm:
    """One machine and the process on it."""

    def __init__(self, fleet, ip, zone, region, is_core):
        self.fleet = fleet
        self.ip = ip
        self.zone = zone
        self.region = region
        self.is_core = is_core
        kind = "core" if is_core else "front"
        self.name = f"{kind}-{zone}-{ip.rpartition('.')[2]}"
        self.process = None
        self.data = fleet.folder / f"{self.name}.data"

    def start(self, bootstrap):
        """Write the settings file and start the program."""
        fleet, ports = self.fleet, self.fleet.ports
        listen = {"front": "front", "ready": "ready"}
        serves, data = ["front"], ""
        if self.is_core:
            listen = {"control": "control", "directory": "directory"}
            serves = ["control", "directory"]
            self.data.mkdir(exist_ok=True)
            data = f'dataDir = "{self.data}"'
        seeds = [f"{vm.ip}:{ports['control']}" for vm in fleet.seeds]
        lines = [
            "[self]",
            f'node = "{self.name}"',
            f'role = "{"control" if self.is_core else "entry"}"',
            f'class = "{"core" if self.is_core else "front"}"',
            f"serves = {json.dumps(serves)}",
            f'ip = "{self.ip}"',
            f'zone = "{self.zone}"',
            f'region = "{self.region}"',
            f"lossCounts = {json.dumps(self.is_core)}",
            f"bootstrap = {json.dumps(bootstrap)}",
            data,
            "[network]",
            f"internalPorts = [{ports['peer']}, {ports['peer'] + 15}]",
            f"seeds = {json.dumps(seeds)}",
            "[network.listen]",
            *(
                f'{key} = "{self.ip}:{ports[name]}"'
                for key, name in listen.items()
            ),
            "[network.zones]",
            *(f'{zone} = "{region}"' for zone, region in fleet.zones.items()),
            "[platform]",
            'discovery = "registration"',
            'entry = "directory"',
            'heartbeat = "1500ms"',
            "[terms]",
            'contracts = ["base","drain","config","cost","retry","recover",'
            '"places","tenants","quota","rollout"]',
            "[terms.faultTolerance]",
            f"machines = {fleet.tolerance}",
            "zones = 1",
            "regions = 1",
            "[terms.bounds]",
            f'stabilityWindow = "{4000 if fleet.tolerance > 1 else 3000}ms"',
            f'catchUp = "{6 if fleet.tolerance > 1 else 4}s"',
            'ack = "4000ms"',
            'drain = "2500ms"',
            'grace = "6s"',
            'configApply = "2500ms"',
            'rollbackSlack = "250ms"',
            "strictRevoke = false",
            "retryRatio = 0.2",
            'retryWindow = "10s"',
            "retrySlack = 62",
            'quotaWindow = "5s"',
            'ttl_max = "5s"',
        ]
        path = fleet.folder / f"{self.name}.toml"
        path.write_text("\n".join(lines) + "\n")
        with open(fleet.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                fleet.commands["control" if self.is_core else "entry"],
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "MEDLARHOLLOW_BOOT": str(path),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self):
        """End the process with SIGKILL."""
        if self.process is not None and self.process.poll() is None:
            # A stopped process is ended by SIGKILL as well.
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Fleet:
    """A small deployment.

    Parameters
    ----------
    record : Record
        Gets what the operator sends.
    zones : dict of str to str
        Regions by zone; each has a core machine and a front machine.
    fronts : int
        Front machines in each zone.
    targets : iterable of int
        Last parts of the addresses of targets.
    spares : iterable of int
        Last parts of the addresses of core machines that come later.
    tolerance : int
        Core machines that may be lost at the same time.
    """

    def __init__(
        self, record, zones, fronts=1, targets=(), spares=(), tolerance=1
    ):
        self.record = record
        self.zones = zones
        self.tolerance = tolerance
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.cores, self.fronts = [], []
        net = os.getpid() % 200 + 20
        self.net = f"127.{net}"
        for number, (zone, region) in enumerate(zones.items(), 1):
            ip = f"{self.net}.1.{number}"
            self.cores.append(Vm(self, ip, zone, region, True))
            for index in range(fronts):
                ip = f"{self.net}.2.{number * 10 + index}"
                self.fronts.append(Vm(self, ip, zone, region, False))
        ips = [vm.ip for vm in (*self.cores, *self.fronts)]
        ips += [f"{self.net}.1.{number}" for number in spares]
        ips += [f"{self.net}.3.{number}" for number in targets]
        ports = free_ports(ips, len(PORT_NAMES))
        self.ports = dict(zip(PORT_NAMES, ports, strict=True))
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            roles = tomllib.load(file)["roles"]
        self.commands = {
            name: role["run"].split() for name, role in roles.items()
        }
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRunError("run the build of the deploy file first")

    @property
    def seeds(self):
        """Core machines that settings files name."""
        return self.cores[:3]

    def add_core(self, number, zone):
        """Start an empty core machine at a new address; return it."""
        vm = Vm(self, f"{self.net}.1.{number}", zone, self.zones[zone], True)
        vm.start(bootstrap=False)
        self.cores.append(vm)
        return vm

    @property
    def vms(self):
        """All machines."""
        return [*self.cores, *self.fronts]

    def start(self):
        """Start all processes for the first time."""
        for vm in self.vms:
            vm.start(bootstrap=True)

    def stop(self):
        """End all processes and remove the temporary folder."""
        for vm in self.vms:
            vm.kill()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs are in {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def operate(self, method, path, body=b"", headers=(), cores=None):
        """Call as the operator does: another node after each failure.

        Returns the status of the first answer that is none of 408, 429, 5xx.
        """
        cores = cores or self.cores
        for attempt in range(80):
            vm = cores[attempt % len(cores)]
            answer = await call(
                vm.ip, self.ports["control"], method, path, body, headers, 1.0
            )
            if answer is not None and not (
                answer.status >= 500 or answer.status in (408, 429)
            ):
                self.record.add(
                    f"operator: {method} {path} at {vm.name}: {answer.status}"
                )
                return answer
            await asyncio.sleep(0.1)
        raise CannotRunError(f"no definite answer to {method} {path}")

    async def put(self, document, base):
        """Send a configuration."""
        return await self.operate(
            "POST",
            "/medlarhollow/Config.Put",
            json.dumps(document).encode(),
            [("X-If-Version", base), ("Content-Type", "application/json")],
        )

    async def wait_ready(self, limit_s=30.0):
        """Wait until all front machines say that they are ready."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            answers = [
                await call(
                    vm.ip,
                    self.ports["ready"],
                    "GET",
                    "/medlarhollow/ready",
                    limit_s=1.0,
                )
                for vm in self.fronts
            ]
            if all(answer and answer.status == 200 for answer in answers):
                return
            await asyncio.sleep(0.2)
        raise CannotRunError("the front machines are not ready")


class Answer:
    """Status, headers (lower case) and body; whether the body is whole."""

    def __init__(self, status, headers, body, is_whole):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_whole = is_whole


async def read_head(reader):
    """Return the start line and the headers of a message, None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_end=False):
    """Return the body of a message and whether it is whole."""
    try:
        if "chunked" in headers.get("transfer-encoding", "").lower():
            body = b""
            while True:
                line = await reader.readuntil(b"\r\n")
                size = int(line.split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    return body, True
        if "content-length" in headers:
            return (
                await reader.readexactly(int(headers["content-length"])),
                True,
            )
        return (await reader.read(-1), True) if until_end else (b"", True)
    except asyncio.IncompleteReadError as error:
        return error.partial, False
    except (ConnectionError, ValueError):
        return b"", False


async def call(ip, port, method, path, body=b"", headers=(), limit_s=3.0):
    """Send one request on a new connection; None without an answer."""
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(ip, port)
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            if not any(name.lower() == "host" for name, _ in headers):
                lines.append(f"Host: {ip}:{port}")
            if method != "GET" or body:
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = await read_head(reader)
            if head is None:
                return None
            data, is_whole = await read_body(reader, head[1], True)
            return Answer(int(head[0].split()[1]), head[1], data, is_whole)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Target:
    """A target as the pages describe it.

    Parameters
    ----------
    fleet : Fleet
        Receives its heartbeats.
    number : int
        Last part of its address.
    service, zone, version : str
        What it announces.
    work_s : float
        Time that a request takes.
    """

    def __init__(
        self,
        fleet,
        number,
        service,
        zone,
        version="v1",
        slots=9,
        work_s=0.02,
    ):
        self.fleet = fleet
        self.ip = f"{fleet.net}.3.{number}"
        self.service = service
        self.zone = zone
        self.version = version
        self.slots = slots
        self.work_s = work_s
        self.id = f"i-{uuid.uuid4().hex[:10]}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.runs = []
        self._server = None
        self._beats = None
        self._running = 0
        self._home = None

    @property
    def address(self):
        """Address in heartbeats."""
        return f"{self.ip}:{self.fleet.ports['target']}"

    async def start(self):
        """Listen and begin to send heartbeats."""
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.fleet.ports["target"]
        )
        self._beats = asyncio.create_task(self._send_beats())

    async def stop(self):
        """End without a word."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()

    async def beat(self):
        """Send one heartbeat, to another node after each failure."""
        self.sequence += 1
        body = json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": self.state,
                "coldRemaining": "0ms",
                "sequence": self.sequence,
                "born": self.born,
            }
        ).encode()
        places = [(vm.ip, self.fleet.ports["control"]) for vm in self.cores()]
        if self._home is not None:
            places.insert(0, self._home)
        for place in places:
            answer = await call(
                *place,
                "POST",
                f"/medlarhollow/Instances.Heartbeat/{self.id}",
                body,
                [("Content-Type", "application/json")],
                1.0,
            )
            if answer is not None and 200 <= answer.status < 300:
                with contextlib.suppress(ValueError):
                    home = json.loads(answer.body).get("heartbeatAddress")
                    if home:
                        host, _, port = home.rpartition(":")
                        self._home = (host, int(port))
                return True
            if place == self._home:
                self._home = None
        return False

    def cores(self):
        """Return the nodes that it may call, nearest first."""
        return sorted(
            self.fleet.cores, key=lambda vm: (vm.zone != self.zone, vm.name)
        )

    async def _send_beats(self):
        while True:
            await self.beat()
            await asyncio.sleep(1.5)

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body, is_whole = await read_body(reader, headers)
                if not is_whole:
                    break
                await self.answer(writer, line, headers, body)
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def answer(self, writer, line, headers, body):
        """Run a request and answer it."""
        request_id = headers.get("x-request-id", "")
        if headers.get("x-expect-instance", self.id) != self.id:
            await self.write(writer, 421, request_id, b"not me", False)
            return
        self.runs.append((time.monotonic(), line, headers, body))
        self.fleet.record.add(
            f"target {self.id} ({self.service} in {self.zone}) runs "
            f"{request_id}: {line}"
        )
        self._running += 1
        try:
            await asyncio.sleep(self.work_s)
            await self.write(writer, 200, request_id, b"done " + body)
        finally:
            self._running -= 1

    async def write(self, writer, status, request_id, body, has_run=True):
        """Write an answer."""
        lines = [
            f"HTTP/1.1 {status} x",
            f"X-Request-Id: {request_id}",
            f"X-Server-Load: {self._running},0,{self.slots}",
            f"Content-Length: {len(body)}",
        ]
        if has_run:
            lines.append(f"X-Response-Seal: {self.id}.{request_id}")
        else:
            lines.append("X-Not-Executed: 1")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()


def make_path(prefix, service, **changes):
    """Return a route as an operator sends it."""
    return {
        "name": f"r{prefix.replace('/', '-')}",
        "pathPrefix": prefix,
        "kind": "safe",
        "timeout": "4000ms",
        "objective": "600ms",
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        "sticky": False,
        "homeRegions": [],
        **changes,
    }


def make_tenant(name, key, **changes):
    """Return a tenant as an operator sends it."""
    return {
        "name": name,
        "apiKeys": [key],
        "priority": 1,
        "ratePerS": 1000,
        "burst": 1000,
        "homeRegions": [],
        **changes,
    }


def make_document(version, services, tenants, paths, host="desk.example"):
    """Return a configuration as an operator sends it."""
    return {
        "version": version,
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConns": 390,
                "protocol": "h1",
                "tls": False,
                "coldStart": "3s",
                "coldPerS": 10.0,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeout": "3000ms",
            "idleTimeout": "15000ms",
        },
        "tenants": tenants,
        "virtualHosts": [{"host": host, "paths": paths}],
    }


def run_case(folder, case):
    """Run a case and exit with 0, 1 or 2.

    Parameters
    ----------
    folder : pathlib.Path
        Gets ``record.txt``.
    case : callable
        Coroutine function; takes the record and whether to make trouble, and
        returns whether the rule was broken.
    """
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"trouble: {'yes' if has_trouble else 'no'}")
    code = 2

    async def limited():
        async with asyncio.timeout(110):
            return await case(record, has_trouble)

    try:
        is_broken = asyncio.run(limited())
        record.add(f"the rule was {'broken' if is_broken else 'kept'}")
        code = 1 if is_broken else 0
    except (CannotRunError, OSError, TimeoutError) as error:
        record.add(f"the case could not run: {error!r}")
    finally:
        record.close()
    print(f"exit {code}: {OUTCOMES[code]}")
    sys.exit(code)
