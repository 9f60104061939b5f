"""Membership messages survive encoding; malformed ones are rejected."""

from typing import Any

import orjson
import pytest

from lovageshunt.errors import MalformedMembershipError
from lovageshunt.membership import (
    Bulletin,
    MembershipDigest,
    ServiceDigest,
    VmListChange,
    VmState,
    wire_bytes,
)
from tests.membership.builders import announcement_of, listed

BULLETIN = Bulletin(
    announcements=[announcement_of('a', is_leaving=True, age_ms=5)],
    list_news=[
        VmListChange(revision=7, **listed('b', VmState.LEAVING).as_dict())
    ],
    news_age_ms=3,
)
DIGEST = MembershipDigest(
    sender='a',
    address='a:2',
    digest_by_service={'records': ServiceDigest(2, 2**32 - 1)},
    held_by_service={'records': [1, 2]},
)


def changed(name: str, value: Any) -> dict[str, Any]:
    """Return the fields of a digest with one of them replaced."""
    return DIGEST.as_dict() | {name: value}


class TestWire:
    """Encoding and decoding."""

    @pytest.mark.parametrize('message', [BULLETIN, DIGEST])
    def test_round_trip(self, message: Bulletin | MembershipDigest) -> None:
        """A decoded message equals the encoded one."""
        text = orjson.dumps(message.as_dict())
        assert type(message).from_fields(orjson.loads(text)) == message
        assert wire_bytes(message) == len(text)

    def test_later_fields(self) -> None:
        """Fields of a later version are ignored."""
        fields = orjson.loads(orjson.dumps(changed('colour', 'red')))
        assert MembershipDigest.from_fields(fields) == DIGEST

    @pytest.mark.parametrize(
        ('name', 'value'),
        [
            ('sender', 5),
            ('sender', 'x' * 300),
            ('digest_by_service', []),
            ('digest_by_service', {'records': [1]}),
            ('digest_by_service', {'records': [1, -1]}),
            ('held_by_service', {'records': ['1']}),
            ('held_by_service', {'records': 1}),
            ('news_age_ms', -2),
            ('news_age_ms', True),
        ],
    )
    def test_faulty_digest(self, name: str, value: Any) -> None:
        """A digest with an invalid field is rejected."""
        with pytest.raises(MalformedMembershipError):
            MembershipDigest.from_fields(changed(name, value))

    @pytest.mark.parametrize(
        'fields',
        [
            None,
            {'announcements': 'a'},
            {'announcements': [{}]},
            {
                'announcements': [
                    announcement_of('a').as_dict() | {'is_leaving': 1}
                ]
            },
            {'list_news': [listed('a').as_dict()]},
            {'list_news': [{'state': 'asleep'}]},
        ],
    )
    def test_faulty_bulletin(self, fields: object) -> None:
        """A bulletin with an invalid part is rejected."""
        with pytest.raises(MalformedMembershipError):
            Bulletin.from_fields(fields)
