"""Tests of railtide.settings: flags, environment and defaults; and of what a start loads."""

import gc
import subprocess
import sys

import pytest

from railtide.platform import program, start
from railtide.process import relax_gc
from railtide.settings import EXIT_SETTINGS, InvalidSetting, run_program

MODULES_NOT_NEEDED_AT_START = (
    "defopt",
    "docutils",
    "opentelemetry.sdk.trace",
    "quart",
    "hypercorn",
    "httpx",
)


def with_default(*, size: int = 3) -> int:
    """Return the size.

    :param size: any
    """
    return size


def with_required(*, size: int) -> int:
    """Return the size.

    :param size: any
    """
    return size


def refuse() -> None:
    """Refuse."""
    raise InvalidSetting("no")


class TestRunProgram:
    def test_defaults_apply_without_flags(self) -> None:
        assert run_program(with_default, "KEEP", []) == 3

    def test_flag_overrides_the_environment(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setenv("KEEP_SIZE", "4")
        assert run_program(with_default, "KEEP", []) == 4
        assert run_program(with_default, "KEEP", ["--size", "5"]) == 5

    def test_missing_flag_is_reported(self, capsys: pytest.CaptureFixture[str]) -> None:
        with pytest.raises(SystemExit):
            run_program(with_required, "NEED", [])
        assert "--size" in capsys.readouterr().err

    def test_invalid_setting_exits_with_its_code(self, capsys: pytest.CaptureFixture[str]) -> None:
        with pytest.raises(SystemExit) as end:
            run_program(refuse, "REFUSE", [])
        assert end.value.code == EXIT_SETTINGS
        assert "invalid-setting: no" in capsys.readouterr().err


class TestStart:
    def test_edge_router_loads_no_unused_modules(self) -> None:
        """Unused modules cost processor time before the first answer, and memory."""
        code = "import sys, railtide.platform.program; print(*sys.modules)"
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
        loaded = set(done.stdout.decode().split())
        assert loaded.isdisjoint(MODULES_NOT_NEEDED_AT_START)

    def test_garbage_collector_is_off_while_modules_are_loaded(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        enabled_during_main: list[bool] = []
        thresholds = gc.get_threshold()
        monkeypatch.setattr(program, "main", lambda: enabled_during_main.append(gc.isenabled()))
        try:
            start.main()
            relax_gc()
            assert (enabled_during_main, gc.isenabled()) == ([False], True)
        finally:
            gc.enable()
            gc.set_threshold(*thresholds)
            gc.unfreeze()
