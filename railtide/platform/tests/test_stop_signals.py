"""Stop signals that arrive while the program ends."""

import subprocess
import sys

SIGNAL_AFTER_CANCELLATION = """
import signal
import trio
import trio.testing
from railtide.platform.program import _wait_for_stop_signal

async def main():
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_first)
        await nursery.start(_wait_for_stop_signal)
        nursery.cancel_scope.cancel()
        signal.raise_signal(signal.SIGTERM)

async def send_first():
    await trio.testing.wait_all_tasks_blocked()
    signal.raise_signal(signal.SIGTERM)

for _ in range(30):
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    trio.run(main)
"""
"""Repeated, since trio runs the tasks of one step in random order: the receiver gets the signal
before it closes in about half of the runs."""


class TestSignalAtTheEnd:
    """Guards against an exit with -15 behind a complete shutdown, as in seed 1000 of the soak.

    A SIGTERM that arrives in the moment in which the program is cancelled stays with trio's signal
    receiver, which raises it again for the default handler when it closes.
    """

    def test_it_does_not_kill_the_process(self) -> None:
        program = [sys.executable, "-c", SIGNAL_AFTER_CANCELLATION]
        assert subprocess.run(program, stderr=subprocess.DEVNULL).returncode == 0
