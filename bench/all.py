"""All benchmarks, one after another: ``python -m bench.all``."""

from bench import keeper, lanes, overhead, policy

for part in (keeper, policy, lanes, overhead):
    print(f"== {part.__name__}")
    part.main()
