"""Measure the CPU cost of the decisions for one call, without I/O.

``python -m bench.decisions`` prints microseconds per call: the gate for a
repeatable call and for one that runs at most once, the choice among 31
targets, the verdict on a retry, and the context header. It shows the minimum
of several rounds, because other load on the machine only adds time.
"""

import sys
import time
from collections.abc import Callable
from random import Random

from lovageshunt.admission import Admission, AdmissionSettings, CallerThresholds
from lovageshunt.calls import (
    CallContext,
    HomeNode,
    LoadReport,
    Outcome,
    RefusalReason,
    decode_context,
    encode_context,
)
from lovageshunt.idempotency import (
    Ending,
    RunOnce,
    RunOnceSettings,
    Settled,
    StoredAnswer,
)
from lovageshunt.node import Gate
from lovageshunt.node.gate._messages import CallArrived, CallEnded
from lovageshunt.retries import (
    AllowancePool,
    AttemptFailure,
    Quarantine,
    QuarantineSettings,
    RetryBudget,
    RetryBudgetSettings,
    decide_retry,
)
from lovageshunt.routing import RouteMember, Router

_CALL_COUNT = 3000
_ROUNDS = 7
_MEMBER_COUNT = 31
_US_PER_SECOND = 1_000_000
_SERVICE_SECONDS = 0.02
_HOME = HomeNode(node='n1', incarnation='a')
_PEERS = tuple(
    HomeNode(node=f'n{number}', incarnation='a')
    for number in range(2, _MEMBER_COUNT + 1)
)


def _gate() -> Gate:
    gate = Gate(
        admission=Admission(AdmissionSettings(slots=160), 0),
        run_once=RunOnce(
            node=_HOME.node,
            incarnation=_HOME.incarnation,
            service='payments',
            started_at=0,
            settings=RunOnceSettings(max_entries=100_000, settle_seconds=0),
        ),
        quarantine=Quarantine(QuarantineSettings()),
    )
    gate.handle(Settled(), 0)
    return gate


def _context(ticket: str) -> CallContext:
    return CallContext(
        request_id=ticket,
        call_id=ticket,
        importance=3,
        rank=77,
        timeout_ms=1000,
        retries_left=2,
        kind='balance',
    )


def _gate_step(*, is_repeatable: bool) -> Callable[[], None]:
    gate = _gate()
    ending = Ending(
        outcome=Outcome.ANSWERED,
        answer=StoredAnswer(status=200, headers=(), body=b'x' * 200),
    )

    def run() -> None:
        for number in range(_CALL_COUNT):
            now = 100 + time.perf_counter()
            ticket = f'{now}-{number}'
            gate.handle(
                CallArrived(
                    ticket=ticket,
                    context=_context(ticket),
                    is_repeatable=is_repeatable,
                    fingerprint=ticket,
                    deadline=now + 1,
                    peers=_PEERS,
                ),
                now,
            )
            gate.handle(
                CallEnded(ticket=ticket, ending=ending, is_complete=True),
                now + _SERVICE_SECONDS,
            )

    return run


def _routing_step() -> Callable[[], None]:
    router = Router(
        service='payments',
        own_failure_domain='a',
        own_region='one',
        rng=Random(1),
    )
    router.set_members(
        [
            RouteMember(
                node=f'n{number}',
                service='payments',
                failure_domain='abcd'[number % 4],
                region='one',
                address=f'127.0.0.1:{number}',
                incarnation='a',
            )
            for number in range(_MEMBER_COUNT)
        ],
        0,
    )
    load = LoadReport(running=3, waiting=0, limit=160, service_ms=20)

    def run() -> None:
        for number in range(_CALL_COUNT):
            now = 1 + number / 1000
            member = router.choose(now)
            if member is None:
                raise RuntimeError(
                    'expected a member from a router that has members, got None'
                )
            router.started(member.node, now)
            router.answered(
                member.node,
                now,
                seconds=_SERVICE_SECONDS,
                outcome=Outcome.ANSWERED,
                load=load,
            )

    return run


def _run_retry_decisions() -> None:
    budget = RetryBudget(RetryBudgetSettings(), 0)
    rng = Random(1)
    thresholds = CallerThresholds()
    for number in range(_CALL_COUNT):
        now = number / 1000
        thresholds.verdict('records', 200_000, now)
        budget.succeeded(now)
        decide_retry(
            AttemptFailure(
                outcome=Outcome.FAILED,
                reason=RefusalReason.CONNECTION_LOST,
            ),
            now=now,
            deadline=now + 1,
            is_repeatable=True,
            pool=AllowancePool(2),
            budget=budget,
            typical_seconds=_SERVICE_SECONDS,
            random=rng,
        )


def _run_context_codec() -> None:
    context = _context('0123456789abcdef0123456789abcdef')
    for _ in range(_CALL_COUNT):
        decode_context(encode_context(context))


def _min_microseconds(run: Callable[[], None]) -> float:
    times = []
    for _ in range(_ROUNDS):
        began = time.perf_counter()
        run()
        times.append(time.perf_counter() - began)
    return min(times) / _CALL_COUNT * _US_PER_SECOND


def main() -> None:
    """Print the minimum time per call of each decision."""
    rows = (
        ('gate, may repeat', _gate_step(is_repeatable=True)),
        ('gate, runs at most once, 30 peers', _gate_step(is_repeatable=False)),
        (f'choice among {_MEMBER_COUNT} targets', _routing_step()),
        ('threshold, budget and retry verdict', _run_retry_decisions),
        ('context header, there and back', _run_context_codec),
    )
    for name, run in rows:
        sys.stdout.write(f'{name:38}{_min_microseconds(run):8.1f} us\n')


if __name__ == '__main__':
    main()
