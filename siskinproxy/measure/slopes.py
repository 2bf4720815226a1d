"""Lines through measured points, their plots and tables."""

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

#: A line through fewer sizes says little about its residual.
MIN_POINTS: Final = 4

#: Numbers of this size and above are shown without decimals.
_SHOWN_WHOLE: Final = 1000

_WIDTH_INCHES: Final = 4.2
_HEIGHT_INCHES: Final = 2.8


class Series(NamedTuple):
    """Measured points of one figure.

    Parameters
    ----------
    name : str
        Name of the file and of the table's row.
    title : str
        What was measured.
    size : str
        What the size counts.
    unit : str
        Unit of the measured value.
    points : tuple of (float, float)
        Size and value.
    """

    name: str
    title: str
    size: str
    unit: str
    points: tuple[tuple[float, float], ...]


class Fit(NamedTuple):
    """Line of least squares.

    Parameters
    ----------
    slope : float
        Unit for each unit of size.
    intercept : float
        Value at size 0.
    residual : float
        Largest distance of a point from the line, relative to the largest
        value.
    """

    slope: float
    intercept: float
    residual: float


def fit_line(points: Sequence[tuple[float, float]]) -> Fit:
    """Return the line of least squares through points.

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
    found = np.array([point[1] for point in points], dtype=float)
    if len(set(sizes)) < MIN_POINTS:
        raise CapacityDataError(f'sizes={len(set(sizes))} least={MIN_POINTS}')
    slope, intercept = np.polyfit(sizes, found, 1)
    distance = np.max(np.abs(found - (slope * sizes + intercept)))
    largest = np.max(np.abs(found)) or 1
    return Fit(float(slope), float(intercept), float(distance / largest))


def format_table(series: Iterable[Series]) -> str:
    """Return a Markdown table with the points and the line of each series."""
    lines = [
        '| figure | points (size: value) | slope | at size 0 | residual |',
        '| --- | --- | --- | --- | --- |',
    ]
    for item in series:
        line = fit_line(item.points)
        points = ', '.join(
            f'{size:g}: {_number(value)}' for size, value in item.points
        )
        lines.append(
            f'| [{item.title}](capacity/{item.name}.svg), {item.unit} '
            f'| {points} '
            f'| {_number(line.slope)} {item.unit} per {item.size} '
            f'| {_number(line.intercept)} '
            f'| {line.residual:.1%} |',
        )
    return '\n'.join(lines)


def write_plot(item: Series, path: Path) -> None:
    """Write points and line of a series as SVG without time and machine."""
    line = fit_line(item.points)
    with mpl.rc_context({'svg.hashsalt': item.name, 'svg.fonttype': 'none'}):
        figure = Figure(figsize=(_WIDTH_INCHES, _HEIGHT_INCHES))
        axes = figure.add_subplot()
        sizes, found = zip(*item.points, strict=True)
        axes.plot(sizes, found, 'o')
        ends = (0, max(sizes))
        axes.plot(ends, [line.slope * end + line.intercept for end in ends])
        axes.set_title(item.title, fontsize=9)
        axes.set_xlabel(item.size)
        axes.set_ylabel(item.unit)
        figure.tight_layout()
        figure.savefig(path, format='svg', metadata={'Date': None})


def replace_section(text: str, marker: str, body: str) -> str:
    """Replace what is between two marker lines of a page.

    Parameters
    ----------
    text : str
        The page.
    marker : str
        Name within ``<!-- begin NAME -->`` and ``<!-- end NAME -->``.
    body : str
        New lines between the markers.

    Returns
    -------
    str
        The changed page.

    Raises
    ------
    CapacityDataError
        The page lacks one of the markers.
    """
    begin, end = f'<!-- begin {marker} -->', f'<!-- end {marker} -->'
    before, found_begin, rest = text.partition(begin)
    _, found_end, after = rest.partition(end)
    if not (found_begin and found_end):
        raise CapacityDataError(f'marker={marker}')
    return f'{before}{begin}\n{body}\n{end}{after}'


def _number(number: float) -> str:
    if abs(number) >= _SHOWN_WHOLE:
        return f'{number:.0f}'
    return f'{number:.3g}'
