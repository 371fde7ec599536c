"""Each mutant can be applied: its original text occurs exactly once in its file.

A mutant without its text ends the whole run of `python -m tests.mutants` with an error.
"""

import pytest

from tests.mutants import MUTANTS, ROOT, Mutant


class TestMutants:
    @pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
    def test_original_text_occurs_once(self, mutant: Mutant) -> None:
        text = (ROOT / "railtide" / mutant.file).read_text()
        assert text.count(mutant.old) == 1
        assert mutant.old != mutant.new

    def test_names_are_unique(self) -> None:
        names = [mutant.name for mutant in MUTANTS]
        assert sorted(set(names)) == sorted(names)

    def test_named_tests_exist(self) -> None:
        """Guards against mutants that seem to be caught, since pytest finds no such file."""
        names = {name.partition("::")[0] for mutant in MUTANTS for name in mutant.tests}
        assert [name for name in sorted(names) if not (ROOT / name).exists()] == []
