"""What a client knows: members and rules of the services that it calls."""

from typing import Any, Final

import orjson

from lovageshunt._record import Record
from lovageshunt.errors import MalformedViewError
from lovageshunt.routing import RouteMember
from lovageshunt.rules import (
    KindRule,
    ServiceRules,
    decode_parts,
    default_rule,
    encode_parts,
)

#: Where a node's ingress serves its view to clients.
VIEW_PATH: Final = '/lovageshunt/v1/view'

#: Where a node's ingress takes the accounts of clients.
ACCOUNT_PATH: Final = '/lovageshunt/v1/account'


class View(Record):
    """Members and rules by service, and the generation of the rules."""

    __slots__ = ('generation', 'rules_by_service', 'members_by_service')

    def __init__(
        self,
        *,
        generation: int,
        rules_by_service: dict[str, ServiceRules],
        members_by_service: dict[str, list[RouteMember]],
    ) -> None:
        """Take the three parts; generation 0 means that there are no rules."""
        self.generation = generation
        self.rules_by_service = rules_by_service
        self.members_by_service = members_by_service

    def rule_for(self, service: str, method: str, path: str) -> KindRule:
        """Return the rule of a request, or the cautious default."""
        rules = self.rules_by_service.get(service)
        rule = rules.kind_for(method, path) if rules else None
        return rule or default_rule(service, method, path)


EMPTY_VIEW: Final = View(
    generation=0,
    rules_by_service={},
    members_by_service={},
)


def encode_view(view: View) -> bytes:
    """Return the view as JSON."""
    return orjson.dumps(
        {
            'generation': view.generation,
            'rules': encode_parts(view.rules_by_service),
            'members': {
                service: [member.as_dict() for member in members]
                for service, members in view.members_by_service.items()
            },
        },
    )


def decode_view(body: bytes) -> View:
    """Return the view in JSON; raises ``MalformedViewError``."""
    try:
        return _view_of(body)
    except (LookupError, TypeError, ValueError) as error:
        raise MalformedViewError(repr(error)) from error


def _view_of(body: bytes) -> View:
    fields: dict[str, Any] = orjson.loads(body)
    if not isinstance(fields, dict):
        raise TypeError('no JSON object')
    return View(
        generation=int(fields['generation']),
        rules_by_service=decode_parts(fields['rules']),
        members_by_service={
            service: [RouteMember(**member) for member in members]
            for service, members in dict(fields['members']).items()
        },
    )
