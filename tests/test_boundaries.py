"""Limits of the platform adapter: who may depend on it, and its share of the code."""

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1] / "railtide"
ADAPTER = "railtide.platform"
PLATFORM_NAMES = (
    "x-attempt-id",
    "x-credential",
    "x-tenant",
    "x-expect-instance",
    "x-token-count",
    "x-prompt-prefix",
    "x-request-urgency",
    "x-response-seal",
    "x-not-executed",
    "x-instance-load",
    "server-leaving",
    "server-limit",
    "server-brittle",
    "log-append",
    "log-read",
    "log-newest",
    "keyed.op",
    "keyed.servers",
    "gap_goal_ms",
    "kv_capacity",
    "path_prefix",
    "node_name",
)
MAX_ADAPTER_SHARE = 0.1


def sources() -> list[Path]:
    """Return all modules but tests; only the path below `ROOT` decides what is a test."""
    return [p for p in sorted(ROOT.rglob("*.py")) if "tests" not in p.relative_to(ROOT).parts]


def is_in_package(path: Path, package: str) -> bool:
    return path.is_relative_to(ROOT / package)


def imports_of(path: Path) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            names.add(node.module or "")
        elif isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
    return names


def count_lines(paths: list[Path]) -> int:
    return sum(1 for path in paths for line in path.read_text().splitlines() if line.strip())


class TestAdapter:
    def test_no_other_package_imports_it(self) -> None:
        outside = [path for path in sources() if not is_in_package(path, "platform")]
        importers = [p for p in outside if any(n.startswith(ADAPTER) for n in imports_of(p))]
        assert importers == []

    @pytest.mark.parametrize("name", PLATFORM_NAMES)
    def test_platform_names_appear_only_in_it_and_its_stand_ins(self, name: str) -> None:
        users = [
            str(path.relative_to(ROOT))
            for path in sources()
            if not is_in_package(path, "platform")
            and not is_in_package(path, "standins")
            and name in path.read_text().lower()
        ]
        assert users == []

    def test_it_is_under_a_tenth_of_the_code(self) -> None:
        adapter = count_lines([path for path in sources() if is_in_package(path, "platform")])
        assert adapter > 0
        assert adapter < MAX_ADAPTER_SHARE * count_lines(sources())
