"""Which targets are near enough and have room."""

from random import Random
from statistics import fmean
from typing import Final

from xxhash import xxh3_64_intdigest

from lovageshunt.routing._settings import RouterSettings
from lovageshunt.routing._view import TargetView

_SALT_BITS: Final = 64


class Tiers:
    """Prefers the own failure domain, then the own region, while they last."""

    __slots__ = ('_failure_domain', '_region', '_rng', '_settings', '_salt')

    def __init__(
        self,
        *,
        failure_domain: str,
        region: str,
        rng: Random,
        settings: RouterSettings,
    ) -> None:
        """Say where the caller is."""
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
            if tier and self._has_room(tier, now):
                return self._in_aperture(tier)
        return self._in_aperture(region or views)

    def _is_in_region(self, view: TargetView) -> bool:
        return view.member.region == self._region

    def _is_near(self, view: TargetView) -> bool:
        return view.member.failure_domain == self._failure_domain

    def _has_room(self, tier: list[TargetView], now: float) -> bool:
        """Draw, so that callers leave a filling tier one by one."""
        load = fmean(view.utilisation(now) for view in tier)
        full = self._settings.full_share
        span = full - self._settings.room_share
        return self._rng.random() < (full - load) / span

    def _in_aperture(self, tier: list[TargetView]) -> list[TargetView]:
        if len(tier) <= self._settings.aperture:
            return tier
        ordered = sorted(tier, key=self._draw)
        return ordered[: self._settings.aperture]

    def _draw(self, view: TargetView) -> int:
        node = view.member.node.encode()
        return xxh3_64_intdigest(node, seed=self._salt)
