"""Hypothesis settings that make every test run reproducible."""

from hypothesis import settings

settings.register_profile(
    'ci',
    derandomize=True,
    database=None,
    deadline=None,
    print_blob=False,
)
settings.load_profile('ci')
