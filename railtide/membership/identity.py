"""Identity of a process in the fleet."""

from dataclasses import dataclass

__all__ = ["Identity", "Role"]


class Role:
    """Roles of holders and instances."""

    ROUTER = "router"
    KEEPER = "keeper"
    OPERATOR = "operator"
    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True)
class Identity:
    """A process's instance, failure domain and address, and its unique incarnation."""

    instance: str
    failure_domain: str
    address: str
    incarnation: str

    def holder(self, role: str, number: int) -> str:
        """Return the id of this process's holder with the given role and number.

        Examples
        --------
        >>> Identity("i1", "a", "127.0.0.1:1", "5f").holder(Role.ROUTER, 1)
        'i1/router/5f/1'
        """
        return f"{self.instance}/{role}/{self.incarnation}/{number}"
