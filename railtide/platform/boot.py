"""The platform's settings file, checked and decoded into a process's own settings."""

import os
from dataclasses import dataclass
from pathlib import Path

import yaml
from pydantic import BaseModel, ValidationError

from railtide.settings import InvalidSetting

__all__ = ["BOOT_VARIABLE", "Boot", "read_boot"]

BOOT_VARIABLE = "RAILTIDE_BOOT"


class _Listen(BaseModel):
    front: str
    ready: str
    directory: str


class _Bounds(BaseModel):
    retry_ratio: float = 0.2
    retry_slack: float = 20.0
    grace_s: float = 8.0
    ttl_max_s: float = 5.0


class _MachineLimits(BaseModel):
    """`cpu_share` is a part of a core, which is `cores` times as fast as a common one."""

    cpu_share: float = 1.0
    cores: float = 1.0
    link_mbps: float = 1000.0


class _Platform(BaseModel):
    address: str
    parts: int = 1


class _File(BaseModel):
    node_name: str
    ip: str
    zone: str
    listen: _Listen
    bounds: _Bounds = _Bounds()
    limits: _MachineLimits = _MachineLimits()
    platform: _Platform


@dataclass(frozen=True)
class Boot:
    """A process's settings.

    Attributes
    ----------
    instance, failure_domain : str
    host : str
        IP address of the instance.
    calls, readiness, lookup : str
        Addresses, host:port, for calls, readiness probes and address questions.
    store : str
        Address of the platform's store.
    store_partitions : int
        Partitions of a topic there; fixed for an installation.
    retry_ratio, retry_slack : float
        Retries allowed for each request of a pool, and beyond that, for all routers together.
    grace_s : float
        From SIGTERM to SIGKILL.
    processor : float
        Speed of the instance's processor, in common cores.
    link_mbps : float
        Bandwidth of its link, megabits a second.
    """

    instance: str
    failure_domain: str
    host: str
    calls: str
    readiness: str
    lookup: str
    store: str
    store_partitions: int
    retry_ratio: float
    retry_slack: float
    grace_s: float
    processor: float
    link_mbps: float


def read_boot(path: str | None = None) -> Boot:
    """Return the settings in the file that the platform names.

    Raises
    ------
    InvalidSetting
        There is no file, or a field is missing or wrong; the field is named.
    """
    name = path or os.environ.get(BOOT_VARIABLE, "")
    try:
        file = _File.model_validate(yaml.safe_load(Path(name).read_text()))
    except (OSError, yaml.YAMLError) as err:
        raise InvalidSetting(f"{BOOT_VARIABLE}={name!r} can't be read: {err}") from err
    except ValidationError as err:
        problem = err.errors()[0]
        where = ".".join(str(part) for part in problem["loc"])
        raise InvalidSetting(f"{name}: {where}: {problem['msg']}") from err
    return Boot(
        instance=file.node_name,
        failure_domain=file.zone,
        host=file.ip,
        calls=file.listen.front,
        readiness=file.listen.ready,
        lookup=file.listen.directory,
        store=file.platform.address,
        store_partitions=file.platform.parts,
        retry_ratio=file.bounds.retry_ratio,
        retry_slack=file.bounds.retry_slack,
        grace_s=file.bounds.grace_s,
        processor=file.limits.cpu_share * file.limits.cores,
        link_mbps=file.limits.link_mbps,
    )
