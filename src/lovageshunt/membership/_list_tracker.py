"""Which reads of the platform's VM list are current, and what changed."""

from typing import Final

from lovageshunt.membership._messages import VmListChange
from lovageshunt.membership._vms import ListedVm, VmList, VmState

#: Changes are forwarded only if the list compared with is at most this old.
_MAX_COMPARED_AGE_SECONDS: Final = 120
#: Maximum number of changes, and of VMs with their revisions, remembered.
_MAX_REMEMBERED_CHANGES: Final = 4096
#: Time for which a list may show the leave of this VM's earlier incarnation.
_OWN_LEAVE_GRACE_SECONDS: Final = 30


class ListReadResult:
    """What a read of the VM list means.

    ``is_current`` is false for a stale copy. ``changes`` are the differences
    from the list before. ``is_own_leave``: this VM is to leave.
    """

    __slots__ = ('is_current', 'changes', 'is_own_leave')

    def __init__(
        self,
        *,
        is_current: bool,
        changes: list[VmListChange],
        is_own_leave: bool,
    ) -> None:
        self.is_current = is_current
        self.changes = changes
        self.is_own_leave = is_own_leave


class ListTracker:
    """The last VM list read, and the highest revision seen in a current one.

    A list of a lower revision is a stale copy, unless only lower ones were read
    for ``rollback_timeout_seconds``: then the platform has restarted.
    """

    __slots__ = (
        '_own_name',
        '_rollback_timeout_seconds',
        '_max_revision',
        '_max_revision_read_at',
        '_last_read_at',
        '_vm_by_name',
        '_known_changes',
        '_revision_by_name',
        '_own_leave_since',
        '_was_own_live',
    )

    def __init__(self, own_name: str, rollback_timeout_seconds: float) -> None:
        self._own_name = own_name
        self._rollback_timeout_seconds = rollback_timeout_seconds
        self._max_revision = -1
        self._max_revision_read_at: float = 0
        self._last_read_at: float | None = None
        self._vm_by_name: dict[str, ListedVm] = {}
        self._known_changes: dict[tuple[str, VmState, int], None] = {}
        self._revision_by_name: dict[str, int] = {}
        self._own_leave_since: float | None = None
        self._was_own_live = False

    def record_read(self, vm_list: VmList, now: float) -> ListReadResult:
        """Record a list that was read and compare it with the one before."""
        is_current = self._is_current(vm_list.revision, now)
        vm_by_name = {vm.name: vm for vm in vm_list.vms}
        is_own_leave = False
        changes: list[VmListChange] = []
        if is_current:
            changes = self._changes(vm_by_name, vm_list.revision, now)
            self._vm_by_name = vm_by_name
            self._last_read_at = now
            own = vm_by_name.get(self._own_name)
            is_own_leave = own is not None and self.is_own_leave(own.state, now)
        return ListReadResult(
            is_current=is_current,
            changes=changes,
            is_own_leave=is_own_leave,
        )

    def record_change(self, change: VmListChange) -> bool:
        """Record a change that a peer forwarded; return whether it is new."""
        key = (change.name, change.state, change.revision)
        if key in self._known_changes:
            return False
        self._known_changes[key] = None
        if len(self._known_changes) > _MAX_REMEMBERED_CHANGES:
            # Dictionaries keep insertion order, so this is the oldest.
            self._known_changes.pop(next(iter(self._known_changes)))
        return True

    def has_read_past(self, revision: int) -> bool:
        """Return whether this node read a list newer than ``revision``."""
        return revision < self._max_revision

    def is_latest(self, change: VmListChange) -> bool:
        """Record the revision of a change; return whether none was higher."""
        latest = max(
            self._revision_by_name.get(change.name, -1), change.revision
        )
        self._revision_by_name[change.name] = latest
        if len(self._revision_by_name) > _MAX_REMEMBERED_CHANGES:
            self._revision_by_name.pop(next(iter(self._revision_by_name)))
        return latest == change.revision

    def expire(self, now: float) -> None:
        """Drop a list that is too old to derive changes from."""
        if self._last_read_at is None:
            return
        if now - self._last_read_at > _MAX_COMPARED_AGE_SECONDS:
            self._vm_by_name = {}
            self._last_read_at = None

    def is_own_leave(self, state: VmState, now: float) -> bool:
        """Return whether this VM is to leave.

        A starting node may read a list that still shows the leave of its
        earlier incarnation, so a leave seen before the VM was ever listed as
        live counts only when it persists for the grace period.
        """
        if state is not VmState.LEAVING:
            self._own_leave_since = None
            self._was_own_live = state is VmState.LIVE or self._was_own_live
            return False
        if self._own_leave_since is None:
            self._own_leave_since = now
        leaving_seconds = now - self._own_leave_since
        return self._was_own_live or leaving_seconds >= _OWN_LEAVE_GRACE_SECONDS

    def _is_current(self, revision: int, now: float) -> bool:
        has_restarted = (
            now - self._max_revision_read_at > self._rollback_timeout_seconds
        )
        if revision < self._max_revision and not has_restarted:
            return False
        self._max_revision = revision
        self._max_revision_read_at = now
        return True

    def _changes(
        self,
        vm_by_name: dict[str, ListedVm],
        revision: int,
        now: float,
    ) -> list[VmListChange]:
        if (
            self._last_read_at is None
            or now - self._last_read_at > _MAX_COMPARED_AGE_SECONDS
        ):
            return []
        changed = [
            _change_of(vm, vm.state, revision)
            for name, vm in vm_by_name.items()
            if name not in self._vm_by_name
            or self._vm_by_name[name].state is not vm.state
        ]
        gone = [
            _change_of(vm, VmState.GONE, revision)
            for name, vm in self._vm_by_name.items()
            if name not in vm_by_name
        ]
        return changed + gone


def _change_of(vm: ListedVm, state: VmState, revision: int) -> VmListChange:
    return VmListChange(revision=revision, state=state, **vm.attributes())
