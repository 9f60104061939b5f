"""Which readings of the platform's list are current, and what changed."""

from typing import Final

from lovageshunt.membership._messages import VmListChange
from lovageshunt.membership._vms import ListedVm, VmList, VmState

#: A change is news to others only if the reading before was this recent.
_SPREAD_WITHIN_SECONDS: Final = 120
#: News of no more VMs than this is remembered.
_MOST_HEARD: Final = 4096
#: How long a list may still show the leave of this VM's earlier incarnation.
_OWN_LEAVE_GRACE_SECONDS: Final = 30


class Reading:
    """What one reading of the list means."""

    __slots__ = ('is_current', 'changes', 'is_own_leave')

    def __init__(
        self,
        *,
        is_current: bool,
        changes: list[VmListChange],
        is_own_leave: bool,
    ) -> None:
        """Take every field by name."""
        self.is_current = is_current
        self.changes = changes
        self.is_own_leave = is_own_leave


class Listing:
    """The last list read, and the revision that a current one has reached.

    A revision below the highest read is a stale copy, unless nothing else
    was read for ``rollback_patience`` seconds: then the platform restarted.
    """

    __slots__ = (
        '_own_name',
        '_rollback_patience',
        '_highest',
        '_highest_at',
        '_read_at',
        '_vm_by_name',
        '_heard',
        '_revision_by_name',
        '_own_leave_since',
        '_was_own_live',
    )

    def __init__(self, own_name: str, rollback_patience: float) -> None:
        """Have read nothing."""
        self._own_name = own_name
        self._rollback_patience = rollback_patience
        self._highest = -1
        self._highest_at: float = 0
        self._read_at: float | None = None
        self._vm_by_name: dict[str, ListedVm] = {}
        self._heard: dict[tuple[str, VmState, int], None] = {}
        self._revision_by_name: dict[str, int] = {}
        self._own_leave_since: float | None = None
        self._was_own_live = False

    def read(self, vm_list: VmList, now: float) -> Reading:
        """Take in a reading."""
        is_current = self._is_current(vm_list.revision, now)
        vm_by_name = {vm.name: vm for vm in vm_list.vms}
        is_own_leave = False
        changes: list[VmListChange] = []
        if is_current:
            changes = self._changes(vm_by_name, vm_list.revision, now)
            self._vm_by_name = vm_by_name
            self._read_at = now
            own = vm_by_name.get(self._own_name)
            is_own_leave = own is not None and self.is_own_leave(own.state, now)
        return Reading(
            is_current=is_current,
            changes=changes,
            is_own_leave=is_own_leave,
        )

    def hear(self, news: VmListChange) -> bool:
        """Return whether what a reader saw is heard for the first time."""
        key = (news.name, news.state, news.revision)
        if key in self._heard:
            return False
        self._heard[key] = None
        if len(self._heard) > _MOST_HEARD:
            # Dictionaries keep their order, so this is the oldest.
            self._heard.pop(next(iter(self._heard)))
        return True

    def has_read_past(self, revision: int) -> bool:
        """Return whether this node read a later list than that of some news."""
        return revision < self._highest

    def is_latest(self, news: VmListChange) -> bool:
        """Return whether no later revision told of the VM."""
        latest = max(self._revision_by_name.get(news.name, -1), news.revision)
        self._revision_by_name[news.name] = latest
        if len(self._revision_by_name) > _MOST_HEARD:
            self._revision_by_name.pop(next(iter(self._revision_by_name)))
        return latest == news.revision

    def expire(self, now: float) -> None:
        """Drop a list that is too old to tell what changed since."""
        if self._read_at is None:
            return
        if now - self._read_at > _SPREAD_WITHIN_SECONDS:
            self._vm_by_name = {}
            self._read_at = None

    def is_own_leave(self, state: VmState, now: float) -> bool:
        """Return whether this VM is to leave.

        A node that starts may read a list that still shows the leave of the
        incarnation before it, so it waits whether the list says it again.
        """
        if state is not VmState.LEAVING:
            self._own_leave_since = None
            self._was_own_live = state is VmState.LIVE or self._was_own_live
            return False
        if self._own_leave_since is None:
            self._own_leave_since = now
        leave_for = now - self._own_leave_since
        return self._was_own_live or leave_for >= _OWN_LEAVE_GRACE_SECONDS

    def _is_current(self, revision: int, now: float) -> bool:
        is_restarted = now - self._highest_at > self._rollback_patience
        if revision < self._highest and not is_restarted:
            return False
        self._highest = revision
        self._highest_at = now
        return True

    def _changes(
        self,
        vm_by_name: dict[str, ListedVm],
        revision: int,
        now: float,
    ) -> list[VmListChange]:
        if (
            self._read_at is None
            or now - self._read_at > _SPREAD_WITHIN_SECONDS
        ):
            return []
        changed = [
            _news(vm, vm.state, revision)
            for name, vm in vm_by_name.items()
            if name not in self._vm_by_name
            or self._vm_by_name[name].state is not vm.state
        ]
        gone = [
            _news(vm, VmState.GONE, revision)
            for name, vm in self._vm_by_name.items()
            if name not in vm_by_name
        ]
        return changed + gone


def _news(vm: ListedVm, state: VmState, revision: int) -> VmListChange:
    return VmListChange(revision=revision, state=state, **vm.facts())
