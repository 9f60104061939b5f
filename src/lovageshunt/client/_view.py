"""The view of a client: members and rules of the services it calls."""

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

#: The path at which the ingress of a node serves the view.
VIEW_PATH: Final = '/lovageshunt/v1/view'

#: The path at which the ingress of a node accepts clients' accounts.
ACCOUNT_PATH: Final = '/lovageshunt/v1/account'


class View(Record):
    """Members and rules by service, and the generation of the rules.

    Generation 0 means that there are no rules.
    """

    __slots__ = ('generation', 'rules_by_service', 'members_by_service')

    def __init__(
        self,
        *,
        generation: int,
        rules_by_service: dict[str, ServiceRules],
        members_by_service: dict[str, list[RouteMember]],
    ) -> None:
        self.generation = generation
        self.rules_by_service = rules_by_service
        self.members_by_service = members_by_service

    def rule_for(self, service: str, method: str, path: str) -> KindRule:
        """Return the rule of a request, or the conservative default rule."""
        rules = self.rules_by_service.get(service)
        rule = rules.kind_for(method, path) if rules else None
        return rule or default_rule(service, method, path)


EMPTY_VIEW: Final = View(
    generation=0,
    rules_by_service={},
    members_by_service={},
)


def encode_view(view: View) -> bytes:
    """Encode the view as the JSON that ``decode_view`` reads."""
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
    """Decode a view from JSON; raises ``MalformedViewError``."""
    try:
        return _view_of(body)
    except (LookupError, TypeError, ValueError) as error:
        raise MalformedViewError(repr(error)) from error


def _view_of(body: bytes) -> View:
    fields: dict[str, Any] = orjson.loads(body)
    if not isinstance(fields, dict):
        raise TypeError('expected a JSON object')
    return View(
        generation=int(fields['generation']),
        rules_by_service=decode_parts(fields['rules']),
        members_by_service={
            service: [RouteMember(**member) for member in members]
            for service, members in dict(fields['members']).items()
        },
    )
