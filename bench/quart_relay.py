"""A minimal relay of streams on quart, hypercorn and httpx: the baseline of `bench.overhead`."""

import sys

import httpx
import trio
from quart import Response, request
from quart_trio import QuartTrio

from railtide.process import announce
from railtide.serving import bind_socket, serve_http


def make_app(upstream: str) -> QuartTrio:
    """Return an application that forwards every chat completion to `upstream`."""
    app = QuartTrio("bench.relay")
    client = httpx.AsyncClient(base_url=f"http://{upstream}", timeout=60, trust_env=False)

    @app.post("/v1/chat/completions")
    async def relay() -> Response:
        headers = {
            "x-request-id": request.headers["x-request-id"],
            "content-type": "application/json",
        }
        sent = client.build_request(
            "POST", request.path, content=await request.get_data(), headers=headers
        )
        answer = await client.send(sent, stream=True)
        passed = Response(answer.aiter_raw(), content_type=answer.headers["content-type"])
        passed.timeout = None
        return passed

    return app


def main() -> None:
    """Serve until killed."""
    bind = bind_socket("127.0.0.1", 0)
    announce({"http": bind.address})
    trio.run(serve_http, make_app(sys.argv[1]), bind)


if __name__ == "__main__":
    main()
