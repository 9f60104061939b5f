"""Compare strategies for at-most-once execution under faults.

Run ``python -m bench.run_once``. It prints how many purchases each strategy
refuses or runs twice under each fault, and what an inquiry costs.
"""

from collections import Counter
from random import Random
from sys import stdout
from time import process_time
from types import MappingProxyType
from typing import Final

import orjson

from bench.run_once._callers import CallerKind
from bench.run_once._faults import FAULTS, Environment
from bench.run_once._machine import NodeFactory
from bench.run_once._purchases import PurchaseLoad
from bench.run_once._strategies import FixedHome, StampOnly, Unprotected
from bench.run_once._timed import TimedFleet
from lovageshunt.calls import HomeNode, Outcome
from lovageshunt.idempotency import (
    AttemptReceived,
    Claim,
    InquiryAnswer,
    InquiryAnswered,
    InquiryReceived,
    RunOnce,
    RunOnceSettings,
)

_Strategy = type[RunOnce]

_PURCHASES_PER_SECOND: Final = 100.0
_FAULT_DELAY_SECONDS: Final = 20.0
_RUN_SECONDS: Final = 60.0
_SEED: Final = 7
_FLEET_SIZES: Final = (3, 31)
_INQUIRY_COUNT: Final = 500
_US_PER_SECOND: Final = 1_000_000


def _factory(strategy: _Strategy) -> NodeFactory:
    def make(home: HomeNode, started_at: float) -> RunOnce:
        return strategy(
            node=home.node,
            incarnation=home.incarnation,
            service='payments',
            started_at=started_at,
            settings=RunOnceSettings(),
        )

    return make


_STRATEGIES: Final = MappingProxyType(
    {
        'unprotected': Unprotected,
        'stamp only': StampOnly,
        'stamp, inquiry': RunOnce,
        'fixed home': FixedHome,
    }
)


def _row(strategy: _Strategy, fault: str) -> str:
    random = Random(_SEED)
    fleet = TimedFleet(_factory(strategy), random)
    environment = Environment(fleet, 3)
    fleet.run_until(fleet.now + 30)
    load = PurchaseLoad(environment, random, _PURCHASES_PER_SECOND)
    fleet.schedule(_FAULT_DELAY_SECONDS, lambda: FAULTS[fault](environment))
    fleet.run_until(fleet.now + _RUN_SECONDS)
    purchases = [
        purchase
        for purchase in load.by_key.values()
        if purchase.caller.born_at < fleet.now - 10
    ]
    count_by_outcome = Counter(
        (purchase.caller.kind, purchase.outcome) for purchase in purchases
    )
    cells = [
        count_by_outcome[(kind, outcome)]
        for kind in CallerKind
        if kind is not CallerKind.HOP
        for outcome in (Outcome.UNKNOWN, Outcome.NOT_RUN)
    ]
    failed_count = sum(
        purchase.outcome is Outcome.FAILED for purchase in purchases
    )
    duplicate_count = sum(
        fleet.executions[purchase.caller.key] > 1 for purchase in purchases
    )
    violation_count = sum(
        purchase.caller.breaks_at_most_once(
            fleet.executions[purchase.caller.key]
        )
        for purchase in purchases
    )
    cell_text = ''.join(f'{cell:8d}' for cell in cells)
    return (
        f'{len(purchases):8d}{cell_text}{failed_count:8d}'
        f'{duplicate_count:8d}{violation_count:8d}'
    )


def _print_faults() -> None:
    _print(
        f'{_PURCHASES_PER_SECOND:.0f} purchases/s over 3 nodes, '
        f'seed {_SEED}, one fault;'
    )
    _print('told unknown / not run in the end, by kind of caller')
    _print(
        'way            fault              bought  library         numbered'
        '        unnumbered      failed doubled wronged',
    )
    for name, strategy in _STRATEGIES.items():
        for fault in FAULTS:
            _print(f'{name:15}{fault:17}{_row(strategy, fault)}')


def _inquiry_cost(size: int) -> str:
    """Return a table row: messages, bytes and CPU time of one inquiry."""
    homes = tuple(
        HomeNode(node=f'n{at:04d}', incarnation=f'{at:016x}')
        for at in range(size)
    )
    asker, *peers = [_factory(RunOnce)(home, 0) for home in homes]
    promise = InquiryAnswer(claim=Claim.WILL_NOT_RUN, answerer=homes[1])
    sent = 0
    started = process_time()
    for at in range(_INQUIRY_COUNT):
        attempt = AttemptReceived(
            call_id=str(at),
            key=str(at),
            attempt=2,
            deadline=2000,
            age_ms=100,
            peers=homes[1:],
        )
        asker.handle(attempt, 1000)
        for peer in homes[1:]:
            promise.answerer = peer
            answered = InquiryAnswered(
                key=str(at),
                peer=peer,
                number=at + 1,
                answer=promise,
            )
            sent += len(asker.handle(answered, 1000))
    asker_seconds = (process_time() - started) / _INQUIRY_COUNT
    question = InquiryReceived(
        key='0' * 32,
        asker=homes[0],
        age_ms=100,
        number=1,
        digest=0,
        peers=homes[1:],
    )
    started = process_time()
    for at in range(_INQUIRY_COUNT):
        question.key = str(at)
        peers[0].handle(question, 1000)
    peer_seconds = (process_time() - started) / _INQUIRY_COUNT
    size_bytes = len(orjson.dumps(question.key)) + _wire_bytes(promise)
    return (
        f'{size:5d}{2 * (size - 1):10d}{size_bytes * (size - 1):10d}'
        f'{asker_seconds * _US_PER_SECOND:12.0f}'
        f'{peer_seconds * _US_PER_SECOND:12.0f}'
    )


def _wire_bytes(answer: InquiryAnswer) -> int:
    question = {
        'key': '0' * 32,
        'asker': {'node': 'n0000', 'incarnation': '0' * 16},
        'age_ms': 1000,
        'number': 100000,
        'digest': 2**63,
    }
    answered = {**answer.as_dict(), 'answerer': answer.answerer.as_dict()}
    return len(orjson.dumps(question)) + len(orjson.dumps(answered))


def _print_inquiries() -> None:
    _print('')
    _print('cost of one inquiry: messages, JSON bytes without HTTP headers,')
    _print('processor microseconds at the asker and at each node asked')
    _print('nodes  messages     bytes       asker       asked')
    for size in _FLEET_SIZES:
        _print(_inquiry_cost(size))


def _print(line: str) -> None:
    stdout.write(f'{line}\n')


if __name__ == '__main__':
    _print_faults()
    _print_inquiries()
