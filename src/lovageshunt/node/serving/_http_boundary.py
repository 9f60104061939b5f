"""Converts HTTP requests to calls, and endings of calls to HTTP responses."""

from types import MappingProxyType
from typing import Final
from uuid import uuid4

import orjson
from expression import Error, Ok, Result
from xxhash import xxh3_64_hexdigest

from lovageshunt._record import Record
from lovageshunt.calls import (
    CONTEXT_HEADER,
    CallContext,
    ContextKey,
    HomeNode,
    Outcome,
    RefusalReason,
    decode_and_verify_context,
    rank_of,
)
from lovageshunt.client import InboundRequest
from lovageshunt.errors import MalformedContextError
from lovageshunt.idempotency import Ending, StoredAnswer
from lovageshunt.retries import allowance_for
from lovageshunt.rules import KindRule

#: Headers sent by callers that do not embed the library.
REQUEST_ID_HEADER: Final = 'idempotency-key'
ATTEMPT_HEADER: Final = 'lovageshunt-attempt'
AGE_HEADER: Final = 'lovageshunt-age-ms'
TIMEOUT_HEADER: Final = 'lovageshunt-timeout-ms'
CALLER_HEADER: Final = 'lovageshunt-caller'

_MS_PER_SECOND: Final = 1000
_MAX_ID_LENGTH: Final = 128
_MAX_DIGITS: Final = 9
#: Age assumed for a retry that does not state it.
_DEFAULT_RETRY_AGE_MS: Final = 60_000
_STATUS_BY_OUTCOME: Final = MappingProxyType(
    {
        Outcome.NOT_RUN: 503,
        Outcome.FAILED: 502,
        Outcome.UNKNOWN: 504,
    },
)
_RETRY_BOUND_STATUS: Final = 429


class HttpResponse(Record):
    """An HTTP response, with header names and values as bytes."""

    __slots__ = ('status', 'headers', 'body')

    def __init__(
        self,
        *,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class ParsedCall(Record):
    """A call parsed from a request, with the rule of its kind.

    ``is_external`` marks a caller that does not embed the library, and hence
    does not track the outcomes of its earlier attempts.
    """

    __slots__ = ('context', 'rule', 'is_external')

    def __init__(
        self,
        *,
        context: CallContext,
        rule: KindRule,
        is_external: bool,
    ) -> None:
        self.context = context
        self.rule = rule
        self.is_external = is_external


def parse_call(
    inbound: InboundRequest,
    rule: KindRule,
    key: ContextKey | None = None,
) -> Result[ParsedCall, RefusalReason]:
    """Return the call in a request, or the reason to refuse the request.

    With a key, a call whose context is not signed with it counts as external.
    """
    header = inbound.headers.get(CONTEXT_HEADER)
    if header is None:
        return _external_call(inbound, rule)
    try:
        context, is_known = decode_and_verify_context(header, key)
    except MalformedContextError:
        return Error(RefusalReason.MALFORMED)
    if not is_known:
        return _unverified_call(context, rule)
    return Ok(ParsedCall(context=context, rule=rule, is_external=False))


def fingerprint_of(inbound: InboundRequest, parsed: ParsedCall) -> str:
    """Return a hash of the method, target and body of a request.

    For a call that must not be repeated the hash includes the call id,
    because another call of the same content is another purchase, not a retry.
    """
    head = f'{inbound.method} {inbound.target} '
    if not parsed.rule.is_repeatable:
        head = f'{head}{parsed.context.call_id} '
    return xxh3_64_hexdigest(head.encode() + inbound.body)


def reportable_ending(parsed: ParsedCall, ending: Ending) -> Ending:
    """Return the ending to report to the caller.

    A caller without the library reads *not run* as true of all attempts of
    its request, but an earlier attempt of a repeatable call may have run, so
    a retry of one is reported as failed.
    """
    is_first = parsed.context.attempt == 1
    if is_first or not parsed.is_external:
        return ending
    is_repeatable = parsed.rule.is_repeatable
    if ending.outcome is not Outcome.NOT_RUN or not is_repeatable:
        return ending
    return Ending(outcome=Outcome.FAILED, reason=ending.reason)


def response_of(
    context: CallContext,
    ending: Ending,
    retry_after_ms: int,
) -> HttpResponse:
    """Return the HTTP response for an ending, the target's own if stored."""
    response = _stored_response(ending.answer)
    if response is None:
        response = HttpResponse(
            status=_status_of(ending),
            headers=[(b'content-type', b'application/json')],
            body=refusal_body(context.request_id, ending, retry_after_ms),
        )
    if retry_after_ms:
        # Retry-After has whole seconds only, so round up.
        seconds = -(-retry_after_ms // _MS_PER_SECOND)
        response.headers.append((b'retry-after', str(seconds).encode()))
    return response


def _stored_response(stored: StoredAnswer | None) -> HttpResponse | None:
    if stored is None:
        return None
    return HttpResponse(
        status=stored.status,
        headers=[
            (name.lower().encode('latin-1'), text.encode('latin-1'))
            for name, text in stored.headers
        ],
        body=stored.body,
    )


def _status_of(ending: Ending) -> int:
    if ending.reason is RefusalReason.RETRY_BOUND:
        return _RETRY_BOUND_STATUS
    return _STATUS_BY_OUTCOME[ending.outcome]


def refusal_body(
    request_id: str,
    ending: Ending,
    retry_after_ms: int,
) -> bytes:
    """Return the JSON body of an error response."""
    return orjson.dumps(
        {
            'request_id': request_id,
            'outcome': ending.outcome,
            'reason': ending.reason,
            'retry_after_ms': retry_after_ms,
        },
    )


def forwarded_context(
    context: CallContext,
    *,
    home: HomeNode | None,
    seconds_left: float,
    elapsed_seconds: float,
    trace_parent: str,
) -> CallContext:
    """Return the context to send to the target."""
    fields = context.as_dict()
    fields['home'] = home
    fields['timeout_ms'] = max(1, int(seconds_left * _MS_PER_SECOND))
    fields['age_ms'] = context.age_ms + int(elapsed_seconds * _MS_PER_SECOND)
    fields['trace_parent'] = trace_parent
    return CallContext(**fields)


def _unverified_call(
    context: CallContext,
    rule: KindRule,
) -> Result[ParsedCall, RefusalReason]:
    """Apply the limits of the rules to a call with an unverified context.

    The ids, the caller and the kind stay as sent, because the outcome is
    reported under the same ids.
    """
    allowance = allowance_for(rule.retry_bound, context.attempt)
    if allowance is None and rule.is_repeatable:
        return Error(RefusalReason.RETRY_BOUND)
    context.importance = rule.importance_for(context.caller)
    context.rank = rank_of(context.request_id)
    context.retries_left = 0 if allowance is None else allowance.retries
    context.timeout_ms = min(context.timeout_ms, rule.timeout_ms)
    return Ok(ParsedCall(context=context, rule=rule, is_external=True))


def _external_call(
    inbound: InboundRequest,
    rule: KindRule,
) -> Result[ParsedCall, RefusalReason]:
    headers = inbound.headers
    request_id = headers.get(REQUEST_ID_HEADER, '')
    attempt = _count_or_default(
        headers.get(ATTEMPT_HEADER), 0 if request_id else 1
    )
    request_id = request_id or uuid4().hex
    if len(request_id) > _MAX_ID_LENGTH or not request_id.isascii():
        return Error(RefusalReason.MALFORMED)
    allowance = allowance_for(rule.retry_bound, attempt)
    if allowance is None and rule.is_repeatable:
        return Error(RefusalReason.RETRY_BOUND)
    default_age_ms = 0 if attempt == 1 else _DEFAULT_RETRY_AGE_MS
    timeout_ms = _count_or_default(headers.get(TIMEOUT_HEADER), rule.timeout_ms)
    context = CallContext(
        request_id=request_id,
        call_id=request_id,
        caller=headers.get(CALLER_HEADER, ''),
        kind=rule.kind,
        importance=rule.importance_for(headers.get(CALLER_HEADER, '')),
        rank=rank_of(request_id),
        timeout_ms=min(timeout_ms, rule.timeout_ms),
        age_ms=_count_or_default(headers.get(AGE_HEADER), default_age_ms),
        attempt=attempt,
        retries_left=0 if allowance is None else allowance.retries,
        trace_parent=headers.get('traceparent', ''),
    )
    return Ok(ParsedCall(context=context, rule=rule, is_external=True))


def _count_or_default(text: str | None, default: int) -> int:
    if text is None or not text.isdecimal() or len(text) > _MAX_DIGITS:
        return default
    return int(text)
