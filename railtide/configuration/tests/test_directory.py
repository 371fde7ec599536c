"""Tests of railtide.configuration.directory and railtide.configuration.models."""

import pytest

from railtide.configuration.directory import Directory
from railtide.configuration.errors import InvalidObject
from railtide.configuration.models import check_body

ACCOUNT = b'{"template":"t","key_hashes":["h1"],"parameters":{"urgency":"urgent"}}'


class TestCheckBody:
    @pytest.mark.parametrize(
        "kind,body,mentioned",
        [
            ("template", b'{"weight":0}', "weight"),
            ("template", b'{"wieght":1}', "wieght"),
            ("model", b"{}", "pool"),
            ("model", b"not json", "JSON"),
            ("router", b"{}", "kind"),
        ],
    )
    def test_error_names_the_problem(self, kind: str, body: bytes, mentioned: str) -> None:
        with pytest.raises(InvalidObject, match=mentioned):
            check_body(kind, body)


class TestDirectory:
    def test_account_follows_its_template(self) -> None:
        directory = Directory()
        directory.put("account", "a", 1, ACCOUNT)
        assert directory.settings("a") is None
        directory.put("template", "t", 1, b'{"weight":3}')
        assert directory.settings("a").weight == 3
        assert directory.settings("a").urgency == "urgent"
        directory.put("template", "t", 2, b'{"weight":4}')
        assert directory.settings("a").weight == 4

    def test_lower_version_is_ignored(self) -> None:
        directory = Directory()
        directory.put("model", "m", 2, b'{"pool":"new"}')
        assert not directory.put("model", "m", 1, b'{"pool":"old"}')
        assert directory.model("m").pool == "new"

    def test_invalid_body_leaves_the_previous_one(self) -> None:
        directory = Directory()
        directory.put("model", "m", 1, b'{"pool":"p"}')
        assert not directory.put("model", "m", 2, b'{"pool":1}')
        assert directory.model("m").pool == "p"

    def test_withdrawn_key_is_unknown(self) -> None:
        directory = Directory()
        directory.put("account", "a", 1, ACCOUNT)
        directory.put("account", "a", 2, b'{"template":"t","key_hashes":["h2"]}')
        assert directory.account_of_key_hash("h1") is None
        assert directory.account_of_key_hash("h2") == "a"
