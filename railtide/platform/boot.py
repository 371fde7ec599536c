"""The platform's settings file, validated and decoded into the settings of a router process."""

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import yaml
from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from railtide.journal.keyed import MAX_KEY_BYTES, MAX_RECORD_BYTES
from railtide.process import BYTES_PER_MB
from railtide.settings import InvalidSetting, parse_endpoint

__all__ = ["BOOT_VARIABLE", "Boot", "read_boot"]

BOOT_VARIABLE = "RAILTIDE_BOOT"


def _check_endpoint(text: str) -> str:
    """Return an address; raise ValueError unless it is host:port."""
    try:
        parse_endpoint(text)
    except InvalidSetting as err:
        raise ValueError(err.detail) from err
    return text


def _check_instance(name: str) -> str:
    """Return the name of an instance, which is the key of its record in the roster."""
    if not 0 < len(name.encode()) <= MAX_KEY_BYTES:
        raise ValueError(f"must have 1 to {MAX_KEY_BYTES} bytes")
    return name


Endpoint = Annotated[str, AfterValidator(_check_endpoint)]
NotNegative = Annotated[float, Field(ge=0)]
Positive = Annotated[float, Field(gt=0)]


class _Section(BaseModel):
    model_config = ConfigDict(allow_inf_nan=False)


class _Listen(_Section):
    front: Endpoint
    ready: Endpoint
    directory: Endpoint


class _Bounds(_Section):
    retry_ratio: NotNegative = 0.2
    retry_slack: NotNegative = 20.0
    retry_window_s: NotNegative = 10.0
    grace_s: NotNegative = 8.0
    ttl_max_s: NotNegative = 5.0


class _MachineLimits(_Section):
    """`cpu_share` is a fraction of a core; `cores` is that core's speed in standard cores."""

    cpu_share: Positive = 1.0
    cores: Positive = 1.0
    link_mbps: Positive = 1000.0
    memory_mb: Positive = 512.0
    max_fds: Annotated[int, Field(ge=1)] | None = None


class _Platform(_Section):
    address: Endpoint
    parts: Annotated[int, Field(ge=1)] = 1
    record_bytes: Annotated[int, Field(ge=1)] = MAX_RECORD_BYTES


class _File(_Section):
    node_name: Annotated[str, AfterValidator(_check_instance)]
    ip: str
    zone: str
    listen: _Listen
    bounds: _Bounds = _Bounds()
    limits: _MachineLimits = _MachineLimits()
    platform: _Platform
    internal_ports: list[Annotated[int, Field(ge=1, le=65_535)]] | None = None


@dataclass(frozen=True)
class Boot:
    """Settings of a router process.

    Attributes
    ----------
    instance, failure_domain : str
    host : str
        IP address of the instance.
    client_address, readiness_address, directory_address : str
        Addresses to listen on, host:port: for client requests, readiness probes and lookups of
        router addresses.
    store : str
        Address of the platform's store, host:port.
    store_partitions : int
        Partitions of each topic in the store; fixed for a deployment.
    store_record_bytes : int
        Largest record that the store holds.
    retry_ratio, retry_slack : float
        Retries that all routers together may make: per request of a pool, and in addition to that.
    retry_window_s : float
        Time over which these are counted, seconds.
    grace_s : float
        Time between SIGTERM and SIGKILL, seconds.
    cpu_speed : float
        Processor capacity of the instance, in standard cores.
    link_mbps : float
        Bandwidth of the instance's link, Mbit/s.
    memory_bytes : int
        Memory at which the platform kills the process.
    peer_address : str
        Address to listen on for other routers, host:port; empty if there is none.
    max_descriptors : int or None
        Descriptors that the process may open, None if the settings don't state it.
    """

    instance: str
    failure_domain: str
    host: str
    client_address: str
    readiness_address: str
    directory_address: str
    store: str
    store_partitions: int
    store_record_bytes: int
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    grace_s: float
    cpu_speed: float
    link_mbps: float
    memory_bytes: int
    peer_address: str
    max_descriptors: int | None = None


def read_boot(path: str | None = None) -> Boot:
    """Return the settings in a file, by default the one that RAILTIDE_BOOT names.

    Raises
    ------
    InvalidSetting
        The file can't be read, or a field is missing or invalid; the message names the field.
    """
    file_name = path or os.environ.get(BOOT_VARIABLE, "")
    try:
        file = _File.model_validate(yaml.safe_load(Path(file_name).read_text()))
    except ValidationError as err:
        problem = err.errors()[0]
        field_path = ".".join(str(part) for part in problem["loc"])
        raise InvalidSetting(f"{file_name}: {field_path}: {problem['msg']}") from err
    except (OSError, ValueError, RecursionError, yaml.YAMLError) as err:
        raise InvalidSetting(f"{BOOT_VARIABLE}={file_name!r} can't be read: {err}") from err
    return Boot(
        instance=file.node_name,
        failure_domain=file.zone,
        host=file.ip,
        client_address=file.listen.front,
        readiness_address=file.listen.ready,
        directory_address=file.listen.directory,
        store=file.platform.address,
        store_partitions=file.platform.parts,
        store_record_bytes=file.platform.record_bytes,
        retry_ratio=file.bounds.retry_ratio,
        retry_slack=file.bounds.retry_slack,
        retry_window_s=file.bounds.retry_window_s,
        grace_s=file.bounds.grace_s,
        cpu_speed=file.limits.cpu_share * file.limits.cores,
        link_mbps=file.limits.link_mbps,
        memory_bytes=int(file.limits.memory_mb * BYTES_PER_MB),
        peer_address=f"{file.ip}:{file.internal_ports[0]}" if file.internal_ports else "",
        max_descriptors=file.limits.max_fds,
    )
