"""Strategies that generate account lines and snapshots."""

from hypothesis import strategies as st

from lovageshunt.account import AccountLine, AccountSnapshot

_COUNTS = st.integers(0, 1000)
_REASONS = st.dictionaries(st.sampled_from(['overload', 'deadline']), _COUNTS)

LINES = st.builds(
    AccountLine,
    service=st.sampled_from(['balances', 'records']),
    kind=st.sampled_from(['lookup', 'purchase']),
    importance=st.integers(0, 7),
    arrived=_COUNTS,
    answered=_COUNTS,
    running=_COUNTS,
    refused_by_reason=_REASONS,
    wasted_by_reason=_REASONS,
)
SNAPSHOTS = st.builds(
    AccountSnapshot,
    node=st.sampled_from(['n1', 'n2']),
    incarnation=st.sampled_from(['a', 'b']),
    sequence=st.integers(1, 4),
    started_at=st.floats(0, 100),
    taken_at=st.floats(100, 200),
    is_final=st.booleans(),
    lines=st.lists(LINES, max_size=2),
)
