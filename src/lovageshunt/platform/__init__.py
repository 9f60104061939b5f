"""The reader of what the platform publishes."""

from lovageshunt.platform._published import (
    PUBLISHED_RULES,
    PUBLISHED_VMS,
    PlatformReader,
    Published,
)

__all__ = [
    'PUBLISHED_RULES',
    'PUBLISHED_VMS',
    'PlatformReader',
    'Published',
]
