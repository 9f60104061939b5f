"""What nodes know of requests that crash targets."""

import pytest

from lovageshunt.errors import MalformedFrameError
from lovageshunt.http1 import Request, forwarded_fields
from lovageshunt.links import RunOrder
from lovageshunt.retries import SuspectReport, Suspicion
from lovageshunt.sidecar._fingerprint import (
    fingerprint_of_order,
    fingerprint_of_request,
)
from lovageshunt.sidecar._suspects import (
    Suspects,
    decode_reports,
    encode_reports,
)


def request_of(
    host: bytes, body: bytes = b'', attempt: bytes = b'a'
) -> Request:
    return Request(
        method=b'POST',
        target=b'/read/a?b=c',
        headers=[(b'x-attempt', attempt), (b'host', host)],
        body=body,
    )


def order_of(request: Request, caller: str) -> RunOrder:
    return RunOrder(
        attempt_id=request.header(b'x-attempt'),
        target_id='i-1',
        kind='/read/',
        caller_service=caller,
        importance=1,
        is_repeatable=True,
        is_repeat=False,
        deadline=0,
        method=request.method,
        request_target=request.target,
        fields=forwarded_fields(request.headers, frozenset()),
        body=request.body,
    )


class TestFingerprint:
    """Requests are the same if targets are given the same to run."""

    def test_is_the_same_at_the_first_hop_and_beside_the_target(self) -> None:
        """Whatever service calls, and under which id of the attempt."""
        first = request_of(b'X.example', b'body')
        again = request_of(b'x.example', b'body', attempt=b'b')
        assert fingerprint_of_request(first) == fingerprint_of_order(
            order_of(again, 'other')
        )

    @pytest.mark.parametrize(
        'other', [request_of(b'y.example'), request_of(b'x.example', b'b')]
    )
    def test_differs_by_host_and_body(self, other: Request) -> None:
        """Another host, or another body, is another request."""
        one = fingerprint_of_request(request_of(b'x.example'))
        assert one != fingerprint_of_request(other)


class TestReports:
    """Reports between nodes."""

    def test_are_read_as_they_were_written(self) -> None:
        """With the crashes and the time that is left."""
        reports = (
            SuspectReport(
                fingerprint='x',
                suspicion=Suspicion.CONDEMNED,
                crashes=3,
                seconds_left=12.5,
            ),
        )
        assert decode_reports(encode_reports(reports)) == reports

    @pytest.mark.parametrize(
        'payload', [b'', b'{', b'[1]', b'[{}]', b'1', b'[{"fingerprint": 1}]']
    )
    def test_malformed_ones_close_the_link(self, payload: bytes) -> None:
        """They are told apart from a fault of this node."""
        with pytest.raises(MalformedFrameError):
            decode_reports(payload)


class TestLog:
    """What operators read of a condemned request."""

    def test_condemned_request_is_logged_once(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """Each peer repeats it to a node that opens a link."""
        suspects = Suspects(broadcast=lambda *_: None, has_spare=lambda: True)
        reports = (
            SuspectReport(
                fingerprint='x', suspicion=Suspicion.CONDEMNED, crashes=3
            ),
        )
        for _ in range(3):
            suspects.apply(reports)
        assert len(caplog.records) == 1
