"""Which nodes read the platform, without coordination."""

from collections.abc import Iterable
from functools import singledispatchmethod
from itertools import islice
from random import Random
from typing import Final

from xxhash import xxh3_64_intdigest

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
from lovageshunt.membership._news import AGE_UNKNOWN, PlatformNews
from lovageshunt.membership._vms import VmState

_MS_PER_SECOND: Final = 1000
#: How many candidates are kept beside the readers, to replace silent ones.
_SPARE_CANDIDATES: Final = 16


class ElectionSettings(Record):
    """Times in seconds.

    ``readers_per_failure_domain`` watch the platform. A node that heard no
    news for ``news_timeout`` reads it itself, after a random delay of up to
    ``volunteer_jitter``. The first read is delayed by up to ``start_jitter``
    and a failed one is repeated after a delay that doubles from
    ``first_retry_delay`` to ``longest_retry_delay``, each with jitter.
    ``watch_gap`` is the least time between two reads.
    """

    __slots__ = (
        'readers_per_failure_domain',
        'news_timeout',
        'volunteer_jitter',
        'start_jitter',
        'first_retry_delay',
        'longest_retry_delay',
        'watch_gap',
    )

    def __init__(
        self,
        *,
        readers_per_failure_domain: int = 3,
        news_timeout: float = 60,
        volunteer_jitter: float = 60,
        start_jitter: float = 4,
        first_retry_delay: float = 1,
        longest_retry_delay: float = 60,
        watch_gap: float = 1,
    ) -> None:
        """Take every setting by name."""
        self.readers_per_failure_domain = readers_per_failure_domain
        self.news_timeout = news_timeout
        self.volunteer_jitter = volunteer_jitter
        self.start_jitter = start_jitter
        self.first_retry_delay = first_retry_delay
        self.longest_retry_delay = longest_retry_delay
        self.watch_gap = watch_gap


class ReaderElection:
    """Decides when this node reads or watches the platform.

    The readers of a failure domain are the listed nodes whose names hash
    highest, without those that are silent or leaving. A node needs no word
    from the others to know whether it is one.
    """

    __slots__ = (
        '_own_name',
        '_own_failure_domain',
        '_rng',
        '_settings',
        '_candidates',
        '_silent',
        '_news',
        '_is_reading',
        '_read_at',
        '_failures',
        '_volunteer_at',
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
        """Read once at the start, after a random delay."""
        settings = settings or ElectionSettings()
        self._own_name = own_name
        self._own_failure_domain = own_failure_domain
        self._rng = rng
        self._settings = settings
        self._candidates: list[str] = [own_name]
        self._silent: set[str] = set()
        self._news = PlatformNews()
        self._is_reading = False
        self._has_read = False
        self._read_at = now + rng.random() * settings.start_jitter
        self._failures = 0
        self._volunteer_at: float | None = None

    def platform_answer_age_seconds(self, now: float) -> float:
        """Return how long ago a reader is known to have had an answer.

        Negative while none is known.
        """
        age_ms = self._news.age_ms(now)
        return -1 if age_ms == AGE_UNKNOWN else age_ms / _MS_PER_SECOND

    @property
    def readers(self) -> list[str]:
        """Return the readers of the failure domain by the own picture."""
        count = self._settings.readers_per_failure_domain
        present = (one for one in self._candidates if one not in self._silent)
        return list(islice(present, count))

    @property
    def is_elected(self) -> bool:
        """Return whether this node is one of the readers by its own picture."""
        return self._own_name in self.readers

    def handle(self, event: Record, now: float) -> list[Record]:
        """Take in an event; return a read when one is due."""
        self._take(event, now)
        if self._is_reading or now < self._read_at:
            return []
        if not self._wants_to_read(now):
            return []
        self._is_reading = True
        return [ReadVmList(is_watch=self._has_read and self.is_elected)]

    @singledispatchmethod
    def _take(self, event: Record, now: float) -> None:
        """Pass over events that do not matter here."""

    @_take.register
    def _on_list_read(self, event: VmListReceived, now: float) -> None:
        self._is_reading = False
        self._has_read = True
        self._failures = 0
        self._read_at = now + self._settings.watch_gap
        self._news.hear(now)
        self._volunteer_at = None
        listed = (
            vm.name
            for vm in event.vm_list.vms
            if vm.failure_domain == self._own_failure_domain
            and vm.state is VmState.LIVE
        )
        self._candidates = self._ranked(listed)
        self._silent.intersection_update(self._candidates)

    @_take.register
    def _on_read_failed(self, event: VmListReadFailed, now: float) -> None:
        self._is_reading = False
        delay = min(
            self._settings.first_retry_delay * 2**self._failures,
            self._settings.longest_retry_delay,
        )
        self._failures += 1
        self._read_at = now + delay * self._rng.uniform(0.5, 1.5)

    @_take.register
    def _on_bulletin(self, event: BulletinReceived, now: float) -> None:
        if self._news.hear_age(event.bulletin.news_age_ms, now):
            self._volunteer_at = None
        for announcement in event.bulletin.announcements:
            self._on_announced(PeerAnnounced(announcement), now)

    @_take.register
    def _on_digest(self, event: DigestReceived, now: float) -> None:
        if self._news.hear_age(event.digest.news_age_ms, now):
            self._volunteer_at = None

    @_take.register
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

    @_take.register
    def _on_silent(self, event: PeerSilent, now: float) -> None:
        if event.name in self._candidates:
            self._silent.add(event.name)

    @_take.register
    def _on_answered(self, event: PeerAnswered, now: float) -> None:
        self._silent.discard(event.name)

    @_take.register
    def _on_pause(self, event: PauseEnded, now: float) -> None:
        self._silent.clear()
        self._is_reading = False
        self._has_read = False
        self._read_at = now + self._rng.random() * self._settings.start_jitter

    def _wants_to_read(self, now: float) -> bool:
        if not self._has_read or self.is_elected:
            return True
        age_ms = self._news.age_ms(now)
        if age_ms < self._settings.news_timeout * _MS_PER_SECOND:
            return False
        if self._volunteer_at is None:
            jitter = self._rng.random() * self._settings.volunteer_jitter
            self._volunteer_at = now + jitter
        return now >= self._volunteer_at

    def _ranked(self, names: Iterable[str]) -> list[str]:
        kept = self._settings.readers_per_failure_domain + _SPARE_CANDIDATES
        unique = {*names, self._own_name}
        ranked = sorted(unique, key=_weight, reverse=True)
        return ranked[:kept]


def _weight(name: str) -> int:
    return xxh3_64_intdigest(name.encode())
