"""Measures how costs grow with size and updates docs/CAPACITY.md.

Fits a line to each series of measurements, rewrites the two tables of the
page and plots each series.
"""

from collections.abc import Sequence
from pathlib import Path
from typing import Final

import fire

from siskinproxy.measure.capacity_control import control_series
from siskinproxy.measure.capacity_packets import packet_series
from siskinproxy.measure.slopes import (
    Series,
    format_table,
    replace_section,
    write_plot,
)

__all__ = ('main', 'rewrite_page')

_PAGE: Final = 'CAPACITY.md'
_PLOTS: Final = 'capacity'


def rewrite_page(
    text: str, packet: Sequence[Series], control: Sequence[Series]
) -> str:
    """Replace the tables of the capacity page.

    Parameters
    ----------
    text : str
        Text of the page.
    packet, control : sequence of Series
        Measured series of the packet process and of the control process.

    Returns
    -------
    str
        Text of the page with new tables.
    """
    text = replace_section(text, 'packet slopes', format_table(packet))
    return replace_section(text, 'control slopes', format_table(control))


def _measure(docs: str = 'docs') -> None:
    """Measure all series, then write the plots and the page.

    Parameters
    ----------
    docs : str
        Directory of the page; the plots go into its subdirectory
        ``capacity``.
    """
    packet = list(packet_series())
    print(format_table(packet), flush=True)
    control = list(control_series())
    print(format_table(control))
    plots = Path(docs, _PLOTS)
    plots.mkdir(exist_ok=True)
    for item in (*packet, *control):
        write_plot(item, plots / f'{item.name}.svg')
    page = Path(docs, _PAGE)
    page.write_text(rewrite_page(page.read_text(), packet, control))


def main() -> None:
    """Run the measurement with the options of the command line."""
    fire.Fire(_measure)


if __name__ == '__main__':
    main()
