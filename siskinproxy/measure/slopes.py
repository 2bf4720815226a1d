"""Linear fits of measurements, and their tables and plots."""

from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Final, NamedTuple

import matplotlib as mpl
import numpy as np
from matplotlib.figure import Figure

from siskinproxy.errors import CapacityDataError

__all__ = (
    'Fit',
    'Series',
    'fit_line',
    'format_table',
    'replace_section',
    'write_plot',
)

#: With fewer different sizes, the residual says little about the fit.
MIN_POINTS: Final = 4

#: Numbers from this one on are printed without decimals.
_MIN_WHOLE_NUMBER: Final = 1000

_WIDTH_INCHES: Final = 4.2
_HEIGHT_INCHES: Final = 2.8


class Series(NamedTuple):
    """Measured points of one plot and table row.

    Parameters
    ----------
    name : str
        Name of the plot file without its suffix.
    title : str
        Title of the plot and label of the table row.
    size : str
        What the size counts, in the singular.
    unit : str
        Unit of the values.
    points : tuple of (float, float)
        Size and value.
    """

    name: str
    title: str
    size: str
    unit: str
    points: tuple[tuple[float, float], ...]


class Fit(NamedTuple):
    """Least-squares line through measured points.

    Parameters
    ----------
    slope : float
        Increase of the value for each unit of size.
    intercept : float
        Value at size 0.
    residual : float
        Largest absolute deviation of a point from the line, relative to the
        largest absolute value.
    """

    slope: float
    intercept: float
    residual: float


def fit_line(points: Sequence[tuple[float, float]]) -> Fit:
    """Fit a least-squares line to points.

    Parameters
    ----------
    points : sequence of (float, float)
        Size and value; at least four different sizes.

    Returns
    -------
    Fit
        The line and its residual.

    Raises
    ------
    CapacityDataError
        There are fewer than four different sizes.
    """
    sizes = np.array([point[0] for point in points], dtype=float)
    observed = np.array([point[1] for point in points], dtype=float)
    if len(set(sizes)) < MIN_POINTS:
        raise CapacityDataError(
            f'{len(set(sizes))} different sizes, need at least {MIN_POINTS}'
        )
    slope, intercept = np.polyfit(sizes, observed, 1)
    distance = np.max(np.abs(observed - (slope * sizes + intercept)))
    largest = np.max(np.abs(observed)) or 1
    return Fit(float(slope), float(intercept), float(distance / largest))


def format_table(series: Iterable[Series]) -> str:
    """Return a Markdown table with the points and the fit of each series."""
    lines = [
        '| figure | points (size: value) | slope | at size 0 | residual |',
        '| --- | --- | --- | --- | --- |',
    ]
    for item in series:
        line = fit_line(item.points)
        points = ', '.join(
            f'{size:g}: {_format_number(value)}' for size, value in item.points
        )
        lines.append(
            f'| [{item.title}](capacity/{item.name}.svg), {item.unit} '
            f'| {points} '
            f'| {_format_number(line.slope)} {item.unit} per {item.size} '
            f'| {_format_number(line.intercept)} '
            f'| {line.residual:.1%} |',
        )
    return '\n'.join(lines)


def write_plot(item: Series, path: Path) -> None:
    """Plot the points and the fit of a series as SVG.

    The file contains no date and no random ids: the same series gives the
    same bytes.
    """
    line = fit_line(item.points)
    with mpl.rc_context({'svg.hashsalt': item.name, 'svg.fonttype': 'none'}):
        figure = Figure(figsize=(_WIDTH_INCHES, _HEIGHT_INCHES))
        axes = figure.add_subplot()
        sizes, observed = zip(*item.points, strict=True)
        axes.plot(sizes, observed, 'o')
        ends = (0, max(sizes))
        axes.plot(ends, [line.slope * end + line.intercept for end in ends])
        axes.set_title(item.title, fontsize=9)
        axes.set_xlabel(item.size)
        axes.set_ylabel(item.unit)
        figure.tight_layout()
        figure.savefig(path, format='svg', metadata={'Date': None})


def replace_section(text: str, marker: str, body: str) -> str:
    """Replace the text between two marker lines of a page.

    Parameters
    ----------
    text : str
        Text of the page.
    marker : str
        Name within ``<!-- begin NAME -->`` and ``<!-- end NAME -->``.
    body : str
        New text between the markers.

    Returns
    -------
    str
        Text of the changed page.

    Raises
    ------
    CapacityDataError
        The page lacks the begin marker, or the end marker after it.
    """
    begin, end = f'<!-- begin {marker} -->', f'<!-- end {marker} -->'
    before, begin_marker, rest = text.partition(begin)
    _, end_marker, after = rest.partition(end)
    if not (begin_marker and end_marker):
        raise CapacityDataError(f'page lacks {begin} or, after it, {end}')
    return f'{before}{begin}\n{body}\n{end}{after}'


def _format_number(number: float) -> str:
    if abs(number) >= _MIN_WHOLE_NUMBER:
        return f'{number:.0f}'
    return f'{number:.3g}'
