"""Passes on the news that a target leaves, between this node and others."""

from collections.abc import Callable
from typing import Final

from lovageshunt.clock import now as clock_now
from lovageshunt.links import FrameKind, LeavingNotice, encode_message
from lovageshunt.sidecar._executor import Executor
from lovageshunt.sidecar._fleet import Fleet

#: The interval at which the news of the own target is repeated, in seconds,
#: for nodes whose links were down.
_REPEAT_SECONDS: Final = 0.5


class LeavingTargets:
    """Applies the news that a target leaves, and tells the other nodes.

    The own target says so itself, in its answers, or is listed as leaving;
    of the targets beside other nodes, these tell.
    """

    __slots__ = ('_fleet', '_executor', '_broadcast', '_told_at')

    def __init__(
        self,
        *,
        fleet: Fleet,
        executor: Executor,
        broadcast: Callable[[FrameKind, bytes], None],
    ) -> None:
        self._fleet = fleet
        self._executor = executor
        self._broadcast = broadcast
        self._told_at = float('-inf')

    def note_own(self, target_id: str) -> None:
        """Apply what the target beside this node said in an answer."""
        entry = self._fleet.entry_by_id.get(target_id)
        notice = LeavingNotice(
            target_id=target_id,
            started_ms=entry.started_ms if entry else 0,
        )
        if self._fleet.note_target_leaving(notice):
            self._executor.withdraw_departed()
            self._tell(notice)

    def handle(self, notice: LeavingNotice) -> None:
        """Apply the news of another node."""
        self._fleet.note_target_leaving(notice)

    def apply_list(self) -> None:
        """Apply a new target list, in which targets may leave or be gone."""
        self._executor.withdraw_departed()
        self._told_at = float('-inf')
        self.advance()

    def advance(self) -> None:
        """Tell that the own target leaves, each half second."""
        entry = self._fleet.own_entry
        if entry is None or not entry.is_leaving:
            return
        if clock_now() - self._told_at < _REPEAT_SECONDS:
            return
        self._tell(
            LeavingNotice(
                target_id=entry.target_id,
                started_ms=entry.started_ms,
            ),
        )

    def _tell(self, notice: LeavingNotice) -> None:
        self._told_at = clock_now()
        self._broadcast(FrameKind.TARGET_LEAVING, encode_message(notice))
