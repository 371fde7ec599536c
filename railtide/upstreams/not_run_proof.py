"""What proves that an attempt of a request did not run at its upstream. Pure."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["NotRunProof", "ProofKind", "by_answer", "no_connection"]


class ProofKind(StrEnum):
    """Kind of a proof.

    Attributes
    ----------
    NO_CONNECTION
        No connection was made, so no byte was sent.
    ANSWER
        The upstream's answer to this attempt states it.
    """

    NO_CONNECTION = "no-connection"
    ANSWER = "answer"


@dataclass(frozen=True)
class NotRunProof:
    """Proof that an attempt did not run.

    Attributes
    ----------
    status : int
        Status of the answer, 0 without one.
    connection : int
        Number of the connection that the answer arrived on, 0 if it is unknown.
    carried : int
        Requests that this connection had carried before.
    """

    kind: ProofKind
    status: int = 0
    connection: int = 0
    carried: int = 0

    def log_fields(self) -> dict[str, object]:
        """Return the fields of a log line.

        Examples
        --------
        >>> by_answer(503, connection=7, carried=2).log_fields()
        {'proof': 'answer', 'answered': 503, 'connection': 7, 'carried': 2}
        >>> no_connection().log_fields()
        {'proof': 'no-connection'}
        """
        if self.kind is ProofKind.NO_CONNECTION:
            return {"proof": self.kind.value}
        return {
            "proof": self.kind.value,
            "answered": self.status,
            "connection": self.connection,
            "carried": self.carried,
        }


def no_connection() -> NotRunProof:
    """Return the proof of an attempt for which no connection was made."""
    return NotRunProof(ProofKind.NO_CONNECTION)


def by_answer(status: int, connection: int = 0, carried: int = 0) -> NotRunProof:
    """Return the proof of an attempt that its upstream answered as not run."""
    return NotRunProof(ProofKind.ANSWER, status, connection, carried)
