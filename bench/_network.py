"""Simulated network: delays between locations and a partition."""

from bench._deployment import Deployment
from bench._loop import Loop
from bench._request import RunRecord

FAILURE_DOMAINS = ('fd1', 'fd2', 'fd3')
#: Location of the clients.
OUTSIDE = 'outside'


class Network:
    """State that all simulated nodes and clients share.

    ``partitioned_domain`` names the failure domain that is cut off from the
    others, or is empty; messages from and to clients still pass.
    ``published_share`` is the ratio of published to true slots.
    """

    def __init__(self, loop: Loop, deployment: Deployment) -> None:
        self.loop = loop
        self.deployment = deployment
        self.run_record = RunRecord()
        self.partitioned_domain = ''
        self.published_share = float(1)

    def delay(self, source: str, destination: str) -> float:
        """Return the one-way delay in seconds."""
        if OUTSIDE in {source, destination}:
            return self.deployment.client_delay_seconds
        if source == destination:
            return self.deployment.link_delay_seconds / 10
        return self.deployment.link_delay_seconds

    def is_partitioned(self, source: str, destination: str) -> bool:
        """Whether messages between the two locations are lost."""
        locations = {source, destination}
        is_between_domains = OUTSIDE not in locations and len(locations) > 1
        return is_between_domains and self.partitioned_domain in locations
