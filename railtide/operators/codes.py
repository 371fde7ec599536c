"""Meanings of the error codes, collected from the error classes and their doc comments."""

import importlib
import inspect
import pkgutil

import railtide
from railtide.errors import RailtideError
from railtide.operators.errors import UnknownCode

__all__ = ["CodeInfo", "all_codes", "explain_code"]

BASE_CLASS_PREFIX = "Base of"


class CodeInfo:
    """A code with its HTTP status, whether the request ran, and its meaning."""

    def __init__(self, error: type[RailtideError]) -> None:
        self.code = error.code
        self.status = error.status
        self.run = str(error.run)
        self.meaning = (inspect.getdoc(error) or "").splitlines()[0]


def all_codes() -> list[CodeInfo]:
    """Return all error codes except those of mere base classes, sorted by code.

    If a class and classes derived from it have the same code, the class highest in the hierarchy
    gives its meaning.
    """
    for module in pkgutil.walk_packages(railtide.__path__, "railtide."):
        if module.name.endswith(".errors"):
            importlib.import_module(module.name)
    derived_first = reversed(_all_subclasses(RailtideError))
    by_code = {error.code: CodeInfo(error) for error in derived_first}
    infos = [by_code[code] for code in sorted(by_code)]
    return [info for info in infos if not info.meaning.startswith(BASE_CLASS_PREFIX)]


def _all_subclasses(error: type[RailtideError]) -> list[type[RailtideError]]:
    found = []
    for child in error.__subclasses__():
        found.append(child)
        found += _all_subclasses(child)
    return found


def explain_code(code: str) -> CodeInfo:
    """Return the information on a code.

    Raises
    ------
    UnknownCode
        If no error has this code.

    Examples
    --------
    >>> explain_code("budget-exhausted").status
    402
    """
    for info in all_codes():
        if info.code == code:
            return info
    raise UnknownCode(f"no error has the code {code!r}")
