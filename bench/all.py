"""All benchmarks, one after another: ``python -m bench.all``."""

from bench import commit, control, faults, keeper, lanes, overhead, policy

for part in (keeper, policy, lanes, faults, control, commit, overhead):
    print(f"== {part.__name__}")
    part.main()
