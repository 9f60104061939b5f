"""The main loop of a node: timer, peer messages and graceful shutdown."""

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
from lovageshunt.node.control._settler import SettlingController
from lovageshunt.node.gate._gate import Gate
from lovageshunt.node.gate._messages import GateTicked, LeaveBegun
from lovageshunt.node.serving._background import BackgroundJobs
from lovageshunt.node.serving._calls import Calls
from lovageshunt.node.serving._target import TargetLink
from lovageshunt.observability import MetricSeries
from lovageshunt.retries import PeerReported

#: Interval of the main loop.
TICK_SECONDS: Final = 0.1
#: A tick later than this means that the process was paused.
PAUSE_SLACK_SECONDS: Final = 1.0
_LOAD_INTERVAL_SECONDS: Final = 1.0
_CONTROL_INTERVAL_SECONDS: Final = 0.5
_ACCOUNTS_INTERVAL_SECONDS: Final = 1.0
_log = getLogger(__name__)


class Runtime:
    """Runs the main loop, handles peer messages and drains on shutdown.

    ``pauses`` counts detected pauses of the process. On shutdown the node
    stays up for at least ``leave_seconds``, and for up to ``drain_seconds``
    while calls are in progress.
    """

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
        pauses: MetricSeries,
        settler: SettlingController,
        life: NodeLife,
        leave_seconds: float,
        drain_seconds: float,
    ) -> None:
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
        self._checked_at = now()
        self._next_load_at = now()
        self._next_control_at = now()
        self._next_accounts_at = now()
        self._leaving = Event()
        self._background_jobs = BackgroundJobs()
        self._drain_deadline: float | None = None
        control.fleet.leave = self.begin_leave

    @property
    def state(self) -> str:
        """Return the current state in the node's lifecycle chart."""
        return self._life.state

    @property
    def is_leaving(self) -> bool:
        """Return whether a graceful shutdown has started."""
        return self._life.is_leaving

    @property
    def is_serving(self) -> bool:
        """Return whether the node accepts calls of every kind."""
        return self._life.is_serving

    @property
    def drain_seconds_left(self) -> float:
        """Return the rest of the drain period; 0 unless draining."""
        if self._drain_deadline is None:
            return 0
        return max(0, self._drain_deadline - now())

    def check_for_pause(self) -> None:
        """Detect a pause of the process before the next decision is made.

        After a pause, timers and the view of the peers may be stale.
        """
        at = now()
        gap = at - self._checked_at
        self._checked_at = at
        if self._epochs.observe(at):
            self._pauses.value += 1
            _log.warning(
                'process was paused for %.1f s; re-evaluating calls and peers',
                gap,
            )
            self._calls.handle(Resumed(gap_seconds=gap))
            self._control.handle_event(PauseEnded())
            self._settler.restart()

    def handle(self, event: Record) -> None:
        """Handle an event that concerns a single call."""
        self.check_for_pause()
        self._calls.handle(event)

    def handle_envelope(self, envelope: Envelope) -> None:
        """Handle an envelope of control messages from a peer."""
        self.check_for_pause()
        self._control.receive_envelope(envelope)
        for raw in envelope.snapshots:
            self.keep_account(raw)
        if envelope.suspects:
            reported = PeerReported(reports=tuple(envelope.suspects))
            self._calls.handle(reported)

    def keep_account(self, raw: bytes) -> None:
        """Store an account snapshot; raises ``MalformedSnapshotError``."""
        snapshot = decode_snapshot(raw)
        self._keeping.handle(SnapshotReceived(now=now(), snapshot=snapshot))

    async def answer_inquiry(self, question: InquiryReceived) -> InquiryAnswer:
        """Answer a peer's inquiry about a call; raises ``TimeoutError``."""
        peers = self._control.fleet.peers
        question.peers = peers.peers or ()
        question.gone = peers.gone(now())
        answer = self._inquiries.expect_answer(
            question.key,
            question.asker,
            question.number,
        )
        self.handle(question)
        return await wait_for_answer(answer)

    def begin_leave(self) -> None:
        """Start a graceful shutdown: refuse new calls, finish those running."""
        if not self._life.step('leave'):
            return
        _log.info(
            'graceful shutdown: refusing new calls, finishing %d in progress',
            self._calls_in_progress,
        )
        self._calls.handle(LeaveBegun())
        self._control.begin_leave()
        self._leaving.set()

    async def run(self) -> None:
        """Run the main loop until a graceful shutdown completes."""
        self._life.step('settle')
        while not self._leaving.is_set():
            await self._tick()
        self._background_jobs.cancel()
        await self._leave()
        self._life.step('stop')

    async def _tick(self) -> None:
        self.check_for_pause()
        self._calls.handle(GateTicked())
        self._tick_control()
        if self._has_peer_list:
            self._background_jobs.start('settle', self._settler.advance)
        if now() >= self._next_load_at:
            self._next_load_at = now() + _LOAD_INTERVAL_SECONDS
            self._background_jobs.start('load', self._read_load)
        self._send_accounts()
        await sleep(TICK_SECONDS)

    @property
    def _has_peer_list(self) -> bool:
        return self._control.fleet.peers.peers is not None

    def _tick_control(self) -> None:
        # Runs less often than the main loop, because it delays calls.
        if now() < self._next_control_at:
            return
        self._next_control_at = now() + _CONTROL_INTERVAL_SECONDS
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
        if now() < self._next_accounts_at:
            return
        self._next_accounts_at = now() + _ACCOUNTS_INTERVAL_SECONDS
        tick = ReplicationTick(
            now=now(),
            wall_time=time(),
            peers=self._control.account_peers(),
        )
        self._control.send_snapshots(self._keeping.handle(tick))

    @property
    def _calls_in_progress(self) -> int:
        return self._gate.in_progress

    async def _leave(self) -> None:
        left_at = now()
        self._drain_deadline = left_at + self._drain_seconds
        while self._must_keep_running(now() - left_at):
            await self._tick_while_leaving()
        self._calls.handle(Drained())
        closed = AccountClosed(
            now=now(),
            wall_time=time(),
            peers=self._control.account_peers(),
        )
        self._control.send_snapshots(self._keeping.handle(closed))
        await self._inquiries.flush()
        await self._control.drain()

    async def _tick_while_leaving(self) -> None:
        self.check_for_pause()
        self._calls.handle(GateTicked())
        self._tick_control()
        await sleep(TICK_SECONDS)

    def _must_keep_running(self, seconds: float) -> bool:
        if seconds < self._leave_seconds:
            return True
        return self._calls_in_progress > 0 and seconds < self._drain_seconds
