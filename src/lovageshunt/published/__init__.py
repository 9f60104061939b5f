"""Reads the values that the platform's configuration service publishes."""

from lovageshunt.published._published import (
    PUBLISHED_RULES,
    PUBLISHED_VMS,
    PlatformReader,
    PublishedValue,
)

__all__ = [
    'PUBLISHED_RULES',
    'PUBLISHED_VMS',
    'PlatformReader',
    'PublishedValue',
]
