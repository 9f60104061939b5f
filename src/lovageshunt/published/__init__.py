"""The reader of what the platform publishes."""

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
