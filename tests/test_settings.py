"""Tests of railtide.settings: flags, environment, and a start without either."""

import gc
import subprocess
import sys

import pytest

from railtide.platform import program, start
from railtide.process import relax_gc
from railtide.settings import EXIT_SETTINGS, InvalidSetting, run_program

NEEDLESS_AT_A_START = (
    "defopt",
    "docutils",
    "opentelemetry.sdk.trace",
    "quart",
    "hypercorn",
    "httpx",
)


def keep(*, size: int = 3) -> int:
    """Return the size.

    :param size: any
    """
    return size


def need(*, size: int) -> int:
    """Return the size.

    :param size: any
    """
    return size


def refuse() -> None:
    """Refuse."""
    raise InvalidSetting("no")


class TestRunProgram:
    def test_without_flags_the_defaults_hold(self) -> None:
        assert run_program(keep, "KEEP", []) == 3

    def test_flag_goes_before_the_environment(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setenv("KEEP_SIZE", "4")
        assert run_program(keep, "KEEP", []) == 4
        assert run_program(keep, "KEEP", ["--size", "5"]) == 5

    def test_missing_flag_is_named(self, capsys: pytest.CaptureFixture[str]) -> None:
        with pytest.raises(SystemExit):
            run_program(need, "NEED", [])
        assert "--size" in capsys.readouterr().err

    def test_wrong_setting_ends_with_its_code(self, capsys: pytest.CaptureFixture[str]) -> None:
        with pytest.raises(SystemExit) as end:
            run_program(refuse, "REFUSE", [])
        assert end.value.code == EXIT_SETTINGS
        assert "invalid-setting: no" in capsys.readouterr().err


class TestStart:
    def test_edge_router_loads_nothing_that_it_does_not_use(self) -> None:
        """Each start would pay for it: processor time before the first answer, and memory."""
        code = "import sys, railtide.platform.program; print(*sys.modules)"
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
        loaded = set(done.stdout.decode().split())
        assert loaded.isdisjoint(NEEDLESS_AT_A_START)

    def test_collector_rests_while_parts_are_loaded(self, monkeypatch: pytest.MonkeyPatch) -> None:
        seen: list[bool] = []
        thresholds = gc.get_threshold()
        monkeypatch.setattr(program, "main", lambda: seen.append(gc.isenabled()))
        try:
            start.main()
            relax_gc()
            assert (seen, gc.isenabled()) == ([False], True)
        finally:
            gc.enable()
            gc.set_threshold(*thresholds)
            gc.unfreeze()
