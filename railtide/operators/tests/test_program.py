"""Tests of railtide.operators and railtide.settings."""

import pytest

from railtide.keeper.program import main as keeper_main
from railtide.operators.codes import all_codes
from railtide.operators.program import main as ctl_main
from railtide.router.program import main as router_main
from railtide.settings import EXIT_SETTINGS


def run(monkeypatch, main, *argv: str) -> int:
    monkeypatch.setattr("sys.argv", ["program", *argv])
    with pytest.raises(SystemExit) as exited:
        main()
    return exited.value.code


ROUTER = ("--instance", "i", "--failure-domain", "a", "--keepers", "127.0.0.1:1")
KEEPER = ("--instance", "i", "--failure-domain", "a", "--log-url", "x", "--instances-url", "y")


class TestSettings:
    @pytest.mark.parametrize(
        "main,argv,expected_text",
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
    def test_message_names_the_invalid_setting(
        self, monkeypatch, capsys, main, argv, expected_text
    ) -> None:
        assert run(monkeypatch, main, *argv) == EXIT_SETTINGS
        printed = capsys.readouterr().err
        assert "invalid-setting" in printed and expected_text in printed

    def test_environment_sets_a_flag(self, monkeypatch, capsys) -> None:
        monkeypatch.setenv("RAILTIDE_ROUTER_DRAIN_S", "-1")
        assert run(monkeypatch, router_main, *ROUTER) == EXIT_SETTINGS
        assert "--drain-s" in capsys.readouterr().err


class TestCodes:
    def test_every_code_has_a_meaning(self) -> None:
        codes = all_codes()
        assert len({info.code for info in codes}) == len(codes) > 30
        assert all(info.meaning.endswith(".") or ";" in info.meaning for info in codes)

    def test_derived_errors_do_not_change_the_meaning_of_a_code(self) -> None:
        meaning_by_code = {info.code: info.meaning for info in all_codes()}
        assert meaning_by_code["upstream-refused"].startswith("The call certainly did not run")
        assert meaning_by_code["upstream-lost"].startswith("The call was sent, at least in part")

    def test_explain_rejects_an_unknown_code(self, monkeypatch, capsys) -> None:
        assert run(monkeypatch, ctl_main, "explain", "nonsense") == 1
        assert "unknown-code" in capsys.readouterr().err
