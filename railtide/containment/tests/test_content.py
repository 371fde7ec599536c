"""What makes two requests the same."""

from hypothesis import given
from hypothesis import strategies as st

from railtide.containment.content import content_digest

CONTENTS = st.tuples(st.text(max_size=4), st.text(max_size=4), st.binary(max_size=4))


class TestContentDigest:
    @given(CONTENTS, CONTENTS)
    def test_it_is_the_same_for_the_same_path_account_and_body_only(self, one, other) -> None:
        assert (content_digest(*one) == content_digest(*other)) == (one == other)

    def test_parts_do_not_run_into_each_other(self) -> None:
        assert content_digest("ab", "c", b"") != content_digest("a", "bc", b"")

    def test_nothing_of_the_body_is_in_it(self) -> None:
        digest = content_digest("a", "/p", b"secret " * 1000)
        assert len(digest) == 32
        assert set(digest) <= set("0123456789abcdef")
