"""Tests that the proof page matches the tests and the design page."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[3]
PAGE = (ROOT / 'docs' / 'PROOF.md').read_text()
DESIGN = (ROOT / 'docs' / 'design.md').read_text()
MATRIX = 'siskinproxy/measure/tests/test_fault_matrix.py'


def test_named_tests_exist():
    """Guards against a page that cites a test that was renamed or removed."""
    names = re.findall(r'`([\w/.]+)::(\w+)`', PAGE)
    assert len(names) > 20
    for path, test in names:
        source = (ROOT / (MATRIX if path == 'M' else path)).read_text()
        assert f'def {test}(' in source, (path, test)


def test_each_invariant_has_a_row():
    """Guards against a page that leaves out an invariant of the design."""
    section = DESIGN.split('### 1.2')[1].split('### 1.3')[0]
    invariants = re.findall(r'^\| `(\w+)` \|', section, re.MULTILINE)
    rows = re.findall(r'^\| `(\w+)` \|', PAGE, re.MULTILINE)
    assert len(invariants) == 10
    assert rows == invariants
