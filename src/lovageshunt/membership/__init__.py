"""Track the members of services: who is live, leaving or unresponsive."""

from lovageshunt.membership._actions import (
    MembersChanged,
    OwnLeaveListed,
    Peer,
    Probe,
    ReadVmList,
    SendBulletin,
    SendDigest,
)
from lovageshunt.membership._coordinators import CoordinatorElection
from lovageshunt.membership._election import (
    ElectionSettings,
    ReaderElection,
)
from lovageshunt.membership._epochs import EpochClock, StampedInputs
from lovageshunt.membership._events import (
    BulletinReceived,
    DigestReceived,
    LeaveStarted,
    MembershipTicked,
    PauseEnded,
    PeerAnnounced,
    PeerAnswered,
    PeerSilent,
    VmListChangeReceived,
    VmListReadFailed,
    VmListReceived,
)
from lovageshunt.membership._incarnation import new_incarnation
from lovageshunt.membership._member import Member
from lovageshunt.membership._messages import (
    Announcement,
    Bulletin,
    MembershipDigest,
    ServiceDigest,
    VmListChange,
    wire_bytes,
)
from lovageshunt.membership._platform_answer import AGE_UNKNOWN
from lovageshunt.membership._settings import MembershipSettings
from lovageshunt.membership._view import MembershipView
from lovageshunt.membership._vms import ListedVm, VmList, VmState

__all__ = [
    'CoordinatorElection',
    'SendBulletin',
    'Announcement',
    'Bulletin',
    'BulletinReceived',
    'DigestReceived',
    'ElectionSettings',
    'EpochClock',
    'LeaveStarted',
    'VmListChange',
    'VmListChangeReceived',
    'VmListReceived',
    'VmListReadFailed',
    'ListedVm',
    'Member',
    'AGE_UNKNOWN',
    'MembersChanged',
    'MembershipDigest',
    'MembershipSettings',
    'MembershipView',
    'OwnLeaveListed',
    'PauseEnded',
    'Peer',
    'PeerAnnounced',
    'PeerAnswered',
    'PeerSilent',
    'StampedInputs',
    'Probe',
    'ReadVmList',
    'ReaderElection',
    'SendDigest',
    'ServiceDigest',
    'MembershipTicked',
    'VmList',
    'VmState',
    'new_incarnation',
    'wire_bytes',
]
