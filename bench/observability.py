"""The cost per call of the account, spans, metrics and logs.

Run ``python -m bench.observability``. The first table has the median of
several rounds, in microseconds. The second has the bytes of an account: one
message for all lines, or one for each line, and what keeping it costs.
"""

import io
import logging
import time
from collections.abc import Callable
from functools import partial
from itertools import repeat
from random import Random
from statistics import median
from typing import Final

from aioprometheus.collectors import Counter, Registry

from lovageshunt.account import (
    MAX_SNAPSHOT_BYTES_PER_SECOND,
    REPLICA_COUNT,
    SNAPSHOT_INTERVAL_SECONDS,
    Account,
    decode_snapshot,
    encode_snapshot,
)
from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.cli import write_line, write_table
from lovageshunt.observability import Metrics, Traces, configure_logs

_ROUNDS: Final = 7
_CALLS_PER_ROUND: Final = 5000
_US_PER_SECOND: Final = 1_000_000
_LINES: Final = 30
_LINE_COUNTS: Final = (3, 16, 30, 90)
_MAX_CALLS: Final = 1000
_OUTCOMES: Final = (*Outcome, *repeat(Outcome.ANSWERED, 10))
_REASONS: Final = tuple(RefusalReason)[:6]
_PARENT: Final = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-'
_CALL: Final = ('balances', 'view_balance', 1)

Step = Callable[[], object]


def microseconds(step: Step, calls: int = _CALLS_PER_ROUND) -> float:
    """Return the median cost of one step over the rounds."""
    return median(_round(step, calls) for _ in range(_ROUNDS))


def _round(step: Step, calls: int) -> float:
    started = time.perf_counter()
    for _ in range(calls):
        step()
    return (time.perf_counter() - started) / calls * _US_PER_SECOND


def _span(traces: Traces, trace_parent: str) -> None:
    span = traces.start(
        'ingress',
        trace_parent=trace_parent,
        request_id='r-1',
        service='balances',
    )
    traces.end(span, Outcome.ANSWERED)


def _span_step(flags: str) -> Step:
    traces = Traces(node='n1', sampling_ratio=1, slow_seconds=1)
    return partial(_span, traces, f'{_PARENT}{flags}')


def _count(account: Account) -> None:
    account.arrived(*_CALL)
    account.ended(*_CALL, Outcome.ANSWERED, ran=True)


def _log_step(records_per_second: int) -> Step:
    configure_logs('INFO', records_per_second, io.StringIO())
    logger = logging.getLogger('bench')
    return lambda: logger.info('refused', extra={'reason': 'overload'})


def _account_of(line_count: int) -> Account:
    """Return an account whose lines all differ, as after a busy day."""
    rng = Random(line_count)
    account = Account('balances-12', 'life-1', 0)
    for number in range(line_count):
        call = ('balances', f'kind_{number}', 1)
        for _ in range(rng.randrange(_MAX_CALLS)):
            account.arrived(*call)
            outcome = rng.choice(_OUTCOMES)
            reason = None
            if outcome is not Outcome.ANSWERED:
                reason = rng.choice(_REASONS)
            account.ended(*call, outcome, reason)
    return account


def _size_row(line_count: int) -> tuple[str, ...]:
    snapshot = _account_of(line_count).snapshot(1)
    together = len(encode_snapshot(snapshot))
    lines = snapshot.lines
    apart = 0
    for line in lines:
        snapshot.lines = [line]
        apart += len(encode_snapshot(snapshot))
    rate = min(
        together * REPLICA_COUNT / SNAPSHOT_INTERVAL_SECONDS,
        MAX_SNAPSHOT_BYTES_PER_SECOND,
    )
    return (str(line_count), str(together), str(apart), f'{rate:.0f}')


def _per_call_rows() -> list[tuple[str, float]]:
    metrics = Metrics('n1')
    series = metrics.series('lovageshunt_pauses_total')
    buckets = metrics.buckets('lovageshunt_queue_seconds', 'balances')
    library = Counter('trial_total', 'trial', registry=Registry())
    labels = {'service': 'balances', 'kind': 'view_balance'}
    return [
        (
            'account, arrival and end',
            microseconds(partial(_count, Account('n1', 'a', 0))),
        ),
        ('span, not sampled', microseconds(_span_step('00'))),
        ('span, sampled and kept', microseconds(_span_step('01'))),
        ('metric, cell', microseconds(lambda: setattr(series, 'value', 1))),
        ('metric, buckets', microseconds(lambda: buckets.observe(0.01))),
        (
            'metric, the library itself',
            microseconds(lambda: library.inc(labels)),
        ),
        ('log line, held back', microseconds(_log_step(1))),
        ('log line, written', microseconds(_log_step(10**9))),
    ]


def _rare_rows() -> list[tuple[str, float]]:
    metrics = Metrics('n1')
    snapshot = _account_of(_LINES).snapshot(1)
    raw = encode_snapshot(snapshot)
    metrics.export_account(snapshot)
    return [
        (
            f'scrape of {_LINES} lines',
            microseconds(metrics.render, calls=20),
        ),
        (
            f'snapshot of {_LINES} lines, encoded',
            microseconds(lambda: encode_snapshot(snapshot), calls=50),
        ),
        (
            f'snapshot of {_LINES} lines, decoded',
            microseconds(lambda: decode_snapshot(raw), calls=50),
        ),
    ]


def main() -> None:
    """Print the table."""
    measured = [*_per_call_rows(), *_rare_rows()]
    rows = [(step, f'{cost:.2f}') for step, cost in measured]
    write_table(('step', 'microseconds'), rows)
    write_line('')
    write_table(
        ('lines', 'bytes together', 'bytes apart', 'bytes a second to keep'),
        map(_size_row, _LINE_COUNTS),
    )


if __name__ == '__main__':
    main()
