"""Runs all benchmarks one after another: ``python -m bench.all``."""

from bench import commit, control, faults, keeper, lanes, overhead, policy

for benchmark in (keeper, policy, lanes, faults, control, commit, overhead):
    print(f"== {benchmark.__name__}")
    benchmark.main()
