"""Starts and stops a local deployment on loopback: lavender-standin, entries and agents."""
import http.client
import json
import os
import signal
import socket
import subprocess
import time
from dataclasses import dataclass, field
from typing import Dict, List, Optional, Tuple

START_TIMEOUT_S = 10.0
STOP_TIMEOUT_S = 10.0

SITES = {
    "poolside": {
        "service": "course-desk",
        "data_centres": [("nottingham", "east-mids"), ("leicester", "east-mids"),
                         ("wolverhampton", "west-mids")],
        "worker": {"milliCores": 32000, "memoryMib": 128000},
    },
    "dala": {
        "service": "labelhost",
        "data_centres": [("almaty-a", "almaty"), ("almaty-b", "almaty"), ("astana-a", "astana")],
        "worker": {"milliCores": 16000, "memoryMib": 64512},
    },
}


@dataclass
class Response:
    """An HTTP response; status 0 means that none arrived."""
    status: int
    headers: Dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def outcome(self) -> str:
        return self.headers.get("lavender-outcome", "")

    @property
    def kind(self) -> str:
        return self.headers.get("lavender-error", "")

    def json(self):
        return json.loads(self.body)


def request(port: int, method: str, path: str, body: bytes = b"",
            headers: Optional[Dict[str, str]] = None, timeout: float = 15.0) -> Response:
    """Sends one request on a fresh connection."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        payload = response.read()
        lowercase_headers = {name.lower(): value for name, value in response.getheaders()}
        return Response(response.status, lowercase_headers, payload)
    except (OSError, http.client.HTTPException):
        return Response(0)
    finally:
        connection.close()


def free_ports(count: int) -> List[int]:
    """Distinct ports that are free at the time of the call."""
    sockets = []
    for _ in range(count):
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        sockets.append(listener)
    ports = [listener.getsockname()[1] for listener in sockets]
    for listener in sockets:
        listener.close()
    return ports


def wait_until(condition, timeout: float = START_TIMEOUT_S, what: str = "condition",
               pause: float = 0.02):
    """Polls until the condition holds; raises TimeoutError after `timeout` seconds."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(pause)
    raise TimeoutError(f"timed out waiting for {what}")


class Deployment:
    """A local deployment; as a context manager it kills all its processes on exit."""

    def __init__(self, build: str, site: str = "poolside", entries: int = 2, agents: int = 11,
                 workers: int = 11, log_level: str = "error", baseline: bool = False,
                 agent_threads: int = 160):
        self.build = build
        self.site = SITES[site]
        self.site_name = site
        self.service = self.site["service"]
        self.log_level = log_level
        self.baseline = baseline
        self.agent_threads = agent_threads
        self.processes: Dict[str, subprocess.Popen] = {}
        ports = free_ports(1 + entries + 2 * agents)
        self.store_port = ports[0]
        self.entry_ports = ports[1:1 + entries]
        self.agent_ports = ports[1 + entries:1 + entries + agents]
        self.minion_ports = ports[1 + entries + agents:]
        self.worker_count = workers

    def __enter__(self):
        if not self.processes:
            self.start()
        return self

    def __exit__(self, *_):
        self.kill_all()

    def data_centre(self, index: int) -> Tuple[str, str]:
        centres = self.site["data_centres"]
        return centres[index % len(centres)]

    def start(self):
        self.start_standin()
        for index in range(len(self.entry_ports)):
            self.start_entry(index)
        for index in range(len(self.agent_ports)):
            self.start_agent(index)
        for port in self.entry_ports:
            wait_until(lambda port=port: request(port, "GET", "/healthz").status == 200,
                       what="entries to listen")

    def spawn(self, name: str, program: str, settings: dict):
        settings = dict(settings, logLevel=self.log_level)
        arguments = [os.path.join(self.build, "src", program)]
        for key, value in settings.items():
            arguments += ["--set", f"{key}={json.dumps(value)}"]
        assert name not in self.processes, f"{name} is already running"
        log = open(os.path.join(self.build, f"{name}.log"), "ab")
        self.processes[name] = subprocess.Popen(arguments, stderr=log, stdout=log)
        log.close()

    def start_standin(self):
        minions = [{"name": f"m{index}", "listen": f"127.0.0.1:{port}", "slots": 8,
                    "connections": 64} for index, port in enumerate(self.minion_ports)]
        workers = [{"id": f"w{index}", "dataCentre": self.data_centre(index)[0],
                    "rack": f"r{index // 3}", **self.site["worker"]}
                   for index in range(self.worker_count)]
        self.spawn("standin", "lavender-standin",
                   {"listen": f"127.0.0.1:{self.store_port}", "minions": minions,
                    "workers": workers})
        wait_until(lambda: self.control("counters").status == 200, what="lavender-standin to start")

    def start_entry(self, index: int, port: Optional[int] = None):
        if port is not None:
            self.entry_ports[index] = port
        port = self.entry_ports[index]
        centre, region = self.data_centre(index)
        peers = [f"127.0.0.1:{other}" for other in self.entry_ports if other != port]
        self.spawn(f"entry{index}", "lavender-entry",
                   {"id": f"entry{index}", "listen": f"127.0.0.1:{port}", "dataCentre": centre,
                    "region": region, "store": f"127.0.0.1:{self.store_port}", "peers": peers,
                    "threads": 512, "baseline": self.baseline})

    def start_agent(self, index: int):
        centre, region = self.data_centre(index)
        self.spawn(f"agent{index}", "lavender-agent",
                   {"endpoint": f"m{index}", "service": self.service,
                    "listen": f"127.0.0.1:{self.agent_ports[index]}",
                    "minion": f"127.0.0.1:{self.minion_ports[index]}", "dataCentre": centre,
                    "region": region, "rack": f"r{index // 3}", "slots": 8, "connections": 64,
                    "baseline": self.baseline, "threads": self.agent_threads,
                    "entries": [f"127.0.0.1:{port}" for port in self.entry_ports]})

    def apply_manifest(self, expected: int = 0, entry: int = 0) -> Response:
        path = os.path.join(os.path.dirname(__file__), "..", "examples", self.site_name,
                            "manifest.json")
        with open(path, "rb") as file:
            body = file.read()
        return request(self.entry_ports[entry], "PUT", "/v1/manifest", body,
                       {"If-Match": str(expected), "Lavender-Operator": "test"})

    def wait_ready(self, endpoints: Optional[int] = None):
        expected_count = len(self.agent_ports) if endpoints is None else endpoints
        for port in self.entry_ports:
            wait_until(lambda port=port: request(port, "GET", "/readyz").status == 200
                       and len(request(port, "GET", "/v1/endpoints").json()) == expected_count,
                       what="entries to be ready")
        for port in self.agent_ports[:expected_count]:
            wait_until(lambda port=port: request(port, "GET", "/readyz").status == 200,
                       what="agents to be ready")

    def call(self, entry: int, path: str, method: str = "POST", body: bytes = b"x",
             headers: Optional[Dict[str, str]] = None, timeout: float = 15.0) -> Response:
        return request(self.entry_ports[entry], method, f"/v1/services/{self.service}{path}", body,
                       headers, timeout)

    def control(self, what: str, body: Optional[dict] = None) -> Response:
        method = "GET" if body is None else "POST"
        return request(self.store_port, method, f"/control/{what}",
                       b"" if body is None else json.dumps(body).encode())

    def executions(self) -> List[dict]:
        return self.control("executions").json()

    def signal(self, name: str, number: int):
        self.processes[name].send_signal(number)

    def kill(self, name: str):
        self.signal(name, signal.SIGKILL)
        self.processes.pop(name).wait()

    def terminate(self, name: str) -> int:
        self.signal(name, signal.SIGTERM)
        return self.processes.pop(name).wait(timeout=STOP_TIMEOUT_S)

    def kill_all(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()
