"""A deployment of real processes for tests, on ports that the system chooses."""

import json
import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import httpx

from railtide.configuration.models import key_hash
from railtide.membership.instances import Instance

START_S = 20.0


@dataclass
class Process:
    """A running process and the addresses it listens on, by their name."""

    popen: subprocess.Popen
    listening: dict[str, str]

    @property
    def http(self) -> str:
        return self.listening["http"]

    def signal(self, number: signal.Signals) -> None:
        self.popen.send_signal(number)

    def kill(self) -> None:
        self.popen.kill()
        self.popen.wait()


@dataclass
class Deployment:
    """The processes of one test; `deployment` kills exactly these, by process id."""

    processes: list[Process] = field(default_factory=list)
    log: Process | None = None
    instances: Process | None = None

    def start(self, module: str, *args: str) -> Process:
        return self.start_module(f"railtide.{module}.program", *args)

    def start_module(self, module: str, *args: str) -> Process:
        popen = subprocess.Popen(
            [sys.executable, "-m", module, *args],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        line = popen.stdout.readline()
        process = Process(popen, json.loads(line)["listening"])
        self.processes.append(process)
        return process

    def start_platform(self, lag_s: float = 0.0) -> None:
        self.log = self.start("standins", "log")
        self.instances = self.start("standins", "instances", "--lag-s", str(lag_s))

    def start_engine(self, name: str, domain: str, pool: str, token_s: float = 0.005) -> Process:
        engine = self.start("standins", "engine", "--token-s", str(token_s))
        self.list_instance(Instance(name, "1", engine.http, domain, "engine", pool, 64))
        return engine

    def start_service(self, name: str, domain: str, pool: str) -> Process:
        service = self.start("standins", "service")
        self.list_instance(Instance(name, "1", service.http, domain, "service", pool))
        return service

    def start_keeper(self, name: str, domain: str, **flags: object) -> Process:
        return self.start(
            "keeper",
            *("--instance", name, "--failure-domain", domain),
            *("--log-url", f"http://{self.log.http}"),
            *("--instances-url", f"http://{self.instances.http}"),
            *("--list-interval-s", "0.1"),
            *_flags(flags),
        )

    def start_router(self, name: str, domain: str, keepers: list[Process], **flags) -> Process:
        links = ",".join(keeper.listening["link"] for keeper in keepers)
        return self.start(
            "router",
            *("--instance", name, "--failure-domain", domain, "--keepers", links),
            *_flags({"address_ttl_s": 0.2, "load_interval_s": 0.1} | flags),
        )

    def list_instance(self, instance: Instance) -> None:
        body = {name: getattr(instance, name) for name in instance.__struct_fields__}
        url = f"http://{self.instances.http}/v1/instances/{instance.name}"
        httpx.put(url, json=body, trust_env=False).raise_for_status()

    def ctl(self, *args: str, stdin: str = "") -> subprocess.CompletedProcess:
        return subprocess.run(
            [sys.executable, "-m", "railtide.operators.program", *args],
            input=stdin,
            capture_output=True,
            text=True,
            timeout=60,
        )

    def ctl_log(self, *args: str, stdin: str = "") -> list[dict]:
        done = self.ctl(*args, "--log-url", f"http://{self.log.http}", stdin=stdin)
        assert done.returncode == 0, done.stderr
        return [json.loads(line) for line in done.stdout.splitlines()]

    def publish(self, kind: str, name: str, body: dict) -> None:
        self.ctl_log("publish", kind, name, "-", stdin=json.dumps(body))

    def publish_account(self, name: str, api_key: str, units: int, **parameters) -> None:
        body = {"template": "base", "key_hashes": [key_hash(api_key)], "parameters": parameters}
        self.publish("account", name, body)
        self.ctl_log("top-up", name, str(units))


def _flags(flags: dict[str, object]) -> list[str]:
    arguments: list[str] = []
    for name, value in flags.items():
        arguments += ["--" + name.replace("_", "-"), str(value)]
    return arguments


@contextmanager
def deployment() -> Iterator[Deployment]:
    """Yield a deployment; kill every process that it started at the end, paused ones too."""
    deployed = Deployment()
    try:
        yield deployed
    finally:
        for process in deployed.processes:
            process.popen.send_signal(signal.SIGCONT)
            process.popen.kill()
        for process in deployed.processes:
            process.popen.wait()
            process.popen.stdout.close()
