"""Tests of the identity of requests."""

from hypothesis import given
from hypothesis import strategies as st

from railtide.containment.content import content_digest

CONTENTS = st.tuples(st.text(max_size=4), st.text(max_size=4), st.binary(max_size=4))


class TestContentDigest:
    @given(CONTENTS, CONTENTS)
    def test_equal_only_for_equal_account_path_and_body(self, one, other) -> None:
        assert (content_digest(*one) == content_digest(*other)) == (one == other)

    def test_part_boundaries_are_significant(self) -> None:
        assert content_digest("ab", "c", b"") != content_digest("a", "bc", b"")

    def test_digest_does_not_contain_the_body(self) -> None:
        digest = content_digest("a", "/p", b"secret " * 1000)
        assert len(digest) == 32
        assert set(digest) <= set("0123456789abcdef")
