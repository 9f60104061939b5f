"""Choice of the nearest tier of targets that has spare capacity."""

from random import Random
from statistics import fmean
from typing import Final

from xxhash import xxh3_64_intdigest

from lovageshunt.routing._settings import RouterSettings
from lovageshunt.routing._view import TargetView

_SALT_BITS: Final = 64


class Tiers:
    """Prefers the own failure domain, then the own region, then any target.

    A tier is passed over as its utilisation rises. Each caller uses its own
    random subset of a large tier.
    """

    __slots__ = ('_failure_domain', '_region', '_rng', '_settings', '_salt')

    def __init__(
        self,
        *,
        failure_domain: str,
        region: str,
        rng: Random,
        settings: RouterSettings,
    ) -> None:
        self._failure_domain = failure_domain
        self._region = region
        self._rng = rng
        self._settings = settings
        self._salt = rng.getrandbits(_SALT_BITS)

    def pick(self, views: list[TargetView], now: float) -> list[TargetView]:
        """Return the targets to choose among."""
        region = [view for view in views if self._is_in_region(view)]
        near = [view for view in region if self._is_near(view)]
        for tier in (near, region):
            if tier and self._has_capacity(tier, now):
                return self._in_aperture(tier)
        return self._in_aperture(region or views)

    def _is_in_region(self, view: TargetView) -> bool:
        return view.member.region == self._region

    def _is_near(self, view: TargetView) -> bool:
        return view.member.failure_domain == self._failure_domain

    def _has_capacity(self, tier: list[TargetView], now: float) -> bool:
        """Decide at random, so that calls leave a filling tier gradually."""
        load = fmean(view.utilisation(now) for view in tier)
        end = self._settings.spill_end_share
        span = end - self._settings.spill_start_share
        return self._rng.random() < (end - load) / span

    def _in_aperture(self, tier: list[TargetView]) -> list[TargetView]:
        if len(tier) <= self._settings.aperture:
            return tier
        ordered = sorted(tier, key=self._salted_hash)
        return ordered[: self._settings.aperture]

    def _salted_hash(self, view: TargetView) -> int:
        node = view.member.node.encode()
        return xxh3_64_intdigest(node, seed=self._salt)
