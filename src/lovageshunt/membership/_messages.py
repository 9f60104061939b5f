"""What nodes tell each other about members, and its checked decoding."""

from typing import Any, Final, Self, TypeVar, Unpack

import orjson

from lovageshunt._record import Record
from lovageshunt.errors import MalformedMembershipError
from lovageshunt.membership._news import AGE_UNKNOWN
from lovageshunt.membership._vms import VmFactFields, VmFacts, VmState

#: No count of milliseconds on the wire may be larger.
_MAX_MS: Final = 2**31
#: No revision of the platform may be larger.
_MAX_REVISION: Final = 2**63
#: A fingerprint has this many values at most.
_MAX_FINGERPRINT: Final = 2**32
_LONGEST_TEXT: Final = 256

_MessageT = TypeVar('_MessageT')


class Announcement(VmFacts):
    """A node's own word about itself; nobody else makes one.

    ``incarnation`` sorts by the time at which the node started. ``age_ms``
    is the time since the node said it, added up by each who passes it on.
    """

    __slots__ = (
        'incarnation',
        'is_leaving',
        'age_ms',
    )

    def __init__(
        self,
        *,
        incarnation: str,
        is_leaving: bool = False,
        age_ms: int = 0,
        **facts: Unpack[VmFactFields],
    ) -> None:
        """Take every field by name."""
        super().__init__(**facts)
        self.incarnation = incarnation
        self.is_leaving = is_leaving
        self.age_ms = age_ms

    @classmethod
    def from_fields(cls, fields: object) -> Self:
        """Decode an announcement; raises ``MalformedMembershipError``."""
        known = _checked_fields(cls, fields)
        _check_texts(known, *VmFacts.__slots__, 'incarnation')
        _check_count(known, 'age_ms', _MAX_MS)
        if not isinstance(known.get('is_leaving', False), bool):
            raise MalformedMembershipError(
                'is_leaving is neither true nor false'
            )
        return _made(cls, known)


class VmListChange(VmFacts):
    """What a reader of the platform saw change in its list.

    ``state`` is ``GONE`` when the list names the VM no longer.
    """

    __slots__ = (
        'state',
        'revision',
        'age_ms',
    )

    def __init__(
        self,
        *,
        state: VmState,
        revision: int,
        age_ms: int = 0,
        **facts: Unpack[VmFactFields],
    ) -> None:
        """Take every field by name."""
        super().__init__(**facts)
        self.state = state
        self.revision = revision
        self.age_ms = age_ms

    @classmethod
    def from_fields(cls, fields: object) -> Self:
        """Decode news of the list; raises ``MalformedMembershipError``."""
        known = _checked_fields(cls, fields)
        _check_texts(known, *VmFacts.__slots__)
        _check_count(known, 'age_ms', _MAX_MS)
        _check_count(known, 'revision', _MAX_REVISION)
        try:
            known['state'] = VmState(known.get('state', ''))
        except ValueError as error:
            raise MalformedMembershipError(str(error)) from error
        return _made(cls, known)


class Bulletin(Record):
    """What one node tells another: announcements and news of the list.

    ``news_age_ms`` is how long ago the platform had last answered a reader
    of whom the sender heard, or ``AGE_UNKNOWN``.
    """

    __slots__ = ('announcements', 'list_news', 'news_age_ms')

    def __init__(
        self,
        *,
        announcements: list[Announcement],
        list_news: list[VmListChange],
        news_age_ms: int = AGE_UNKNOWN,
    ) -> None:
        """Take every field by name."""
        self.announcements = announcements
        self.list_news = list_news
        self.news_age_ms = news_age_ms

    def as_dict(self) -> dict[str, Any]:
        """Return the fields by name, for a codec at the border."""
        return {
            'announcements': [one.as_dict() for one in self.announcements],
            'list_news': [one.as_dict() for one in self.list_news],
            'news_age_ms': self.news_age_ms,
        }

    @classmethod
    def from_fields(cls, fields: object) -> Self:
        """Decode a bulletin; raises ``MalformedMembershipError``."""
        known = _checked_fields(cls, fields)
        _check_news_age(known)
        return cls(
            announcements=[
                Announcement.from_fields(one)
                for one in _listed(known, 'announcements')
            ],
            list_news=[
                VmListChange.from_fields(one)
                for one in _listed(known, 'list_news')
            ],
            news_age_ms=known.get('news_age_ms', AGE_UNKNOWN),
        )


class ServiceDigest(Record):
    """How many announcements of a service a node holds, and a hash of them."""

    __slots__ = ('count', 'fingerprint')

    def __init__(self, count: int, fingerprint: int) -> None:
        """Take both numbers."""
        self.count = count
        self.fingerprint = fingerprint


class MembershipDigest(Record):
    """What a node holds, short enough to send to a peer every few seconds.

    ``digest_by_service`` covers the announcements that it holds of each
    service. ``held_by_service`` lists their fingerprints for services whose
    digests were found to differ. ``news_age_ms`` is that of a bulletin.
    """

    __slots__ = (
        'sender',
        'address',
        'digest_by_service',
        'held_by_service',
        'news_age_ms',
    )

    def __init__(
        self,
        *,
        sender: str,
        address: str,
        digest_by_service: dict[str, ServiceDigest] | None = None,
        held_by_service: dict[str, list[int]] | None = None,
        news_age_ms: int = AGE_UNKNOWN,
    ) -> None:
        """Take every field by name."""
        self.sender = sender
        self.address = address
        self.digest_by_service = digest_by_service or {}
        self.held_by_service = held_by_service or {}
        self.news_age_ms = news_age_ms

    def as_dict(self) -> dict[str, Any]:
        """Return the fields by name, for a codec at the border."""
        pair_by_service = {
            service: (digest.count, digest.fingerprint)
            for service, digest in self.digest_by_service.items()
        }
        return super().as_dict() | {'digest_by_service': pair_by_service}

    @classmethod
    def from_fields(cls, fields: object) -> Self:
        """Decode a digest; raises ``MalformedMembershipError``."""
        known = _checked_fields(cls, fields)
        _check_texts(known, 'sender', 'address')
        _check_news_age(known)
        known['digest_by_service'] = {
            service: ServiceDigest(*_fingerprints(pair, exactly=2))
            for service, pair in _mapped(known, 'digest_by_service').items()
        }
        known['held_by_service'] = {
            service: _fingerprints(held)
            for service, held in _mapped(known, 'held_by_service').items()
        }
        return _made(cls, known)


def wire_bytes(message: Record) -> int:
    """Return how many bytes a message takes as compact JSON."""
    return len(orjson.dumps(message.as_dict()))


def _checked_fields(kind: type[Record], fields: object) -> dict[str, Any]:
    if not isinstance(fields, dict):
        raise MalformedMembershipError('no JSON object')
    names = kind._field_names()
    # Fields of later versions are passed over.
    return {name: fields[name] for name in names if name in fields}


def _check_texts(fields: dict[str, Any], *names: str) -> None:
    for name in names:
        text = fields.get(name, '')
        if not isinstance(text, str) or len(text) > _LONGEST_TEXT:
            raise MalformedMembershipError(
                f'{name} is no text of at most {_LONGEST_TEXT} characters',
            )


def _check_count(fields: dict[str, Any], name: str, most: int) -> None:
    count = fields.get(name, 0)
    if isinstance(count, bool) or not isinstance(count, int):
        raise MalformedMembershipError(f'{name} is no whole number')
    if not 0 <= count <= most:
        raise MalformedMembershipError(f'{name} is out of range')


def _mapped(fields: dict[str, Any], name: str) -> dict[str, object]:
    mapped = fields.get(name, {})
    if not isinstance(mapped, dict):
        raise MalformedMembershipError(f'{name} is no object')
    return mapped


def _fingerprints(listed: object, *, exactly: int | None = None) -> list[int]:
    if not isinstance(listed, list):
        raise MalformedMembershipError('a service has no list of numbers')
    if exactly not in {None, len(listed)}:
        raise MalformedMembershipError(f'a service has not {exactly} numbers')
    for fingerprint in listed:
        _check_count({'number': fingerprint}, 'number', _MAX_FINGERPRINT)
    return listed


def _check_news_age(fields: dict[str, Any]) -> None:
    if fields.get('news_age_ms', AGE_UNKNOWN) != AGE_UNKNOWN:
        _check_count(fields, 'news_age_ms', _MAX_MS)


def _listed(fields: dict[str, Any], name: str) -> list[object]:
    listed = fields.get(name, [])
    if not isinstance(listed, list):
        raise MalformedMembershipError(f'{name} is no list')
    return listed


def _made(kind: type[_MessageT], fields: dict[str, Any]) -> _MessageT:
    try:
        return kind(**fields)
    except TypeError as error:
        raise MalformedMembershipError(str(error)) from error
