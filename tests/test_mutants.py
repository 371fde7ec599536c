"""Each mutant can be put in: its file's text is as the mutant says.

One whose text has moved ends the whole run of `python -m tests.mutants` with an error.
"""

import pytest

from tests.mutants import MUTANTS, ROOT, Mutant


class TestMutants:
    @pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
    def test_its_text_stands_once(self, mutant: Mutant) -> None:
        text = (ROOT / "railtide" / mutant.file).read_text()
        assert text.count(mutant.old) == 1
        assert mutant.old != mutant.new

    def test_names_are_unique(self) -> None:
        names = [mutant.name for mutant in MUTANTS]
        assert sorted(set(names)) == sorted(names)
