"""Rules documents: matching, digests, encoding and versions."""

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovageshunt.rules import (
    DEFAULT_KIND,
    KindRule,
    RulesDocument,
    RulesInForce,
    ServiceRules,
    Version,
    decode_document,
    default_rule,
    encode_document,
)


def rule_of(kind, method, path):
    """Return a rule of ``payments`` that one caller overrides."""
    return KindRule(
        service='payments',
        kind=kind,
        method=method,
        path=path,
        importance=3,
        is_repeatable=False,
        timeout_ms=1000,
        retry_bound=2,
        importance_by_caller={'kiosk': 1},
    )


def service_of(*rules):
    """Return the rules of ``payments``."""
    by_kind = {rule.kind: rule for rule in rules}
    return ServiceRules(service='payments', by_kind=by_kind)


PAYMENTS = service_of(
    rule_of('any', '*', '/'),
    rule_of('tokens', '*', '/tokens'),
    rule_of('purchase', 'POST', '/tokens'),
    rule_of('quote', 'POST', '/tokens/quote'),
)
DOCUMENT = RulesDocument(
    deployment='test',
    generation=3,
    by_service={'payments': PAYMENTS},
)


class TestKindFor:
    """Selection of the rule for a request."""

    @pytest.mark.parametrize(
        ('method', 'path', 'kind'),
        [
            ('POST', '/tokens', 'purchase'),
            ('POST', '/tokens/7', 'purchase'),
            ('POST', '/tokens?n=1', 'purchase'),
            ('POST', '/tokens/quote/7', 'quote'),
            ('GET', '/tokens/quote', 'tokens'),
            ('POST', '/tokensale', 'any'),
            ('GET', '/', 'any'),
        ],
    )
    def test_longest_prefix_wins(self, method, path, kind):
        """The longest prefix wins, then the rule with the exact method."""
        assert PAYMENTS.kind_for(method, path).kind == kind

    def test_no_rule(self):
        """``kind_for`` returns ``None`` if no rule matches."""
        only = service_of(rule_of('purchase', 'POST', '/tokens'))

        assert only.kind_for('GET', '/tokens') is None

    @pytest.mark.parametrize(
        ('method', 'is_repeatable'),
        [('GET', True), ('HEAD', True), ('POST', False), ('PUT', False)],
    )
    def test_default_is_cautious(self, method, is_repeatable):
        """The default rule makes only reads repeatable."""
        rule = RulesInForce().kind_for('payments', method, '/tokens')

        assert rule == default_rule('payments', method, '/tokens')
        assert rule.kind == DEFAULT_KIND
        assert rule.is_repeatable is is_repeatable

    def test_importance_by_caller(self):
        """The importance set for a caller overrides that of the kind."""
        rule = rule_of('purchase', 'POST', '/tokens')

        assert rule.importance_for('kiosk') == 1
        assert rule.importance_for('phone') == 3


class TestDigest:
    """Digests of documents."""

    def test_order_does_not_matter(self):
        """The digest does not depend on the order of the kinds."""
        reordered = service_of(*reversed(PAYMENTS.by_kind.values()))

        assert reordered.digest == PAYMENTS.digest

    def test_any_change_matters(self):
        """A change of the rules changes the digest of the document."""
        other = RulesDocument(
            deployment='test',
            generation=3,
            by_service={'payments': service_of(rule_of('any', '*', '/'))},
        )

        assert other.digest != DOCUMENT.digest


class TestCodec:
    """JSON encoding of documents."""

    def test_round_trip(self):
        """Decoding an encoded document returns an equal one."""
        assert decode_document(encode_document(DOCUMENT)).ok == DOCUMENT

    @pytest.mark.parametrize(
        ('field', 'value'),
        [
            ('importance', 8),
            ('importance', True),
            ('is_repeatable', 1),
            ('timeout_ms', 0),
            ('retry_bound', -1),
            ('service', 'other'),
            ('importance_by_caller', {'kiosk': 'x'}),
            ('unheard_of', 1),
        ],
    )
    def test_bad_rule_is_refused(self, field, value):
        """A rule with a field of a wrong type, range or name is refused."""
        content = orjson.loads(encode_document(DOCUMENT))
        content['by_service']['payments']['any'][field] = value

        refused = decode_document(orjson.dumps(content)).error

        assert 'rules accept' in str(refused)

    @given(raw=st.binary(max_size=80))
    def test_noise(self, raw):
        """Arbitrary bytes return an error and raise nothing."""
        assert decode_document(raw).is_error()


VERSIONS = st.builds(
    Version,
    generation=st.integers(0, 3),
    revision=st.integers(0, 3),
    digest=st.sampled_from('ab'),
)


class TestVersion:
    """The order of versions."""

    @given(one=VERSIONS, other=VERSIONS)
    def test_generation_goes_first(self, one, other):
        """Versions are ordered by generation, revision, then digest."""
        expected = (one.generation, one.revision, one.digest) < (
            other.generation,
            other.revision,
            other.digest,
        )

        assert (one < other) is expected
        assert (one == other) is (one <= other <= one)
        assert one != other or hash(one) == hash(other)
