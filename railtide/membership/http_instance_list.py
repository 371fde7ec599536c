"""Client of the platform's instance list over HTTP and JSON."""

import httpx
import msgspec

from railtide.membership.errors import InstanceListUnavailable
from railtide.membership.instances import Instance, InstanceList

__all__ = ["HttpInstanceList", "open_http_instance_list"]

TIMEOUT_S = 2.0


class HttpInstanceList(InstanceList):
    """Client of the instance list over HTTP and JSON."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        self._client = client

    async def fetch(self) -> list[Instance]:
        """Return the list; see `InstanceList.fetch`."""
        try:
            answer = await self._client.get("/v1/instances")
            answer.raise_for_status()
            return msgspec.json.decode(answer.content, type=list[Instance])
        except (httpx.HTTPError, msgspec.DecodeError) as err:
            raise InstanceListUnavailable(str(err)) from err


def open_http_instance_list(url: str) -> HttpInstanceList:
    """Return a client of the instance list at `url`."""
    return HttpInstanceList(httpx.AsyncClient(base_url=url, timeout=TIMEOUT_S, trust_env=False))
