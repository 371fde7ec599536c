"""The adapter's bounds: what may know of the users' platform, and how much of it there is."""

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
MOST_SHARE = 0.1


def sources() -> list[Path]:
    """Return all modules but tests, wherever the checkout lies."""
    return [p for p in sorted(ROOT.rglob("*.py")) if "tests" not in p.relative_to(ROOT).parts]


def inside(path: Path, package: str) -> bool:
    return path.is_relative_to(ROOT / package)


def imports_of(path: Path) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            names.add(node.module or "")
        elif isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
    return names


def lines(paths: list[Path]) -> int:
    return sum(1 for path in paths for line in path.read_text().splitlines() if line.strip())


class TestAdapter:
    def test_nothing_outside_it_imports_it(self) -> None:
        outside = [path for path in sources() if not inside(path, "platform")]
        importers = [p for p in outside if any(n.startswith(ADAPTER) for n in imports_of(p))]
        assert importers == []

    @pytest.mark.parametrize("name", PLATFORM_NAMES)
    def test_its_names_stay_inside(self, name: str) -> None:
        users = [
            str(path.relative_to(ROOT))
            for path in sources()
            if not inside(path, "platform")
            and not inside(path, "standins")
            and name in path.read_text().lower()
        ]
        assert users == []

    def test_it_is_under_a_tenth_of_the_code(self) -> None:
        adapter = lines([path for path in sources() if inside(path, "platform")])
        assert adapter > 0
        assert adapter < MOST_SHARE * lines(sources())
