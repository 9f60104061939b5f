"""Messages that nodes exchange about members, and their validated decoding."""

from typing import Any, Final, Self, TypeVar, Unpack

import orjson

from lovageshunt._record import Record
from lovageshunt.errors import MalformedMembershipError
from lovageshunt.membership._platform_answer import AGE_UNKNOWN
from lovageshunt.membership._vms import VmAttributeFields, VmAttributes, VmState

#: Upper bound of any number of milliseconds in a message.
_MAX_MS: Final = 2**31
#: Upper bound of a platform revision.
_MAX_REVISION: Final = 2**63
#: Upper bound of a fingerprint, which has 32 bits.
_MAX_FINGERPRINT: Final = 2**32
#: Upper bound of the length of a text field, in characters.
_MAX_TEXT_LENGTH: Final = 256

_MessageT = TypeVar('_MessageT')


class Announcement(VmAttributes):
    """What a node states about itself; no other node creates one.

    ``incarnation`` sorts by the start time of the node. ``age_ms`` is the time
    since the node created it, updated by each node that forwards it.
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
        **attributes: Unpack[VmAttributeFields],
    ) -> None:
        super().__init__(**attributes)
        self.incarnation = incarnation
        self.is_leaving = is_leaving
        self.age_ms = age_ms

    @classmethod
    def from_fields(cls, fields: object) -> Self:
        """Decode an announcement; raise ``MalformedMembershipError``."""
        known = _known_fields(cls, fields)
        _check_texts(known, *VmAttributes.__slots__, 'incarnation')
        _check_count(known, 'age_ms', _MAX_MS)
        if not isinstance(known.get('is_leaving', False), bool):
            raise MalformedMembershipError('is_leaving is not a boolean')
        return _construct(cls, known)


class VmListChange(VmAttributes):
    """A change of the VM list that a reader of the platform saw.

    ``state`` is ``GONE`` if the list no longer contains the VM. ``revision`` is
    that of the list, ``age_ms`` the time since the change was seen.
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
        **attributes: Unpack[VmAttributeFields],
    ) -> None:
        super().__init__(**attributes)
        self.state = state
        self.revision = revision
        self.age_ms = age_ms

    @classmethod
    def from_fields(cls, fields: object) -> Self:
        """Decode a list change; raise ``MalformedMembershipError``."""
        known = _known_fields(cls, fields)
        _check_texts(known, *VmAttributes.__slots__)
        _check_count(known, 'age_ms', _MAX_MS)
        _check_count(known, 'revision', _MAX_REVISION)
        try:
            known['state'] = VmState(known.get('state', ''))
        except ValueError as error:
            raise MalformedMembershipError(str(error)) from error
        return _construct(cls, known)


class Bulletin(Record):
    """Announcements and list changes sent by one node to another.

    ``news_age_ms`` is the time since the platform last answered any reader
    known to the sender, or ``AGE_UNKNOWN``.
    """

    __slots__ = ('announcements', 'list_news', 'news_age_ms')

    def __init__(
        self,
        *,
        announcements: list[Announcement],
        list_news: list[VmListChange],
        news_age_ms: int = AGE_UNKNOWN,
    ) -> None:
        self.announcements = announcements
        self.list_news = list_news
        self.news_age_ms = news_age_ms

    def as_dict(self) -> dict[str, Any]:
        """Return the fields by name, nested messages included, for a codec."""
        return {
            'announcements': [one.as_dict() for one in self.announcements],
            'list_news': [one.as_dict() for one in self.list_news],
            'news_age_ms': self.news_age_ms,
        }

    @classmethod
    def from_fields(cls, fields: object) -> Self:
        """Decode a bulletin; raise ``MalformedMembershipError``."""
        known = _known_fields(cls, fields)
        _check_news_age(known)
        return cls(
            announcements=[
                Announcement.from_fields(one)
                for one in _list_field(known, 'announcements')
            ],
            list_news=[
                VmListChange.from_fields(one)
                for one in _list_field(known, 'list_news')
            ],
            news_age_ms=known.get('news_age_ms', AGE_UNKNOWN),
        )


class ServiceDigest(Record):
    """The number of announcements a node holds of a service, and their hash."""

    __slots__ = ('count', 'fingerprint')

    def __init__(self, count: int, fingerprint: int) -> None:
        self.count = count
        self.fingerprint = fingerprint


class MembershipDigest(Record):
    """A summary of what a node holds, small enough to send every few seconds.

    ``address`` is the exchange address of the sender. ``digest_by_service``
    covers the announcements held for each service. ``held_by_service`` lists
    their fingerprints for services whose digests differed. ``news_age_ms`` is
    as in ``Bulletin``.
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
        self.sender = sender
        self.address = address
        self.digest_by_service = digest_by_service or {}
        self.held_by_service = held_by_service or {}
        self.news_age_ms = news_age_ms

    def as_dict(self) -> dict[str, Any]:
        """Return the fields by name, digests as pairs, for a codec."""
        pair_by_service = {
            service: (digest.count, digest.fingerprint)
            for service, digest in self.digest_by_service.items()
        }
        return super().as_dict() | {'digest_by_service': pair_by_service}

    @classmethod
    def from_fields(cls, fields: object) -> Self:
        """Decode a digest; raise ``MalformedMembershipError``."""
        known = _known_fields(cls, fields)
        _check_texts(known, 'sender', 'address')
        _check_news_age(known)
        known['digest_by_service'] = {
            service: ServiceDigest(*_fingerprints(pair, exactly=2))
            for service, pair in _object_field(
                known, 'digest_by_service'
            ).items()
        }
        known['held_by_service'] = {
            service: _fingerprints(held)
            for service, held in _object_field(known, 'held_by_service').items()
        }
        return _construct(cls, known)


def wire_bytes(message: Record) -> int:
    """Return the size of a message as compact JSON, in bytes."""
    return len(orjson.dumps(message.as_dict()))


def _known_fields(kind: type[Record], fields: object) -> dict[str, Any]:
    if not isinstance(fields, dict):
        raise MalformedMembershipError('the message is not a JSON object')
    names = kind._field_names()
    # Ignore unknown fields: newer versions may send more.
    return {name: fields[name] for name in names if name in fields}


def _check_texts(fields: dict[str, Any], *names: str) -> None:
    for name in names:
        text = fields.get(name, '')
        if not isinstance(text, str) or len(text) > _MAX_TEXT_LENGTH:
            raise MalformedMembershipError(
                f'{name} is not a string of at most {_MAX_TEXT_LENGTH} '
                'characters',
            )


def _check_count(fields: dict[str, Any], name: str, maximum: int) -> None:
    count = fields.get(name, 0)
    if isinstance(count, bool) or not isinstance(count, int):
        raise MalformedMembershipError(f'{name} is not an integer')
    if not 0 <= count <= maximum:
        raise MalformedMembershipError(
            f'{name} is {count}, not within 0 to {maximum}'
        )


def _object_field(fields: dict[str, Any], name: str) -> dict[str, object]:
    mapped = fields.get(name, {})
    if not isinstance(mapped, dict):
        raise MalformedMembershipError(f'{name} is not a JSON object')
    return mapped


def _fingerprints(listed: object, *, exactly: int | None = None) -> list[int]:
    if not isinstance(listed, list):
        raise MalformedMembershipError('the entry of a service is not a list')
    if exactly not in {None, len(listed)}:
        raise MalformedMembershipError(
            f'the entry of a service has {len(listed)} numbers, not {exactly}'
        )
    for fingerprint in listed:
        _check_count({'number': fingerprint}, 'number', _MAX_FINGERPRINT)
    return listed


def _check_news_age(fields: dict[str, Any]) -> None:
    if fields.get('news_age_ms', AGE_UNKNOWN) != AGE_UNKNOWN:
        _check_count(fields, 'news_age_ms', _MAX_MS)


def _list_field(fields: dict[str, Any], name: str) -> list[object]:
    listed = fields.get(name, [])
    if not isinstance(listed, list):
        raise MalformedMembershipError(f'{name} is not a list')
    return listed


def _construct(kind: type[_MessageT], fields: dict[str, Any]) -> _MessageT:
    try:
        return kind(**fields)
    except TypeError as error:
        raise MalformedMembershipError(str(error)) from error
