"""Parsing of the sheets that planners export."""

from datetime import date
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovageshunt.rules import decode_document, encode_document, parse_sheet

EXAMPLES = Path(__file__).parents[2] / 'examples'
PREAMBLE = 'deployment;despensa\ngeneration;7\n'
HEADER = (
    'service;kind;method;path;importance;repeatable;'
    'timeout_seconds;retry_bound;callers;note\n'
)
ORDER = 'pedidos;pedido;POST;/pedidos;0;no;20;4;bodega=1;Pedido\n'
LOOKUP = 'precios;precio;GET;/precios;5;yes;4,5;1;;\n'
SHEET = PREAMBLE + HEADER + ORDER + LOOKUP


def faults_of(text, **options):
    """Return the row, column and value of each fault."""
    found = parse_sheet(text.encode(), **options).error
    return [(fault.row, fault.column, fault.value) for fault in found]


class TestExports:
    """Encodings, delimiters and notations of spreadsheet programs."""

    @pytest.mark.parametrize(
        'raw',
        [
            SHEET.encode('utf-8-sig'),
            SHEET.encode('utf-16'),
            SHEET.encode('utf-16-le'),
            SHEET.encode('utf-16-be'),
            SHEET.replace('\n', '\r\n').encode(),
            SHEET.replace(';', '\t').encode(),
            SHEET.replace('4,5', '"4,5"').replace(';', ',').encode(),
            SHEET.replace('\npedidos;', '\n"pedidos ";').encode(),
            SHEET.replace(';', ' ;\u00a0').encode(),
            SHEET.replace('precios;', '\u200fprecios;').encode(),
            SHEET.replace(';4;', ';۴;').encode(),
            f'sep=;\n{SHEET}'.encode(),
            SHEET.replace('\n', ';;;\n').encode(),
            SHEET.replace(';no;', ';NO;').replace('yes', 'Sí').encode(),
            SHEET.replace('service;', 'Servicio;').encode(),
            SHEET.replace('yes', 'ہاں').replace('4,5', '۴٫۵').encode(),
        ],
    )
    def test_same_document(self, raw):
        """All notations of a sheet give the same document."""
        expected = parse_sheet(SHEET.encode()).ok.document

        assert parse_sheet(raw).ok.document == expected

    def test_cells_are_read(self):
        """Cells are converted into the fields of a rule."""
        document = parse_sheet(SHEET.encode()).ok.document
        lookup = document.by_service['precios'].kind_for('GET', '/precios/7')
        order = document.by_service['pedidos'].kind_for('POST', '/pedidos')

        assert (lookup.timeout_ms, lookup.importance) == (4500, 5)
        assert not order.is_repeatable
        assert order.importance_for('bodega') == 1
        assert order.importance_for('nevera') == 0

    @pytest.mark.parametrize('name', ['nahr-labs', 'despensa'])
    def test_examples(self, name):
        """The example sheets have no faults and can be encoded."""
        raw = (EXAMPLES / name / 'rules.csv').read_bytes()
        document = parse_sheet(raw).ok.document

        assert decode_document(encode_document(document)).ok == document


class TestFaults:
    """Faults and their positions."""

    @pytest.mark.parametrize(
        ('old', 'new', 'place'),
        [
            ('generation;7\n', '', (0, 'generation', '')),
            ('generation;7', 'generation;x', (2, 'generation', 'x')),
            ('generation;7', 'generation;0', (2, 'generation', '0')),
            ('generation;7', 'generación;7', (2, 'generación', '7')),
            ('deployment;despensa\n', '', (0, 'deployment', '')),
            ('kind;', 'knd;', (3, 'knd', 'knd')),
            ('kind;', 'service;', (3, 'service', 'service')),
            (';method', '', (3, 'method', '')),
            (';POST;', ';PSOT;', (4, 'method', 'PSOT')),
            (';/pedidos', ';pedidos', (4, 'path', 'pedidos')),
            (';/pedidos', ';/pe didos', (4, 'path', '/pe didos')),
            (';0;no', ';8;no', (4, 'importance', '8')),
            (';0;no', ';1,5;no', (4, 'importance', '1,5')),
            (';0;no', ';;no', (4, 'importance', '')),
            (';no;', ';maybe;', (4, 'repeatable', 'maybe')),
            (';4,5;', ';0;', (5, 'timeout_seconds', '0')),
            (';4,5;', ';nan;', (5, 'timeout_seconds', 'nan')),
            (';4,5;', ';1e9;', (5, 'timeout_seconds', '1e9')),
            (';20;4;', ';20;99;', (4, 'retry_bound', '99')),
            ('bodega=1', 'bodega', (4, 'callers', 'bodega')),
            ('bodega=1', 'b=1|b=2', (4, 'callers', 'b=1|b=2')),
            (';Pedido\n', ';a;b\n', (4, 'cell 11', 'b')),
            ('precios;precio;', 'pre cios;p;', (5, 'service', 'pre cios')),
            (LOOKUP, ORDER, (5, 'kind', 'pedido')),
            (
                LOOKUP,
                LOOKUP.replace('precios;precio', 'pedidos;otro').replace(
                    'GET;/precios', 'POST;/pedidos/'
                ),
                (5, 'path', 'POST /pedidos/'),
            ),
            (
                'precios;precio',
                'precios;pedido',
                (5, 'repeatable', 'yes'),
            ),
            ('GET;/precios;5', '*;/;7', (5, 'importance', '7')),
            ('GET;/precios;5', '*;/;0', (5, 'importance', '0')),
            (';/precios;5', ';/precios;0', (0, 'importance', '0')),
            (ORDER + LOOKUP, '', (0, 'sheet', 'no rules')),
            (HEADER, '', (0, 'sheet', 'no header row')),
        ],
    )
    def test_is_placed(self, old, new, place):
        """A fault has its row, its column and the value of the cell."""
        assert old in SHEET
        assert place in faults_of(SHEET.replace(old, new, 1))

    def test_all_at_once(self):
        """All faults of a sheet are reported together, in order."""
        text = SHEET.replace(';0;no', ';9;quizá').replace(';7', ';x')

        assert faults_of(text) == [
            (2, 'generation', 'x'),
            (4, 'importance', '9'),
            (4, 'repeatable', 'quizá'),
        ]

    def test_unknown_service_gets_the_closest_name(self):
        """The fault of an unknown service suggests the closest name."""
        found = parse_sheet(SHEET.encode(), ('pedido', 'precios')).error

        assert [fault.value for fault in found] == ['pedidos']
        assert "'pedido'" in found[0].remedy

    def test_sheet_of_yesterday(self):
        """A date row earlier than ``today`` is a fault."""
        text = f'date;2026-01-30\n{SHEET}'
        today = date(2026, 1, 31)

        assert faults_of(text, today=today) == [(1, 'date', '2026-01-30')]
        assert parse_sheet(text.encode(), today=date(2026, 1, 30)).is_ok()

    @pytest.mark.parametrize(
        'raw',
        [
            b'',
            'método'.encode('latin-1'),
            b'a;"b\n',
            b'x' * 2_000_000,
            SHEET.replace('Pedido\n', '"Pedido\n').encode(),
        ],
    )
    def test_no_sheet(self, raw):
        """Input that is not a sheet gives one fault of the entire sheet."""
        assert [fault.row for fault in parse_sheet(raw).error] == [0]

    @given(raw=st.binary(max_size=200) | st.text(max_size=99).map(str.encode))
    def test_noise(self, raw):
        """Arbitrary bytes give faults that can be formatted."""
        assert all(map(str, parse_sheet(raw).error))

    @given(
        start=st.integers(0, len(SHEET)),
        length=st.integers(1, 9),
        noise=st.text(max_size=5),
    )
    def test_damage(self, start, length, noise):
        """A damaged sheet is refused or gives a valid document."""
        text = SHEET[:start] + noise + SHEET[start + length :]
        parsed = parse_sheet(text.encode('utf-8', 'replace'))

        if parsed.is_ok():
            raw = encode_document(parsed.ok.document)
            assert decode_document(raw).ok == parsed.ok.document
