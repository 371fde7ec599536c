"""What each error code means, collected from the error classes themselves."""

import importlib
import inspect
import pkgutil

import railtide
from railtide.errors import RailtideError
from railtide.operators.errors import UnknownCode

__all__ = ["CodeInfo", "all_codes", "explain_code"]

BASE = "Base of"


class CodeInfo:
    """A code with its HTTP status, whether the request ran, and its meaning."""

    def __init__(self, error: type[RailtideError]) -> None:
        self.code = error.code
        self.status = error.status
        self.run = str(error.run)
        self.meaning = (inspect.getdoc(error) or "").splitlines()[0]


def all_codes() -> list[CodeInfo]:
    """Return every code that an error is raised with, sorted; a base's word goes for its kinds."""
    for module in pkgutil.walk_packages(railtide.__path__, "railtide."):
        if module.name.endswith(".errors"):
            importlib.import_module(module.name)
    from_the_leaves = reversed(_subclasses(RailtideError))
    by_code = {error.code: CodeInfo(error) for error in from_the_leaves}
    infos = [by_code[code] for code in sorted(by_code)]
    return [info for info in infos if not info.meaning.startswith(BASE)]


def _subclasses(error: type[RailtideError]) -> list[type[RailtideError]]:
    found = []
    for child in error.__subclasses__():
        found.append(child)
        found += _subclasses(child)
    return found


def explain_code(code: str) -> CodeInfo:
    """Return what a code means.

    Raises
    ------
    UnknownCode
        No error has it.

    Examples
    --------
    >>> explain_code("budget-exhausted").status
    402
    """
    for info in all_codes():
        if info.code == code:
            return info
    raise UnknownCode(f"no error has the code {code!r}")
