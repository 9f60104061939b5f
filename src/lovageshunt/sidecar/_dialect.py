"""The header fields by which a deployment's parties understand each other."""

from collections.abc import Callable

from lovageshunt._record import Record
from lovageshunt.admission import LoadReported


class HeaderNames(Record):
    """Names of header fields, in lower case.

    ``attempt_id`` is the id of one attempt of a client, echoed by answers.
    ``time_left`` tells how many ms its client waits. ``target_id`` names the
    only target that may run a request, ``caller_service`` the service that
    it comes from. ``proof`` is on every answer that a target made by running
    a request, ``not_run`` on those by which it says that it did not.
    ``load`` tells a target's load, which ``read_load`` decodes; it returns
    nothing for what it cannot read.
    """

    __slots__ = (
        'attempt_id',
        'time_left',
        'target_id',
        'caller_service',
        'proof',
        'not_run',
        'load',
        'read_load',
    )

    def __init__(
        self,
        *,
        attempt_id: bytes,
        time_left: bytes,
        target_id: bytes,
        caller_service: bytes,
        proof: bytes,
        not_run: bytes,
        load: bytes,
        read_load: Callable[[bytes], LoadReported | None],
    ) -> None:
        """Take every field by name."""
        self.attempt_id = attempt_id
        self.time_left = time_left
        self.target_id = target_id
        self.caller_service = caller_service
        self.proof = proof
        self.not_run = not_run
        self.load = load
        self.read_load = read_load

    @property
    def set_here(self) -> frozenset[bytes]:
        """Return the request fields that a node sets, whatever was sent."""
        return frozenset(
            (self.time_left, self.target_id, self.caller_service),
        )
