"""Client accounts: whose a key is, and what an account may ask of the fleet."""

from lovageshunt.client_accounts._keys import AccountDirectory, digest_of
from lovageshunt.client_accounts._limits import AccountLimits, FleetUse
from lovageshunt.client_accounts._meter import AccountMeter

__all__ = [
    'AccountDirectory',
    'AccountLimits',
    'AccountMeter',
    'FleetUse',
    'digest_of',
]
