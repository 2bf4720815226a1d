"""Tests of the linear fits, tables and plots of the capacity page."""

import pytest

from siskinproxy.errors import CapacityDataError
from siskinproxy.measure.capacity import rewrite_page
from siskinproxy.measure.slopes import (
    Series,
    fit_line,
    format_table,
    replace_section,
    write_plot,
)

LINE = Series(
    'line', 'a line', 'step', 'us', ((1, 5), (2, 7), (4, 11), (8, 19))
)
PAGE = (
    'before\n<!-- begin packet slopes -->\nold\n<!-- end packet slopes -->\n'
    'between\n<!-- begin control slopes -->\n<!-- end control slopes -->\nafter\n'
)


@pytest.mark.parametrize(
    ('points', 'slope', 'intercept', 'residual'),
    [
        (LINE.points, 2, 3, 0),
        (((1, 4), (2, 4), (3, 4), (4, 4)), 0, 4, 0),
        (((0, 0), (1, 0), (2, 0), (3, 10)), 3, -2, 0.4),
        (((0, 0), (1, 0), (2, 0), (3, 0)), 0, 0, 0),
    ],
    ids=['line', 'constant', 'bent', 'zero'],
)
def test_fit(points, slope, intercept, residual):
    """Guards against a wrong slope, intercept or residual of a fit."""
    fitted = fit_line(points)
    assert fitted == pytest.approx((slope, intercept, residual), abs=1e-9)


@pytest.mark.parametrize('sizes', [(1, 2, 3), (1, 2, 3, 3)])
def test_too_few_sizes_are_refused(sizes):
    """Guards against a fit whose residual is small for lack of points.

    With few sizes, the residual can be small although the cost is not linear.
    """
    with pytest.raises(CapacityDataError):
        fit_line([(size, 1) for size in sizes])


def test_table_shows_points_and_line():
    """Guards against a table row that omits the points behind its slope."""
    row = format_table([LINE]).splitlines()[2]
    assert '1: 5, 2: 7, 4: 11, 8: 19' in row
    assert '| 2 us per step | 3 | 0.0% |' in row
    assert 'capacity/line.svg' in row


def test_rewrite_changes_only_the_sections():
    """Guards against a rewrite that changes text outside the two tables.

    The rest of the page is written by hand and would be lost.
    """
    page = rewrite_page(PAGE, [LINE], [LINE])
    assert page.startswith('before\n<!-- begin packet slopes -->\n|')
    assert 'old' not in page
    assert '<!-- end packet slopes -->\nbetween\n' in page
    assert page.endswith('<!-- end control slopes -->\nafter\n')
    assert rewrite_page(page, [LINE], [LINE]) == page


def test_missing_marker_is_an_error():
    """Guards against a run that drops a table without an error.

    This happens if an edit of the page removes a marker line.
    """
    with pytest.raises(CapacityDataError):
        replace_section('no marker', 'packet slopes', '')


def test_plot_is_reproducible(tmp_path):
    """Guards against plot files that differ for the same points.

    Matplotlib writes a date and random ids into SVG files by default.
    """
    paths = [tmp_path / name for name in ('one.svg', 'two.svg')]
    for path in paths:
        write_plot(LINE, path)
    first, second = (path.read_text() for path in paths)
    assert first == second
    assert str(tmp_path) not in first
