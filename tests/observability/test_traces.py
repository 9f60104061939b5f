"""Starting, ending and storing the spans of hops."""

import pytest
from opentelemetry.sdk.trace.id_generator import RandomIdGenerator

from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.errors import MalformedSpanError
from lovageshunt.observability import Traces, decode_span
from tests.only import only

PARENT = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'
UNSAMPLED = f'{PARENT[:-2]}00'


class Clock:
    """A clock in nanoseconds that a test advances."""

    def __init__(self):
        self.now_ns = 1_000_000_000

    def __call__(self):
        return self.now_ns


@pytest.fixture
def clock():
    """Return a clock that is at 1 s."""
    return Clock()


def traces_of(clock, sampling_ratio=0, capacity=10):
    """Return traces in which calls are slow from 0.5 s on."""
    return Traces(
        node='n1',
        sampling_ratio=sampling_ratio,
        slow_seconds=0.5,
        capacity=capacity,
        clock_ns=clock,
        ids=RandomIdGenerator(),
    )


class TestTraces:
    """Which spans are stored, with which ids."""

    def test_span_joins_the_trace_of_the_caller(self, clock):
        """The span has the caller's trace id, and its span as parent."""
        traces = traces_of(clock)

        span = traces.start('ingress', trace_parent=PARENT)
        traces.end(span, Outcome.ANSWERED)

        kept = only(traces.recent('0af7651916cd43dd8448eb211c80319c'))
        assert kept.parent_id == 'b7ad6b7169203331'
        assert kept.span_id == span.trace_parent.split('-')[2]

    def test_next_hop_is_a_child(self, clock):
        """The header sent on makes the span of the next hop a child."""
        traces = traces_of(clock, sampling_ratio=1.0)

        first = traces.start('ingress', request_id='r')
        second = traces.start('egress', trace_parent=first.trace_parent)

        assert second.parent_id == first.span_id
        assert second.trace_id == first.trace_id

    @pytest.mark.parametrize('header', ['', 'junk', '00-0-0-01'])
    def test_malformed_header_starts_a_trace(self, clock, header):
        """A malformed header is treated like a missing one."""
        span = traces_of(clock).start('ingress', trace_parent=header)

        assert not span.parent_id
        assert len(span.trace_id) == 32

    @pytest.mark.parametrize(
        'outcome', [Outcome.NOT_RUN, Outcome.FAILED, Outcome.UNKNOWN]
    )
    def test_unsampled_span_is_kept_unless_answered(self, clock, outcome):
        """Refused, failed and unknown calls are stored regardless."""
        traces = traces_of(clock)
        span = traces.start('ingress', trace_parent=UNSAMPLED, request_id='r')

        assert traces.end(span, outcome, RefusalReason.OVERLOAD)
        assert traces.recent('r')[0].reason == 'overload'

    def test_unsampled_slow_span_is_kept(self, clock):
        """A call of exactly ``slow_seconds`` is stored with its duration."""
        traces = traces_of(clock)
        span = traces.start('ingress', trace_parent=UNSAMPLED, request_id='r')
        clock.now_ns += 500_000_000

        assert traces.end(span, Outcome.ANSWERED)
        assert traces.recent('r')[0].duration_ms == 500

    def test_unsampled_fast_answer_is_dropped(self, clock):
        """A fast answered call of an unsampled trace is not stored."""
        traces = traces_of(clock, sampling_ratio=1.0)
        span = traces.start('ingress', trace_parent=UNSAMPLED, request_id='r')

        assert not traces.end(span, Outcome.ANSWERED)
        assert not traces.recent('r')

    def test_memory_is_bounded(self, clock):
        """At capacity the oldest spans are dropped."""
        traces = traces_of(clock, sampling_ratio=1.0, capacity=3)
        for number in range(5):
            span = traces.start(f'hop {number}', request_id='r')
            traces.end(span, Outcome.ANSWERED)

        names = [record.name for record in traces.recent('r')]

        assert names == ['hop 2', 'hop 3', 'hop 4']

    @pytest.mark.parametrize(
        'change',
        [{'duration_ms': 'long'}, {'node': None}, {'unheard_of': 1}],
    )
    def test_malformed_record_is_a_typed_error(self, clock, change):
        """A field with a wrong type or an unknown name is an error."""
        traces = traces_of(clock, sampling_ratio=1)
        span = traces.start('ingress', request_id='r')
        traces.end(span, Outcome.ANSWERED)
        fields = only(traces.recent('r')).as_dict()

        with pytest.raises(MalformedSpanError):
            decode_span(fields | change)

    def test_record_survives_the_wire(self, clock):
        """A record equals itself after encoding and decoding."""
        traces = traces_of(clock, sampling_ratio=1.0)
        span = traces.start('ingress', request_id='r')
        traces.end(span, Outcome.ANSWERED)

        kept = only(traces.recent('r'))

        assert decode_span(kept.as_dict()) == kept
