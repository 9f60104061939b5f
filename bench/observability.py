"""Cost per call of the account, spans, metrics and logs.

Run ``python -m bench.observability``. The first table has the median of
several rounds, in microseconds. The second has the size of an encoded account
in bytes, as one message for all lines and as one message per line, and the
bytes per second that replicating it takes.
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
_LINE_COUNT: Final = 30
_LINE_COUNTS: Final = (3, 16, 30, 90)
_MAX_CALLS_PER_LINE: Final = 1000
_OUTCOMES: Final = (*Outcome, *repeat(Outcome.ANSWERED, 10))
_REASONS: Final = tuple(RefusalReason)[:6]
_PARENT: Final = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-'
_CALL: Final = ('balances', 'view_balance', 1)

Operation = Callable[[], object]


def median_microseconds(
    operation: Operation, calls: int = _CALLS_PER_ROUND
) -> float:
    """Return the median over the rounds of the mean time of one call."""
    return median(_mean_microseconds(operation, calls) for _ in range(_ROUNDS))


def _mean_microseconds(operation: Operation, calls: int) -> float:
    started = time.perf_counter()
    for _ in range(calls):
        operation()
    return (time.perf_counter() - started) / calls * _US_PER_SECOND


def _start_and_end_span(traces: Traces, trace_parent: str) -> None:
    span = traces.start(
        'ingress',
        trace_parent=trace_parent,
        request_id='r-1',
        service='balances',
    )
    traces.end(span, Outcome.ANSWERED)


def _span_operation(flags: str) -> Operation:
    traces = Traces(node='n1', sampling_ratio=1, slow_seconds=1)
    return partial(_start_and_end_span, traces, f'{_PARENT}{flags}')


def _count_call(account: Account) -> None:
    account.arrived(*_CALL)
    account.ended(*_CALL, Outcome.ANSWERED, ran=True)


def _log_operation(records_per_second: int) -> Operation:
    configure_logs('INFO', records_per_second, io.StringIO())
    logger = logging.getLogger('bench')
    return lambda: logger.info('refused', extra={'reason': 'overload'})


def _make_account(line_count: int) -> Account:
    """Return an account as after a busy day: random counts on every line."""
    rng = Random(line_count)
    account = Account('balances-12', 'life-1', 0)
    for number in range(line_count):
        call = ('balances', f'kind_{number}', 1)
        for _ in range(rng.randrange(_MAX_CALLS_PER_LINE)):
            account.arrived(*call)
            outcome = rng.choice(_OUTCOMES)
            reason = None
            if outcome is not Outcome.ANSWERED:
                reason = rng.choice(_REASONS)
            account.ended(*call, outcome, reason)
    return account


def _size_row(line_count: int) -> tuple[str, ...]:
    snapshot = _make_account(line_count).snapshot(1)
    combined_bytes = len(encode_snapshot(snapshot))
    lines = snapshot.lines
    separate_bytes = 0
    for line in lines:
        snapshot.lines = [line]
        separate_bytes += len(encode_snapshot(snapshot))
    bytes_per_second = min(
        combined_bytes * REPLICA_COUNT / SNAPSHOT_INTERVAL_SECONDS,
        MAX_SNAPSHOT_BYTES_PER_SECOND,
    )
    return (
        str(line_count),
        str(combined_bytes),
        str(separate_bytes),
        f'{bytes_per_second:.0f}',
    )


def _per_call_rows() -> list[tuple[str, float]]:
    metrics = Metrics('n1')
    series = metrics.series('lovageshunt_pauses_total')
    buckets = metrics.buckets('lovageshunt_queue_seconds', 'balances')
    library_counter = Counter('trial_total', 'trial', registry=Registry())
    labels = {'service': 'balances', 'kind': 'view_balance'}
    return [
        (
            'account, arrival and end',
            median_microseconds(partial(_count_call, Account('n1', 'a', 0))),
        ),
        ('span, not sampled', median_microseconds(_span_operation('00'))),
        ('span, sampled and kept', median_microseconds(_span_operation('01'))),
        (
            'metric, cell',
            median_microseconds(lambda: setattr(series, 'value', 1)),
        ),
        ('metric, buckets', median_microseconds(lambda: buckets.observe(0.01))),
        (
            'metric, the library itself',
            median_microseconds(lambda: library_counter.inc(labels)),
        ),
        ('log line, held back', median_microseconds(_log_operation(1))),
        ('log line, written', median_microseconds(_log_operation(10**9))),
    ]


def _periodic_rows() -> list[tuple[str, float]]:
    metrics = Metrics('n1')
    snapshot = _make_account(_LINE_COUNT).snapshot(1)
    encoded = encode_snapshot(snapshot)
    metrics.export_account(snapshot)
    return [
        (
            f'scrape of {_LINE_COUNT} lines',
            median_microseconds(metrics.render, calls=20),
        ),
        (
            f'snapshot of {_LINE_COUNT} lines, encoded',
            median_microseconds(lambda: encode_snapshot(snapshot), calls=50),
        ),
        (
            f'snapshot of {_LINE_COUNT} lines, decoded',
            median_microseconds(lambda: decode_snapshot(encoded), calls=50),
        ),
    ]


def main() -> None:
    """Print both tables."""
    measured = [*_per_call_rows(), *_periodic_rows()]
    rows = [(operation, f'{cost:.2f}') for operation, cost in measured]
    write_table(('step', 'microseconds'), rows)
    write_line('')
    write_table(
        ('lines', 'bytes together', 'bytes apart', 'bytes a second to keep'),
        map(_size_row, _LINE_COUNTS),
    )


if __name__ == '__main__':
    main()
