"""Cost of attempts without an answer, as far as their upstream reports it."""

from railtide.membership.instances import Instance
from railtide.requests.call import Prices, Usage, cost_of
from railtide.upstreams.client import RunReport, RunState, UpstreamClient
from railtide.upstreams.errors import UpstreamError

__all__ = ["cancel_and_get_cost", "cost_of_run"]


def cost_of_run(prices: Prices, run: RunReport, reserve: int) -> int:
    """Return the cost of a run, units; the whole reserve where its usage is unknown.

    Examples
    --------
    >>> cost_of_run(Prices(call=5), RunReport(RunState.UNKNOWN), 9)
    0
    """
    if run.state is RunState.UNKNOWN:
        return 0
    if prices.call:
        return prices.call
    if run.usage is None:
        return reserve
    usage = Usage(run.usage.prompt_tokens, run.usage.completion_tokens)
    return min(reserve, cost_of(prices, usage))


async def cancel_and_get_cost(
    upstreams: UpstreamClient,
    upstream: Instance,
    request_id: str,
    prices: Prices,
    reserve: int,
) -> int:
    """Cancel a run at its upstream and return its cost, units.

    An upstream that does not answer is assumed to have used the whole reserve.
    """
    try:
        run = await upstreams.cancel(upstream, request_id)
    except UpstreamError:
        return reserve
    return cost_of_run(prices, run, reserve)
