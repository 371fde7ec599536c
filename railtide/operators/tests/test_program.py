"""Tests of railtide.operators and railtide.settings."""

import pytest

from railtide.keeper.program import main as keeper_main
from railtide.operators.codes import all_codes
from railtide.operators.program import main as ctl_main
from railtide.router.program import main as router_main
from railtide.settings import EXIT_SETTINGS


def run(monkeypatch, main, *argv: str) -> int:
    monkeypatch.setattr("sys.argv", ["program", *argv])
    with pytest.raises(SystemExit) as ended:
        main()
    return ended.value.code


ROUTER = ("--instance", "i", "--failure-domain", "a", "--keepers", "127.0.0.1:1")
KEEPER = ("--instance", "i", "--failure-domain", "a", "--log-url", "x", "--instances-url", "y")


class TestSettings:
    @pytest.mark.parametrize(
        "main,argv,named",
        [
            (router_main, (*ROUTER, "--trace-ratio", "2"), "--trace-ratio"),
            (router_main, (*ROUTER[:-1], "nowhere"), "host:port"),
            (router_main, (*ROUTER, "--bind", "127.0.0.1:99999"), "host:port"),
            (keeper_main, KEEPER, "--log-url"),
            (ctl_main, ("top-up", "acc", "0", "--log-url", "http://x"), "amount"),
            (ctl_main, ("publish", "model", "m", "/none", "--log-url", "http://x"), "/none"),
        ],
        ids=["ratio", "endpoint", "port", "url", "amount", "file"],
    )
    def test_wrong_setting_is_named(self, monkeypatch, capsys, main, argv, named) -> None:
        assert run(monkeypatch, main, *argv) == EXIT_SETTINGS
        said = capsys.readouterr().err
        assert "invalid-setting" in said and named in said

    def test_environment_sets_a_flag(self, monkeypatch, capsys) -> None:
        monkeypatch.setenv("RAILTIDE_ROUTER_DRAIN_S", "-1")
        assert run(monkeypatch, router_main, *ROUTER) == EXIT_SETTINGS
        assert "--drain-s" in capsys.readouterr().err


class TestCodes:
    def test_every_code_has_a_meaning(self) -> None:
        codes = all_codes()
        assert len({info.code for info in codes}) == len(codes) > 30
        assert all(info.meaning.endswith(".") or ";" in info.meaning for info in codes)

    def test_kinds_of_an_error_leave_its_meaning(self) -> None:
        meaning_by_code = {info.code: info.meaning for info in all_codes()}
        assert meaning_by_code["upstream-refused"].startswith("The call certainly did not run")
        assert meaning_by_code["upstream-lost"].startswith("The call was sent, at least in part")

    def test_explain_names_unknown_codes(self, monkeypatch, capsys) -> None:
        assert run(monkeypatch, ctl_main, "explain", "nonsense") == 1
        assert "unknown-code" in capsys.readouterr().err
