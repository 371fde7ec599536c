"""Settings of the programs: flags, environment variables, validation, exit codes.

The flag ``--lease-s`` of `railtide-keeper` can also be set by the environment variable
``RAILTIDE_KEEPER_LEASE_S``; the flag takes precedence.
"""

import inspect
import os
import sys
from collections.abc import Callable, Mapping, Sequence
from typing import TypeVar

from pydantic import BaseModel, ValidationError

from railtide.errors import RailtideError

__all__ = [
    "EXIT_FAILED",
    "EXIT_SETTINGS",
    "InvalidSetting",
    "parse_endpoint",
    "run_program",
    "validate_settings",
]

EXIT_FAILED = 1
EXIT_SETTINGS = 2
MAX_PORT = 65_535

Settings = TypeVar("Settings", bound=BaseModel)


class InvalidSetting(RailtideError):
    """A setting is missing or out of bounds."""

    code = "invalid-setting"


def validate_settings(model: type[Settings], **values: object) -> Settings:
    """Return settings validated by their model.

    Raises
    ------
    InvalidSetting
        If a value is not allowed; the message names the flag and the allowed values.
    """
    try:
        return model(**values)
    except ValidationError as err:
        problem = err.errors()[0]
        flag = "--" + str(problem["loc"][0]).replace("_", "-") if problem["loc"] else "settings"
        raise InvalidSetting(f"{flag}: {problem['msg']}, not {problem['input']!r}") from err


def parse_endpoint(text: str) -> tuple[str, int]:
    """Parse ``host:port`` into host and port.

    Raises
    ------
    InvalidSetting
        If the text does not have that form, or the port is above `MAX_PORT`.

    Examples
    --------
    >>> parse_endpoint("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > MAX_PORT:
        raise InvalidSetting(f"{text!r} is not host:port with a port from 0 to {MAX_PORT}")
    return host, int(port)


def flags_from_environment(
    function: Callable[..., object], prefix: str, environment: Mapping[str, str]
) -> list[str]:
    """Return the flags that environment variables set for a function's keyword parameters.

    Examples
    --------
    >>> def main(*, lease_s: float): ...
    >>> flags_from_environment(main, "RAILTIDE_KEEPER", {"RAILTIDE_KEEPER_LEASE_S": "3"})
    ['--lease-s', '3']
    """
    flags: list[str] = []
    for name, parameter in inspect.signature(function).parameters.items():
        value = environment.get(f"{prefix}_{name}".upper())
        if parameter.kind is parameter.KEYWORD_ONLY and value is not None:
            flags += ["--" + name.replace("_", "-"), value]
    return flags


def run_program(
    functions: Callable[..., object] | Sequence[Callable[..., object]],
    prefix: str,
    argv: list[str] | None = None,
) -> object:
    """Run a command line; on a `RailtideError`, print it and exit the process.

    Parameters
    ----------
    functions : callable or sequence of callable
        One command, or several of which the first argument selects one by name.
    prefix : str
        Prefix of the environment variables.
    argv : list of str, optional
        The command line without the program's name; by default that of the process.

    Raises
    ------
    SystemExit
        With `EXIT_SETTINGS` for an invalid setting and `EXIT_FAILED` for other railtide errors.
    """
    argv = list(sys.argv[1:] if argv is None else argv)
    if callable(functions):
        argv = flags_from_environment(functions, prefix, os.environ) + argv
    else:
        argv = _with_command_flags(functions, prefix, argv)
    try:
        if callable(functions) and not argv and _has_all_defaults(functions):
            return functions()
        return _run_command_line(functions, argv)
    except InvalidSetting as err:
        print(f"{err.code}: {err.detail}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    except RailtideError as err:
        print(f"{err.code}: {err.detail}", file=sys.stderr)
        sys.exit(EXIT_FAILED)


def _has_all_defaults(function: Callable[..., object]) -> bool:
    parameters = inspect.signature(function).parameters.values()
    return all(parameter.default is not parameter.empty for parameter in parameters)


def _run_command_line(
    functions: Callable[..., object] | Sequence[Callable[..., object]], argv: list[str]
) -> object:
    """Parse the flags and run the command.

    defopt is imported only here, since a program without flags does not need it: its import takes
    0.14 s of the 1.06 s of CPU time of a router's start, and 7 MB of memory.
    """
    import defopt

    return defopt.run(functions, argv=argv, cli_options="has_default")


def _with_command_flags(
    functions: Sequence[Callable[..., object]], prefix: str, argv: list[str]
) -> list[str]:
    by_name = {function.__name__.replace("_", "-"): function for function in functions}
    if not argv or argv[0] not in by_name:
        return argv
    return [argv[0], *flags_from_environment(by_name[argv[0]], prefix, os.environ), *argv[1:]]
