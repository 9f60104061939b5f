"""Divides room among those who ask for it, so that who asks most pays first."""

from collections.abc import Mapping


def fair_shares(
    demand_by_key: Mapping[str, float],
    weight_by_key: Mapping[str, float],
    capacity: float,
) -> dict[str, float]:
    """Return the share of its demand that each key is granted (max-min).

    Each gets all that it asks for up to a common level times its weight, which
    is 1 by default and above 0. The level is the highest at which the sum of
    what they get is within ``capacity``.
    """
    demand_per_weight = {
        key: demand / weight_by_key.get(key, 1)
        for key, demand in demand_by_key.items()
        if demand > 0
    }
    left = capacity
    weight_left = sum(weight_by_key.get(key, 1) for key in demand_per_weight)
    shares = dict.fromkeys(demand_by_key, float(1))
    for key in sorted(demand_per_weight, key=demand_per_weight.__getitem__):
        weight = weight_by_key.get(key, 1)
        granted = max(0, left) * weight / weight_left
        demand = demand_by_key[key]
        if demand > granted:
            shares[key] = granted / demand
        left -= min(demand, granted)
        weight_left -= weight
    return shares
