"""What each way of running a call at most once refuses under each fault.

Run ``python -m bench.run_once``.
"""

from collections import Counter
from random import Random
from sys import stdout
from time import process_time
from types import MappingProxyType
from typing import Final

import orjson

from bench.run_once._callers import CallerKind
from bench.run_once._faults import FAULTS, World
from bench.run_once._machine import NodeFactory
from bench.run_once._people import Crowd
from bench.run_once._timed import TimedFleet
from bench.run_once._ways import FixedHome, StampOnly, Unprotected
from lovageshunt.calls import HomeStamp, Outcome
from lovageshunt.idempotency import (
    AttemptReceived,
    Claim,
    InquiryAnswer,
    InquiryAnswered,
    InquiryReceived,
    RunOnce,
    RunOnceSettings,
)

_Way = type[RunOnce]

_RATE: Final = 100.0
_FAULT_SECONDS: Final = 20.0
_RUN_SECONDS: Final = 60.0
_SEED: Final = 7
_SIZES: Final = (3, 31)
_MANY: Final = 500
_MICRO: Final = 1_000_000


def _factory(way: _Way) -> NodeFactory:
    def make(home: HomeStamp, started_at: float) -> RunOnce:
        return way(
            node=home.node,
            incarnation=home.incarnation,
            service='payments',
            started_at=started_at,
            settings=RunOnceSettings(),
        )

    return make


_WAYS: Final = MappingProxyType(
    {
        'unprotected': Unprotected,
        'stamp only': StampOnly,
        'stamp, inquiry': RunOnce,
        'fixed home': FixedHome,
    }
)


def _row(way: _Way, fault: str) -> str:
    random = Random(_SEED)
    fleet = TimedFleet(_factory(way), random)
    world = World(fleet, 3)
    fleet.run_until(fleet.now + 30)
    crowd = Crowd(world, random, _RATE)
    fleet.after(_FAULT_SECONDS, lambda: FAULTS[fault](world))
    fleet.run_until(fleet.now + _RUN_SECONDS)
    bought = [
        purchase
        for purchase in crowd.by_key.values()
        if purchase.caller.born_at < fleet.now - 10
    ]
    ends = Counter(
        (purchase.caller.kind, purchase.outcome) for purchase in bought
    )
    cells = [
        ends[(kind, outcome)]
        for kind in CallerKind
        if kind is not CallerKind.HOP
        for outcome in (Outcome.UNKNOWN, Outcome.NOT_RUN)
    ]
    failed = sum(purchase.outcome is Outcome.FAILED for purchase in bought)
    doubled = sum(
        fleet.executions[purchase.caller.key] > 1 for purchase in bought
    )
    wronged = sum(
        purchase.caller.breaks_at_most_once(
            fleet.executions[purchase.caller.key]
        )
        for purchase in bought
    )
    shown = ''.join(f'{cell:8d}' for cell in cells)
    return f'{len(bought):8d}{shown}{failed:8d}{doubled:8d}{wronged:8d}'


def _print_faults() -> None:
    _print(f'{_RATE:.0f} purchases/s over 3 nodes, seed {_SEED}, one fault;')
    _print('told unknown / not run in the end, by kind of caller')
    _print(
        'way            fault              bought  library         numbered'
        '        unnumbered      failed doubled wronged',
    )
    for name, way in _WAYS.items():
        for fault in FAULTS:
            _print(f'{name:15}{fault:17}{_row(way, fault)}')


def _inquiry_cost(size: int) -> str:
    """Return messages, bytes and processor time of one inquiry."""
    homes = tuple(
        HomeStamp(node=f'n{at:04d}', incarnation=f'{at:016x}')
        for at in range(size)
    )
    asker, *peers = [_factory(RunOnce)(home, 0) for home in homes]
    promise = InquiryAnswer(claim=Claim.WILL_NOT_RUN, answerer=homes[1])
    sent = 0
    began = process_time()
    for at in range(_MANY):
        requested = AttemptReceived(
            call_id=str(at),
            key=str(at),
            attempt=2,
            deadline=2000,
            age_ms=100,
            peers=homes[1:],
        )
        asker.handle(requested, 1000)
        for peer in homes[1:]:
            promise.answerer = peer
            answered = InquiryAnswered(
                key=str(at),
                peer=peer,
                number=at + 1,
                answer=promise,
            )
            sent += len(asker.handle(answered, 1000))
    asking = (process_time() - began) / _MANY
    question = InquiryReceived(
        key='0' * 32,
        asker=homes[0],
        age_ms=100,
        number=1,
        digest=0,
        peers=homes[1:],
    )
    began = process_time()
    for at in range(_MANY):
        question.key = str(at)
        peers[0].handle(question, 1000)
    answering = (process_time() - began) / _MANY
    size_bytes = len(orjson.dumps(question.key)) + _wire_bytes(promise)
    return (
        f'{size:5d}{2 * (size - 1):10d}{size_bytes * (size - 1):10d}'
        f'{asking * _MICRO:12.0f}{answering * _MICRO:12.0f}'
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
    for size in _SIZES:
        _print(_inquiry_cost(size))


def _print(line: str) -> None:
    stdout.write(f'{line}\n')


if __name__ == '__main__':
    _print_faults()
    _print_inquiries()
