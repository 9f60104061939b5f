"""One node while it runs: its timer, its peers and its planned stop."""

from asyncio import Event, sleep
from logging import getLogger
from time import time
from typing import Final

from lovageshunt._record import Record
from lovageshunt.account import (
    AccountClosed,
    AccountReplicator,
    ReplicationTick,
    SnapshotReceived,
    decode_snapshot,
)
from lovageshunt.admission import LoadReported
from lovageshunt.clock import now
from lovageshunt.idempotency import (
    Drained,
    InquiryAnswer,
    InquiryReceived,
    Resumed,
)
from lovageshunt.membership import EpochClock, PauseEnded
from lovageshunt.node.control._control import Control
from lovageshunt.node.control._envelope import Envelope
from lovageshunt.node.control._identity import Identity
from lovageshunt.node.control._inquiries import Inquiries, wait_for_answer
from lovageshunt.node.control._life import NodeLife
from lovageshunt.node.control._settler import Settler
from lovageshunt.node.gate._gate import Gate
from lovageshunt.node.gate._messages import LeaveBegun, TimePassed
from lovageshunt.node.serving._calls import Calls
from lovageshunt.node.serving._errands import Errands
from lovageshunt.node.serving._target import TargetLink
from lovageshunt.observability import Cell
from lovageshunt.retries import PeerReported

#: The timer turns this often.
TICK_SECONDS: Final = 0.1
#: A turn that is later than this was a pause.
PAUSE_SLACK_SECONDS: Final = 1.0
_LOAD_SECONDS: Final = 1.0
_CONTROL_SECONDS: Final = 0.5
_ACCOUNTS_SECONDS: Final = 1.0
_log = getLogger(__name__)


class Runtime:
    """Turns the timer, takes what peers send, and leaves in order."""

    def __init__(
        self,
        *,
        identity: Identity,
        control: Control,
        gate: Gate,
        calls: Calls,
        inquiries: Inquiries,
        target: TargetLink,
        keeping: AccountReplicator,
        pauses: Cell,
        settler: Settler,
        life: NodeLife,
        leave_seconds: float,
        drain_seconds: float,
    ) -> None:
        """Take the parts; ``pauses`` counts pauses, ``run`` starts all."""
        self.identity = identity
        self._control = control
        self._gate = gate
        self._calls = calls
        self._inquiries = inquiries
        self._target = target
        self._keeping = keeping
        self._pauses = pauses
        self._settler = settler
        self._life = life
        self._leave_seconds = leave_seconds
        self._drain_seconds = drain_seconds
        self._epochs = EpochClock(
            now(),
            tick_seconds=TICK_SECONDS,
            slack_seconds=PAUSE_SLACK_SECONDS,
        )
        self._seen_at = now()
        self._load_at = now()
        self._control_at = now()
        self._accounts_at = now()
        self._leaving = Event()
        self._errands = Errands()
        self._drained_by: float | None = None
        control.fleet.leave = self.begin_leave

    @property
    def state(self) -> str:
        """Return the node's state by its chart."""
        return self._life.state

    @property
    def is_leaving(self) -> bool:
        """Return whether a planned stop has begun."""
        return self._life.is_leaving

    @property
    def is_serving(self) -> bool:
        """Return whether the node takes calls of every kind."""
        return self._life.is_serving

    @property
    def drain_seconds_left(self) -> float:
        """Return how long a planned stop may still wait for answers."""
        if self._drained_by is None:
            return 0
        return max(0, self._drained_by - now())

    def observe(self) -> None:
        """Notice a pause before the next decision is made."""
        at = now()
        gap = at - self._seen_at
        self._seen_at = at
        if self._epochs.observe(at):
            self._pauses.value += 1
            _log.warning('the process was paused for %.1f s', gap)
            self._calls.handle(Resumed(gap_seconds=gap))
            self._control.tell(PauseEnded())
            self._settler.restart()

    def handle(self, event: Record) -> None:
        """Take an event about single calls."""
        self.observe()
        self._calls.handle(event)

    def take(self, envelope: Envelope) -> None:
        """Take what a peer sent."""
        self.observe()
        self._control.take(envelope)
        for raw in envelope.snapshots:
            self.keep_account(raw)
        if envelope.suspects:
            reported = PeerReported(reports=tuple(envelope.suspects))
            self._calls.handle(reported)

    def keep_account(self, raw: bytes) -> None:
        """Keep an account; raises ``MalformedSnapshotError``."""
        snapshot = decode_snapshot(raw)
        self._keeping.handle(SnapshotReceived(now=now(), snapshot=snapshot))

    async def inquired(self, question: InquiryReceived) -> InquiryAnswer:
        """Return the answer to a peer's question about a call."""
        peers = self._control.fleet.peers
        question.peers = peers.peers or ()
        question.gone = peers.gone(now())
        answer = self._inquiries.expect(
            question.key,
            question.asker,
            question.number,
        )
        self.handle(question)
        return await wait_for_answer(answer)

    def begin_leave(self) -> None:
        """Begin a planned stop; nothing in progress is cut off."""
        if not self._life.step('leave'):
            return
        _log.info('leaving: new calls are refused, %d go on', self._in_progress)
        self._calls.handle(LeaveBegun())
        self._control.begin_leave()
        self._leaving.set()

    async def run(self) -> None:
        """Turn the timer until a planned stop is over."""
        self._life.step('settle')
        while not self._leaving.is_set():
            await self._turn()
        self._errands.cancel()
        await self._leave()
        self._life.step('stop')

    async def _turn(self) -> None:
        self.observe()
        self._calls.handle(TimePassed())
        self._tick_control()
        if self._has_list:
            self._errands.begin('settle', self._settler.turn)
        if now() >= self._load_at:
            self._load_at = now() + _LOAD_SECONDS
            self._errands.begin('load', self._read_load)
        self._send_accounts()
        await sleep(TICK_SECONDS)

    @property
    def _has_list(self) -> bool:
        return self._control.fleet.peers.peers is not None

    def _tick_control(self) -> None:
        # Less often than calls need it: each turn costs the calls beside it.
        if now() < self._control_at:
            return
        self._control_at = now() + _CONTROL_SECONDS
        self._control.tick()

    async def _read_load(self) -> None:
        load = await self._target.load()
        if load.is_ok():
            reported = LoadReported(
                running=load.ok.running,
                slots=load.ok.slots,
            )
            self._calls.handle(reported)

    def _send_accounts(self) -> None:
        if now() < self._accounts_at:
            return
        self._accounts_at = now() + _ACCOUNTS_SECONDS
        tick = ReplicationTick(
            now=now(),
            wall_time=time(),
            peers=self._control.keeping_peers(),
        )
        self._control.send_snapshots(self._keeping.handle(tick))

    @property
    def _in_progress(self) -> int:
        return self._gate.in_progress

    async def _leave(self) -> None:
        left_at = now()
        self._drained_by = left_at + self._drain_seconds
        while self._must_stay(now() - left_at):
            await self._leaving_turn()
        self._calls.handle(Drained())
        closed = AccountClosed(
            now=now(),
            wall_time=time(),
            peers=self._control.keeping_peers(),
        )
        self._control.send_snapshots(self._keeping.handle(closed))
        await self._inquiries.flush()
        await self._control.drain()

    async def _leaving_turn(self) -> None:
        self.observe()
        self._calls.handle(TimePassed())
        self._tick_control()
        await sleep(TICK_SECONDS)

    def _must_stay(self, seconds: float) -> bool:
        if seconds < self._leave_seconds:
            return True
        return self._in_progress > 0 and seconds < self._drain_seconds
