"""Tests of the whole: processes, the fault matrix, mutants."""
