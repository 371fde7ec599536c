"""Header with which a stand-in upstream states its load and its pace."""

from collections.abc import Callable

from quart import Response
from quart_trio import QuartTrio

__all__ = ["state_pace"]

LOAD = "x-instance-load"


def state_pace(app: QuartTrio, load: Callable[[], tuple[int, int, int]], pace: int) -> None:
    """Add the load header to all answers of an application.

    Parameters
    ----------
    app : QuartTrio
    load : callable
        Returns the running and queued requests and the slots, 0 for no limit.
    pace : int
        How long work takes, 100 as usual.
    """

    @app.after_request
    async def add_load(response: Response) -> Response:
        response.headers[LOAD] = ",".join(str(figure) for figure in (*load(), pace))
        return response
