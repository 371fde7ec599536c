"""Random fault sequences against the simulated deployment; a seed reproduces its case.

``python -m tests.soak [first seed] [count]`` prints each seed that fails and exits with 1.
"""

import signal
import sys
import traceback
from concurrent.futures import ProcessPoolExecutor
from random import Random

from loguru import logger

from tests.matrix.scenario import FAULTS, STEPS, Trigger
from tests.matrix.test_matrix import run_on_virtual_clock

WORKERS = 7
MAX_FAULTS = 3
MAX_NTH = 4
CASE_TIMEOUT_S = 20


def case_of(seed: int) -> list[tuple[str, str, str, int]]:
    """Return the (step, moment, fault, nth) of each fault of a seed's case."""
    rng = Random(seed)
    count = rng.randint(2, MAX_FAULTS)
    return [
        (*rng.choice(STEPS), rng.choice(sorted(FAULTS)), rng.randint(1, MAX_NTH))
        for _ in range(count)
    ]


def run_case(seed: int) -> str:
    """Run the case of a seed; return the traceback of its failure, or an empty string."""
    logger.remove()
    signal.alarm(CASE_TIMEOUT_S)
    signal.signal(signal.SIGALRM, _on_alarm)
    try:
        triggers = [Trigger(s, m, FAULTS[f], n) for s, m, f, n in case_of(seed)]
        run_on_virtual_clock(triggers, seed)
    except BaseException:
        return traceback.format_exc()
    finally:
        signal.alarm(0)
    return ""


def _on_alarm(number: int, frame: object) -> None:
    raise TimeoutError(
        f"the case took over {CASE_TIMEOUT_S} s: {''.join(traceback.format_stack(frame))}"
    )


def main() -> int:
    """Run the seeds in parallel, print the failures and return the exit code."""
    first = int(sys.argv[1]) if len(sys.argv) > 1 else 0
    count = int(sys.argv[2]) if len(sys.argv) > 2 else 700
    failed = 0
    with ProcessPoolExecutor(WORKERS) as pool:
        for seed, failure in zip(
            range(first, first + count),
            pool.map(run_case, range(first, first + count)),
            strict=True,
        ):
            if failure:
                failed += 1
                print(f"seed {seed}: {case_of(seed)}\n{failure}", flush=True)
    print(f"{count - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
