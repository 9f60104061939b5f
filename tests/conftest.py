"""Settings for every test: the same verdict at every run."""

from hypothesis import settings

settings.register_profile(
    'ci',
    derandomize=True,
    database=None,
    deadline=None,
    print_blob=False,
)
settings.load_profile('ci')
