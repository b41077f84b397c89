"""Names of requests, attempts and agents."""

import dataclasses

SEPARATOR = "/"


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptId:
    """One try at one request; no two tries share an id."""

    request: str
    number: int
    nonce: str

    def __str__(self) -> str:
        return SEPARATOR.join((self.request, str(self.number), self.nonce))

    @classmethod
    def parse(cls, text: str) -> "AttemptId":
        """Read an id from its text.

        :raises ValueError: if the text is not an attempt's id
        """
        request, number, nonce = text.split(SEPARATOR)
        return cls(request, int(number), nonce)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class AgentId:
    """One life of the agent of a target; a restart makes a new incarnation."""

    target: str
    incarnation: str
