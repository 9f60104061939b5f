"""The specifications of all metrics, each with an alert condition."""

from typing import Final

from lovageshunt._record import Record

COUNTER: Final = 'counter'
GAUGE: Final = 'gauge'
HISTOGRAM: Final = 'histogram'


class MetricSpec(Record):
    """One metric as it is exposed and documented.

    ``meaning`` is its help text and ``alert`` the condition on which an
    operator should look. The number of values of each label is bounded and
    does not grow with traffic.
    """

    __slots__ = ('name', 'kind', 'labels', 'meaning', 'alert')

    def __init__(
        self,
        *,
        name: str,
        kind: str,
        meaning: str,
        alert: str,
        labels: tuple[str, ...] = (),
    ) -> None:
        self.name = name
        self.kind = kind
        self.labels = labels
        self.meaning = meaning
        self.alert = alert


_CALL_LABELS: Final = ('service', 'kind', 'importance')

#: Every metric that a node, a sidecar or a client exposes.
METRIC_SPECS: Final = (
    MetricSpec(
        name='lovageshunt_calls_arrived_total',
        kind=COUNTER,
        labels=_CALL_LABELS,
        meaning='calls that arrived',
        alert='rate is 0 for 5 min at one node while its peers have calls',
    ),
    MetricSpec(
        name='lovageshunt_calls_ended_total',
        kind=COUNTER,
        labels=(*_CALL_LABELS, 'outcome', 'reason'),
        meaning='calls that ended, by outcome and reason',
        alert='any not_run of importance 0 for 1 min; any unknown above 1 %',
    ),
    MetricSpec(
        name='lovageshunt_calls_dispatched_total',
        kind=COUNTER,
        labels=_CALL_LABELS,
        meaning='calls that were sent on to the target',
        alert='rate below half of that of arrivals for 5 min',
    ),
    MetricSpec(
        name='lovageshunt_calls_wasted_total',
        kind=COUNTER,
        labels=(*_CALL_LABELS, 'reason'),
        meaning='dispatched calls whose work served nobody',
        alert='above 5 % of dispatched for 5 min',
    ),
    MetricSpec(
        name='lovageshunt_calls_retries_total',
        kind=COUNTER,
        labels=_CALL_LABELS,
        meaning='calls that were not the first attempt',
        alert='above 10 % of arrivals for 1 min',
    ),
    MetricSpec(
        name='lovageshunt_calls_running',
        kind=GAUGE,
        labels=_CALL_LABELS,
        meaning='calls that arrived and have not ended, queued ones included',
        alert='does not fall for 10 min while arrivals are 0',
    ),
    MetricSpec(
        name='lovageshunt_call_seconds',
        kind=HISTOGRAM,
        labels=('service', 'importance'),
        meaning='time from arrival to end of answered calls, in seconds',
        alert='p99 above half of the deadline in the rules for 5 min',
    ),
    MetricSpec(
        name='lovageshunt_queue_seconds',
        kind=HISTOGRAM,
        labels=('service',),
        meaning='time that dispatched calls waited in the queue, in seconds',
        alert='p50 above 0.1 s for 1 min',
    ),
    MetricSpec(
        name='lovageshunt_concurrency_limit',
        kind=GAUGE,
        labels=('service',),
        meaning='calls that the node lets its target run at once',
        alert='below a quarter of the published slots for 5 min',
    ),
    MetricSpec(
        name='lovageshunt_admission_threshold',
        kind=GAUGE,
        labels=('service',),
        meaning='level from which calls are refused; importance x 65536 + rank',
        alert='below 65536 for 1 min: calls of importance 0 are refused',
    ),
    MetricSpec(
        name='lovageshunt_rules_generation',
        kind=GAUGE,
        meaning='generation of the rules in force',
        alert='differs between nodes for more than 30 s',
    ),
    MetricSpec(
        name='lovageshunt_platform_read_age_seconds',
        kind=GAUGE,
        meaning='time since the list of VMs was read or heard, in seconds',
        alert='above 60 s',
    ),
    MetricSpec(
        name='lovageshunt_targets',
        kind=GAUGE,
        labels=('service', 'state'),
        meaning='targets known to the node, by state',
        alert='none available for 10 s, or leaving for more than 10 min',
    ),
    MetricSpec(
        name='lovageshunt_pauses_total',
        kind=COUNTER,
        meaning='times that the process was found to have been paused',
        alert='more than 3 in an hour',
    ),
    MetricSpec(
        name='lovageshunt_control_bytes_total',
        kind=COUNTER,
        labels=('purpose',),
        meaning='bytes sent to peers and to the platform, by purpose',
        alert='rate above 2000 bytes a second for 5 min',
    ),
    MetricSpec(
        name='lovageshunt_logs_suppressed_total',
        kind=COUNTER,
        meaning='log records held back by the rate limit',
        alert='above 0 for 5 min outside a known overload',
    ),
    MetricSpec(
        name='lovageshunt_requests_total',
        kind=COUNTER,
        labels=('status', 'reason'),
        meaning='requests that a sidecar answered; reason when it was not the '
        'target',
        alert='status 502 or 504 above 2 % for 1 min',
    ),
    MetricSpec(
        name='lovageshunt_request_seconds',
        kind=HISTOGRAM,
        meaning='time from a whole request to its answer at a sidecar, in '
        'seconds',
        alert='p99 above the longest timeout of a route',
    ),
    MetricSpec(
        name='lovageshunt_abandoned_total',
        kind=COUNTER,
        meaning='requests whose client left before the answer',
        alert='above 5 % of requests for 1 min',
    ),
    MetricSpec(
        name='lovageshunt_retries_total',
        kind=COUNTER,
        labels=('reason',),
        meaning='requests that a sidecar sent to another target, by why',
        alert='above 10 % of requests for 1 min',
    ),
    MetricSpec(
        name='lovageshunt_runs_total',
        kind=COUNTER,
        labels=('outcome', 'reason'),
        meaning='orders that a sidecar took for its target, by their end',
        alert='unknown above 1 % for 1 min',
    ),
    MetricSpec(
        name='lovageshunt_run_seconds',
        kind=HISTOGRAM,
        meaning='time from an order to its end beside the target, in seconds',
        alert='p50 above twice that of the other targets of the service',
    ),
    MetricSpec(
        name='lovageshunt_demand_share',
        kind=GAUGE,
        meaning='share of its demand that the target has room for, 1 if all',
        alert='below 0.5 for 1 min',
    ),
    MetricSpec(
        name='lovageshunt_target_accepted_share',
        kind=GAUGE,
        meaning='share of the calls sent to it that the target does not refuse',
        alert='below 0.9 for 10 s while running calls in '
        'lovageshunt_target_calls are below the slots',
    ),
    MetricSpec(
        name='lovageshunt_target_rate_limit',
        kind=GAUGE,
        meaning='calls a second that the target says it takes, '
        '-1 without limit',
        alert='0 or above for 1 min',
    ),
    MetricSpec(
        name='lovageshunt_target_crashes_total',
        kind=COUNTER,
        meaning='crashes of the target with calls in flight',
        alert='more than 1 in 1 min',
    ),
    MetricSpec(
        name='lovageshunt_accused_requests',
        kind=GAUGE,
        meaning='requests, by content, that were in flight at crashes of '
        'targets and have not finished since',
        alert='does not fall for 10 min',
    ),
    MetricSpec(
        name='lovageshunt_target_calls',
        kind=GAUGE,
        labels=('state',),
        meaning='calls beside the target, running and waiting',
        alert='waiting above the slots for 10 s',
    ),
    MetricSpec(
        name='lovageshunt_configuration_version',
        kind=GAUGE,
        meaning='version of the configuration in force, 0 for none',
        alert='differs between nodes for more than 5 s',
    ),
    MetricSpec(
        name='lovageshunt_platform_away',
        kind=GAUGE,
        meaning='1 while the platform does not answer this node',
        alert='1 for 10 s',
    ),
    MetricSpec(
        name='lovageshunt_platform_reader',
        kind=GAUGE,
        meaning='1 while this node reads the platform for the others',
        alert='sum over the fleet 0 for 10 s, or above 6 for 30 s',
    ),
    MetricSpec(
        name='lovageshunt_platform_news_age_seconds',
        kind=GAUGE,
        meaning='age of the newest answer of the platform known, in seconds',
        alert='above 4 for 10 s while the platform answers',
    ),
    MetricSpec(
        name='lovageshunt_links',
        kind=GAUGE,
        labels=('direction',),
        meaning='links between nodes, opened here and accepted here',
        alert='accepted 0 for 1 min at a node whose target gets calls',
    ),
    MetricSpec(
        name='lovageshunt_orders_again_total',
        kind=COUNTER,
        labels=('state',),
        meaning='orders that arrived again after their link was lost: '
        'in_progress, answered or forgotten',
        alert='any forgotten',
    ),
    MetricSpec(
        name='lovageshunt_accounts_over_limit',
        kind=GAUGE,
        meaning='client accounts that ask the fleet for more than their limits',
        alert='above 0 for 1 min',
    ),
    MetricSpec(
        name='lovageshunt_held_bytes',
        kind=GAUGE,
        meaning='bytes of requests, unread responses and parts of frames that '
        'connections hold',
        alert='above half of held_mebibytes for 1 min',
    ),
    MetricSpec(
        name='lovageshunt_clients_closed_total',
        kind=COUNTER,
        labels=('cause',),
        meaning='connections closed for what a client sent or did not read',
        alert='cause memory or connections, any in 1 min',
    ),
)
