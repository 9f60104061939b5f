"""Adoption of versions, complete and in parts."""

from lovageshunt.rules import (
    KindRule,
    RulesDocument,
    RulesInForce,
    ServiceRules,
    Verdict,
    manifest_of,
    version_of,
)


def rules_of(service, timeout_ms=1000):
    """Return the rules of a service with a single kind."""
    rule = KindRule(
        service=service,
        kind='read',
        method='GET',
        path='/',
        importance=3,
        is_repeatable=True,
        timeout_ms=timeout_ms,
        retry_bound=2,
    )
    return ServiceRules(service=service, by_kind={'read': rule})


def document_of(generation, timeout_ms=1000):
    """Return a document with the rules of two services."""
    return RulesDocument(
        deployment='test',
        generation=generation,
        by_service={
            'stock': rules_of('stock', timeout_ms),
            'precios': rules_of('precios', timeout_ms),
        },
    )


def offer(in_force, document, revision=1, now=1):
    """Offer a complete document that was read at ``revision``."""
    return in_force.offer(version_of(document, revision), document, now)


class TestOffer:
    """Offers of complete documents."""

    def test_first_is_adopted(self):
        """The first document comes into force at once."""
        in_force = RulesInForce()

        assert offer(in_force, document_of(1), now=7).verdict == Verdict.ADOPTED
        assert in_force.in_force_since == 7
        assert in_force.current == document_of(1)

    def test_older_is_refused(self):
        """An older generation is refused even with a later revision."""
        in_force = RulesInForce()
        offer(in_force, document_of(2))

        older = offer(in_force, document_of(1), revision=99)

        assert older.verdict == Verdict.OLDER
        assert in_force.current == document_of(2)

    def test_same_rules_at_another_revision(self):
        """A later revision of equal rules does not change the adoption time."""
        in_force = RulesInForce()
        offer(in_force, document_of(2), revision=1, now=1)

        again = offer(in_force, document_of(2), revision=5, now=9)

        assert again.verdict == Verdict.SAME
        assert in_force.in_force_since == 1
        assert in_force.version.revision == 5

    def test_conflict_has_one_winner_and_is_on_record(self):
        """Nodes choose the same winner in either order and log the conflict."""
        first, second = document_of(3, 1000), document_of(3, 2000)
        one, other = RulesInForce(), RulesInForce()
        offer(one, first)
        offer(one, second)
        offer(other, second)
        offer(other, first)

        assert one.version == other.version
        assert len(one.conflicts) == len(other.conflicts) == 1


class TestParts:
    """Offers of manifests and of the rules of single services."""

    def test_version_waits_for_all_needed_parts(self):
        """The old version stays in force until every needed part is there."""
        document = document_of(2, 2000)
        manifest = manifest_of(document, version_of(document, 1))
        in_force = RulesInForce(frozenset(('stock', 'precios')))
        offer(in_force, document_of(1))

        first_part = {'stock': document.by_service['stock']}
        last_part = {'precios': document.by_service['precios']}

        waiting = in_force.offer_parts(manifest, first_part, 2)
        assert waiting.verdict == Verdict.WAITING
        assert in_force.current == document_of(1)
        assert in_force.missing_services() == ('precios',)
        adopted = in_force.offer_parts(manifest, last_part, 3)
        assert adopted.verdict == Verdict.ADOPTED
        assert in_force.current == document

    def test_only_needed_parts_are_missed(self):
        """Parts that the node does not need are not missing."""
        document = document_of(2)
        manifest = manifest_of(document, version_of(document, 1))
        in_force = RulesInForce(frozenset(('stock',)))

        in_force.offer_manifest(manifest, 1)

        assert in_force.missing_services() == ('stock',)

    def test_part_of_another_version_is_not_stored(self):
        """A part whose digest differs from the manifest stays missing."""
        document = document_of(2, 2000)
        manifest = manifest_of(document, version_of(document, 1))
        in_force = RulesInForce(frozenset(('stock',)))

        in_force.offer_parts(manifest, document_of(1).by_service, 1)

        assert in_force.missing_services() == ('stock',)
        assert in_force.current is None

    def test_part_that_is_held_is_kept(self):
        """A part with a wrong digest does not replace a matching one."""
        document = document_of(2, 2000)
        manifest = manifest_of(document, version_of(document, 1))
        in_force = RulesInForce()
        matching = {'stock': document.by_service['stock']}
        mismatching = {'stock': document_of(1).by_service['stock']}

        in_force.offer_parts(manifest, matching, 1)
        in_force.offer_parts(manifest, mismatching, 2)

        assert in_force.missing_services() == ('precios',)

    def test_nothing_older_than_a_known_manifest(self):
        """A manifest without parts already rules out older versions."""
        newer = document_of(5)
        in_force = RulesInForce()
        in_force.offer_manifest(manifest_of(newer, version_of(newer, 1)), 1)

        assert offer(in_force, document_of(4)).verdict == Verdict.OLDER
        assert in_force.current is None

    def test_digests_that_contradict_are_refused(self):
        """A manifest whose version has another digest is refused."""
        document = document_of(1)
        manifest = manifest_of(document, version_of(document, 1))
        manifest.digest_by_service['stock'] = '0'
        in_force = RulesInForce()

        assert (
            in_force.offer_manifest(manifest, 1).verdict == Verdict.INCONSISTENT
        )
        assert in_force.latest is None
