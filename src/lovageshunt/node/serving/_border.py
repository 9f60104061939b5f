"""Between HTTP and the gate: contexts in, control parts of answers out."""

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
    HomeStamp,
    Outcome,
    RefusalReason,
    decode_known_context,
    rank_of,
)
from lovageshunt.client import InboundRequest
from lovageshunt.errors import MalformedContextError
from lovageshunt.idempotency import Ending, StoredAnswer
from lovageshunt.retries import allowance_for
from lovageshunt.rules import KindRule

#: Headers of callers that do not embed the library.
REQUEST_ID_HEADER: Final = 'idempotency-key'
ATTEMPT_HEADER: Final = 'lovageshunt-attempt'
AGE_HEADER: Final = 'lovageshunt-age-ms'
TIMEOUT_HEADER: Final = 'lovageshunt-timeout-ms'
CALLER_HEADER: Final = 'lovageshunt-caller'

_MS_PER_SECOND: Final = 1000
_LONGEST_ID: Final = 128
_MAX_DIGITS: Final = 9
#: The age of a repeated request that does not state it.
_UNSTATED_AGE_MS: Final = 60_000
_STATUS_BY_OUTCOME: Final = MappingProxyType(
    {
        Outcome.NOT_RUN: 503,
        Outcome.FAILED: 502,
        Outcome.UNKNOWN: 504,
    },
)
_STATUS_BEYOND_BOUND: Final = 429


class Page(Record):
    """An HTTP answer, with names and values of headers as bytes."""

    __slots__ = ('status', 'headers', 'body')

    def __init__(
        self,
        *,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Take the parts."""
        self.status = status
        self.headers = headers
        self.body = body


class Admissible(Record):
    """A call as the gate takes it.

    ``is_external`` marks a caller that does not embed the library, and so
    counts no outcomes of earlier attempts itself.
    """

    __slots__ = ('context', 'rule', 'is_external')

    def __init__(
        self,
        *,
        context: CallContext,
        rule: KindRule,
        is_external: bool,
    ) -> None:
        """Take the context and the rule of the call."""
        self.context = context
        self.rule = rule
        self.is_external = is_external


def admissible_of(
    inbound: InboundRequest,
    rule: KindRule,
    key: ContextKey | None = None,
) -> Result[Admissible, RefusalReason]:
    """Return the call in a request, or why there is none.

    With a key, a context that no holder of it made is of an outside caller.
    """
    header = inbound.headers.get(CONTEXT_HEADER)
    if header is None:
        return _external(inbound, rule)
    try:
        context, is_known = decode_known_context(header, key)
    except MalformedContextError:
        return Error(RefusalReason.MALFORMED)
    if not is_known:
        return _outside(context, rule)
    return Ok(Admissible(context=context, rule=rule, is_external=False))


def fingerprint_of(inbound: InboundRequest, admissible: Admissible) -> str:
    """Return what requests of the same content have in common.

    A call that must not repeat stands for itself alone: another of the same
    content is another purchase, not a resend.
    """
    head = f'{inbound.method} {inbound.target} '
    if not admissible.rule.is_repeatable:
        head = f'{head}{admissible.context.call_id} '
    return xxh3_64_hexdigest(head.encode() + inbound.body)


def stated_ending(admissible: Admissible, ending: Ending) -> Ending:
    """Return the ending that the caller may be told.

    A caller without the library takes *not run* for its whole request, but
    an earlier attempt of a repeatable one may have run.
    """
    is_first = admissible.context.attempt == 1
    if is_first or not admissible.is_external:
        return ending
    is_repeatable = admissible.rule.is_repeatable
    if ending.outcome is not Outcome.NOT_RUN or not is_repeatable:
        return ending
    return Ending(outcome=Outcome.FAILED, reason=ending.reason)


def page_of(
    context: CallContext,
    ending: Ending,
    retry_after_ms: int,
) -> Page:
    """Return the HTTP answer for an ending; the target's own if it has one."""
    page = _stored_page(ending.answer)
    if page is None:
        page = Page(
            status=_status_of(ending),
            headers=[(b'content-type', b'application/json')],
            body=refusal_body(context.request_id, ending, retry_after_ms),
        )
    if retry_after_ms:
        # Seconds, rounded up: the header has no finer unit.
        seconds = -(-retry_after_ms // _MS_PER_SECOND)
        page.headers.append((b'retry-after', str(seconds).encode()))
    return page


def _stored_page(stored: StoredAnswer | None) -> Page | None:
    if stored is None:
        return None
    return Page(
        status=stored.status,
        headers=[
            (name.lower().encode('latin-1'), text.encode('latin-1'))
            for name, text in stored.headers
        ],
        body=stored.body,
    )


def _status_of(ending: Ending) -> int:
    if ending.reason is RefusalReason.RETRY_BOUND:
        return _STATUS_BEYOND_BOUND
    return _STATUS_BY_OUTCOME[ending.outcome]


def refusal_body(
    request_id: str,
    ending: Ending,
    retry_after_ms: int,
) -> bytes:
    """Return what a person or program without the library reads."""
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
    home: HomeStamp | None,
    seconds_left: float,
    elapsed_seconds: float,
    trace_parent: str,
) -> CallContext:
    """Return the context that the target gets."""
    fields = context.as_dict()
    fields['home'] = home
    fields['timeout_ms'] = max(1, int(seconds_left * _MS_PER_SECOND))
    fields['age_ms'] = context.age_ms + int(elapsed_seconds * _MS_PER_SECOND)
    fields['trace_parent'] = trace_parent
    return CallContext(**fields)


def _outside(
    context: CallContext,
    rule: KindRule,
) -> Result[Admissible, RefusalReason]:
    """Give a call that nobody vouches for what the rules say.

    Who it is and what it asks stays: an outcome is told under the same ids.
    """
    share = allowance_for(rule.retry_bound, context.attempt)
    if share is None and rule.is_repeatable:
        return Error(RefusalReason.RETRY_BOUND)
    context.importance = rule.importance_for(context.caller)
    context.rank = rank_of(context.request_id)
    context.retries_left = 0 if share is None else share.retries
    context.timeout_ms = min(context.timeout_ms, rule.timeout_ms)
    return Ok(Admissible(context=context, rule=rule, is_external=True))


def _external(
    inbound: InboundRequest,
    rule: KindRule,
) -> Result[Admissible, RefusalReason]:
    headers = inbound.headers
    request_id = headers.get(REQUEST_ID_HEADER, '')
    attempt = _count(headers.get(ATTEMPT_HEADER), 0 if request_id else 1)
    request_id = request_id or uuid4().hex
    if len(request_id) > _LONGEST_ID or not request_id.isascii():
        return Error(RefusalReason.MALFORMED)
    share = allowance_for(rule.retry_bound, attempt)
    if share is None and rule.is_repeatable:
        return Error(RefusalReason.RETRY_BOUND)
    unstated = 0 if attempt == 1 else _UNSTATED_AGE_MS
    timeout_ms = _count(headers.get(TIMEOUT_HEADER), rule.timeout_ms)
    context = CallContext(
        request_id=request_id,
        call_id=request_id,
        caller=headers.get(CALLER_HEADER, ''),
        kind=rule.kind,
        importance=rule.importance_for(headers.get(CALLER_HEADER, '')),
        rank=rank_of(request_id),
        timeout_ms=min(timeout_ms, rule.timeout_ms),
        age_ms=_count(headers.get(AGE_HEADER), unstated),
        attempt=attempt,
        retries_left=0 if share is None else share.retries,
        trace_parent=headers.get('traceparent', ''),
    )
    return Ok(Admissible(context=context, rule=rule, is_external=True))


def _count(text: str | None, default: int) -> int:
    if text is None or not text.isdecimal() or len(text) > _MAX_DIGITS:
        return default
    return int(text)
