"""Metadata of calls and answers, passed between hops in headers."""

from lovageshunt.calls._answer import AnswerInfo, LoadReport
from lovageshunt.calls._codec import (
    ANSWER_HEADER,
    CONTEXT_HEADER,
    decode_and_verify_context,
    decode_answer,
    decode_context,
    encode_answer,
    encode_context,
)
from lovageshunt.calls._context import CallContext, HomeNode
from lovageshunt.calls._importance import (
    HIGHEST_IMPORTANCE,
    LOWEST_IMPORTANCE,
    RANK_COUNT,
    level_of,
    rank_of,
)
from lovageshunt.calls._outcome import Outcome, RefusalReason
from lovageshunt.calls._signing import ContextKey

__all__ = [
    'ANSWER_HEADER',
    'CONTEXT_HEADER',
    'LOWEST_IMPORTANCE',
    'RANK_COUNT',
    'HIGHEST_IMPORTANCE',
    'AnswerInfo',
    'CallContext',
    'ContextKey',
    'HomeNode',
    'LoadReport',
    'Outcome',
    'RefusalReason',
    'decode_answer',
    'decode_context',
    'decode_and_verify_context',
    'encode_answer',
    'encode_context',
    'level_of',
    'rank_of',
]
