"""Builders of membership messages and events for the tests."""

from lovageshunt.membership import (
    Announcement,
    ListedVm,
    PeerAnnounced,
    VmList,
    VmListReceived,
    VmState,
)


def listed(
    name: str,
    state: VmState = VmState.LIVE,
    *,
    failure_domain: str = 'fd1',
) -> ListedVm:
    """Return a VM list entry of the service ``records``."""
    return ListedVm(
        name=name,
        service='records',
        failure_domain=failure_domain,
        region='r1',
        address=f'{name}:1',
        admin_address=f'{name}:2',
        state=state,
    )


def announcement_of(
    name: str,
    incarnation: str = '1',
    *,
    is_leaving: bool = False,
    age_ms: int = 0,
    service: str = 'records',
) -> Announcement:
    """Return an announcement by a VM, by default of the service ``records``."""
    return Announcement(
        name=name,
        service=service,
        failure_domain='fd1',
        region='r1',
        address=f'{name}:1',
        admin_address=f'{name}:2',
        incarnation=incarnation,
        is_leaving=is_leaving,
        age_ms=age_ms,
    )


def peer_announced(
    name: str,
    incarnation: str = '1',
    *,
    is_leaving: bool = False,
    age_ms: int = 0,
) -> PeerAnnounced:
    """Return the event that an announcement arrived."""
    announcement = announcement_of(
        name,
        incarnation,
        is_leaving=is_leaving,
        age_ms=age_ms,
    )
    return PeerAnnounced(announcement)


def list_received(revision: int, *vms: ListedVm) -> VmListReceived:
    """Return the event that the VM list was received."""
    return VmListReceived(VmList(revision=revision, vms=list(vms)))
