"""Election of the nodes that read the platform, without coordination."""

from collections.abc import Iterable
from itertools import islice
from random import Random
from typing import Final

from lovageshunt._dispatch import DispatchedMethod
from lovageshunt._record import Record
from lovageshunt.membership._actions import ReadVmList
from lovageshunt.membership._events import (
    BulletinReceived,
    DigestReceived,
    PauseEnded,
    PeerAnnounced,
    PeerAnswered,
    PeerSilent,
    VmListReadFailed,
    VmListReceived,
)
from lovageshunt.membership._platform_answer import (
    AGE_UNKNOWN,
    LastPlatformAnswer,
)
from lovageshunt.membership._ranking import ranked
from lovageshunt.membership._vms import VmState

_MS_PER_SECOND: Final = 1000
#: Candidates kept in addition to the readers, to replace silent ones.
_MAX_SPARE_CANDIDATES: Final = 16


class ElectionSettings(Record):
    """When a node reads the platform.

    ``readers_per_failure_domain``: how many nodes watch the platform.
    ``max_answer_age_seconds``: any other node reads the platform itself when
    the last known answer is older than this, after a random delay of up to
    ``fallback_jitter_seconds``.
    ``start_jitter_seconds``: maximum random delay of the first read.
    ``min_retry_delay_seconds``, ``max_retry_delay_seconds``: bounds of the
    delay after a failed read; it doubles with each failure and is jittered.
    ``min_read_interval_seconds``: minimum time between two reads.
    """

    __slots__ = (
        'readers_per_failure_domain',
        'max_answer_age_seconds',
        'fallback_jitter_seconds',
        'start_jitter_seconds',
        'min_retry_delay_seconds',
        'max_retry_delay_seconds',
        'min_read_interval_seconds',
    )

    def __init__(
        self,
        *,
        readers_per_failure_domain: int = 3,
        max_answer_age_seconds: float = 60,
        fallback_jitter_seconds: float = 60,
        start_jitter_seconds: float = 4,
        min_retry_delay_seconds: float = 1,
        max_retry_delay_seconds: float = 60,
        min_read_interval_seconds: float = 1,
    ) -> None:
        self.readers_per_failure_domain = readers_per_failure_domain
        self.max_answer_age_seconds = max_answer_age_seconds
        self.fallback_jitter_seconds = fallback_jitter_seconds
        self.start_jitter_seconds = start_jitter_seconds
        self.min_retry_delay_seconds = min_retry_delay_seconds
        self.max_retry_delay_seconds = max_retry_delay_seconds
        self.min_read_interval_seconds = min_read_interval_seconds


class ReaderElection:
    """Decides when this node reads or watches the platform.

    The readers of a failure domain are the listed nodes whose names have the
    highest hashes, except those that are silent or leaving. Each node computes
    this from its own view, so no coordination is needed.
    """

    __slots__ = (
        '_own_name',
        '_own_failure_domain',
        '_rng',
        '_settings',
        '_candidates',
        '_silent',
        '_last_answer',
        '_is_reading',
        '_next_read_at',
        '_failure_count',
        '_fallback_read_at',
        '_has_read',
    )

    def __init__(
        self,
        own_name: str,
        own_failure_domain: str,
        rng: Random,
        *,
        now: float,
        settings: ElectionSettings | None = None,
    ) -> None:
        settings = settings or ElectionSettings()
        self._own_name = own_name
        self._own_failure_domain = own_failure_domain
        self._rng = rng
        self._settings = settings
        self._candidates: list[str] = [own_name]
        self._silent: set[str] = set()
        self._last_answer = LastPlatformAnswer()
        self._is_reading = False
        self._has_read = False
        self._next_read_at = now + rng.random() * settings.start_jitter_seconds
        self._failure_count = 0
        self._fallback_read_at: float | None = None

    def platform_answer_age_seconds(self, now: float) -> float:
        """Return the age of the last platform answer to any known reader.

        Negative if no answer is known.
        """
        age_ms = self._last_answer.age_ms(now)
        return -1 if age_ms == AGE_UNKNOWN else age_ms / _MS_PER_SECOND

    @property
    def readers(self) -> list[str]:
        """Names of the readers in the own failure domain, as seen here."""
        count = self._settings.readers_per_failure_domain
        present = (
            name for name in self._candidates if name not in self._silent
        )
        return list(islice(present, count))

    @property
    def is_elected(self) -> bool:
        """Whether this node is one of the readers, as seen here."""
        return self._own_name in self.readers

    def handle(self, event: Record, now: float) -> list[Record]:
        """Apply an event; return a read of the VM list if one is due."""
        self._apply(event, now)
        if self._is_reading or now < self._next_read_at:
            return []
        if not self._should_read(now):
            return []
        self._is_reading = True
        return [ReadVmList(is_watch=self._has_read and self.is_elected)]

    @DispatchedMethod
    def _apply(self, event: Record, now: float) -> None:
        """Ignore events that do not affect the election."""

    @_apply.register
    def _on_list_read(self, event: VmListReceived, now: float) -> None:
        self._is_reading = False
        self._has_read = True
        self._failure_count = 0
        self._next_read_at = now + self._settings.min_read_interval_seconds
        self._last_answer.record(now)
        self._fallback_read_at = None
        listed = (
            vm.name
            for vm in event.vm_list.vms
            if vm.failure_domain == self._own_failure_domain
            and vm.state is VmState.LIVE
        )
        self._candidates = self._ranked(listed)
        self._silent.intersection_update(self._candidates)

    @_apply.register
    def _on_read_failed(self, event: VmListReadFailed, now: float) -> None:
        self._is_reading = False
        delay = min(
            self._settings.min_retry_delay_seconds * 2**self._failure_count,
            self._settings.max_retry_delay_seconds,
        )
        self._failure_count += 1
        self._next_read_at = now + delay * self._rng.uniform(0.5, 1.5)

    @_apply.register
    def _on_bulletin(self, event: BulletinReceived, now: float) -> None:
        if self._last_answer.record_age(event.bulletin.news_age_ms, now):
            self._fallback_read_at = None
        for announcement in event.bulletin.announcements:
            self._on_announced(PeerAnnounced(announcement), now)

    @_apply.register
    def _on_digest(self, event: DigestReceived, now: float) -> None:
        if self._last_answer.record_age(event.digest.news_age_ms, now):
            self._fallback_read_at = None

    @_apply.register
    def _on_announced(self, event: PeerAnnounced, now: float) -> None:
        announcement = event.announcement
        if announcement.failure_domain != self._own_failure_domain:
            return
        others = [
            name for name in self._candidates if name != announcement.name
        ]
        if not announcement.is_leaving:
            others.append(announcement.name)
        self._silent.discard(announcement.name)
        self._candidates = self._ranked(others)

    @_apply.register
    def _on_silent(self, event: PeerSilent, now: float) -> None:
        if event.name in self._candidates:
            self._silent.add(event.name)

    @_apply.register
    def _on_answered(self, event: PeerAnswered, now: float) -> None:
        self._silent.discard(event.name)

    @_apply.register
    def _on_pause(self, event: PauseEnded, now: float) -> None:
        self._silent.clear()
        self._is_reading = False
        self._has_read = False
        self._next_read_at = (
            now + self._rng.random() * self._settings.start_jitter_seconds
        )

    def _should_read(self, now: float) -> bool:
        if not self._has_read or self.is_elected:
            return True
        age_ms = self._last_answer.age_ms(now)
        if age_ms < self._settings.max_answer_age_seconds * _MS_PER_SECOND:
            return False
        if self._fallback_read_at is None:
            jitter = self._rng.random() * self._settings.fallback_jitter_seconds
            self._fallback_read_at = now + jitter
        return now >= self._fallback_read_at

    def _ranked(self, names: Iterable[str]) -> list[str]:
        max_candidates = (
            self._settings.readers_per_failure_domain + _MAX_SPARE_CANDIDATES
        )
        return ranked([*names, self._own_name])[:max_candidates]
