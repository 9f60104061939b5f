"""Where things are, how far apart, and which failure domain is cut off."""

from bench._deployment import Deployment
from bench._loop import Loop
from bench._request import Book

FAILURE_DOMAINS = ('fd1', 'fd2', 'fd3')
#: Where phones are.
OUTSIDE = 'outside'


class Network:
    """Delays between places; a cut failure domain reaches only itself."""

    def __init__(self, loop: Loop, deployment: Deployment) -> None:
        """Start whole."""
        self.loop = loop
        self.deployment = deployment
        self.book = Book()
        self.cut = ''
        self.published_share = float(1)

    def delay(self, here: str, there: str) -> float:
        """Return the seconds that a message takes one way."""
        if OUTSIDE in {here, there}:
            return self.deployment.client_seconds
        if here == there:
            return self.deployment.link_seconds / 10
        return self.deployment.link_seconds

    def is_cut(self, here: str, there: str) -> bool:
        """Tell whether messages between two places are lost."""
        places = {here, there}
        is_inside = OUTSIDE not in places and len(places) > 1
        return is_inside and self.cut in places
