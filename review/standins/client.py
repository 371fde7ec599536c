"""A client that sends each request over a connection that it keeps while it can."""

from dataclasses import dataclass

import trio

from review.standins.http import Message, MessageReader, message_bytes
from review.standins.record import Record

__all__ = ["Client"]

CONNECT_S = 1.0


@dataclass
class Client:
    """Sends requests to one machine, one after another.

    Parameters
    ----------
    address : tuple of str and int
    record : Record
    """

    address: tuple[str, int]
    record: Record
    _stream: trio.SocketStream | None = None
    _reader: MessageReader | None = None

    async def ask(
        self,
        request_id: str,
        path: str,
        deadline_ms: int,
        headers: dict[str, str] | None = None,
        body: bytes = b"body",
    ) -> Message | None:
        """Send a request and return its answer, None without a complete one."""
        own = {
            "Host": "h.example",
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            **(headers or {}),
        }
        kept = self._stream is not None
        self.record.add("sent", id=request_id, path=path, machine=self.address[0], kept=kept)
        answer = None
        with trio.move_on_after(deadline_ms / 1000) as scope:
            try:
                answer = await self._exchange(message_bytes(f"POST {path} HTTP/1.1", own, body))
            except (OSError, trio.BrokenResourceError, trio.TooSlowError):
                pass
        status = answer.status if answer else 0
        whole = bool(answer and answer.whole)
        seal = answer.headers.get("x-response-seal", "") if answer else ""
        closed = answer is None and not scope.cancelled_caught
        self.record.add(
            "answered", id=request_id, status=status, whole=whole, seal=seal, closed=closed
        )
        if not whole or answer.headers.get("connection", "").lower() == "close":
            await self.close()
        return answer if whole else None

    async def _exchange(self, data: bytes) -> Message | None:
        if self._stream is None:
            with trio.fail_after(CONNECT_S):
                self._stream = await trio.open_tcp_stream(*self.address)
            self._reader = MessageReader(self._stream)
        await self._stream.send_all(data)
        return await self._reader.read()

    async def close(self) -> None:
        """Close the connection."""
        if self._stream is not None:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self._stream)
            self._stream = None
