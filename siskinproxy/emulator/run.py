"""Comparison of policies on days: ``make experiment SEED=n``.

Prints one line of JSON for each day and policy, and writes a plot of the
windows of each day. The same seed gives the same result.
"""

import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Final

import fire
import matplotlib as mpl
import msgspec
from matplotlib.figure import Figure

from siskinproxy.emulator.day import read_day
from siskinproxy.emulator.policies import POLICIES
from siskinproxy.emulator.world import play
from siskinproxy.emulator.worth import WINDOW_S, DayWorth, find_worth
from siskinproxy.errors import SettingsError
from siskinproxy.settings_file import run_or_exit

__all__ = ('DAYS', 'PolicyResult', 'compare', 'main')

#: Folder of the days that come with the tool.
DAYS: Final = Path(__file__).parent / 'days'
_WORKERS: Final = 3
_SIZE_INCHES: Final = (6.4, 2.8)


class PolicyResult(msgspec.Struct, frozen=True):
    """Result of one policy on one day.

    Parameters
    ----------
    day, policy : str
        Names.
    seed : int
        Seed of all randomness.
    result : DayWorth
        What callers got.
    """

    day: str
    policy: str
    seed: int
    result: DayWorth


def compare(path: Path, policy: str, seed: int) -> PolicyResult:
    """Play a day under a policy.

    Parameters
    ----------
    path : Path
        Day.
    policy : str
        Key of `POLICIES`.
    seed : int
        Seed of all randomness.

    Returns
    -------
    PolicyResult
        Result.
    """
    day = read_day(path)
    outcomes = play(day, POLICIES[policy], seed).outcomes
    return PolicyResult(path.stem, policy, seed, find_worth(day, outcomes))


def _compare_case(case: tuple[Path, str, int]) -> PolicyResult:
    return compare(*case)


def _write_plot(results: list[PolicyResult], path: Path) -> None:
    with mpl.rc_context({'svg.hashsalt': path.stem, 'svg.fonttype': 'none'}):
        figure = Figure(figsize=_SIZE_INCHES)
        axes = figure.add_subplot()
        for each in results:
            windows = each.result.windows
            times = [WINDOW_S * number for number in range(len(windows))]
            axes.step(times, windows, where='post', label=each.policy)
        axes.set_xlabel('time in s')
        axes.set_ylabel('share of the worth')
        axes.set_title(path.stem, fontsize=9)
        axes.legend(fontsize=7)
        figure.tight_layout()
        figure.savefig(path, format='svg', metadata={'Date': None})


def _split(names: str | tuple[str, ...]) -> tuple[str, ...]:
    # The command line parser turns lists with commas into tuples.
    if isinstance(names, tuple):
        return names
    return tuple(name for name in names.split(',') if name)


def _run(
    seed: int = 1, days: str = '', policies: str = '', plots: str = ''
) -> None:
    """Compare policies on days.

    Parameters
    ----------
    seed : int
        Seed of all randomness.
    days : str
        Files, or names of days that come with the tool, separated by commas;
        all of those by default.
    policies : str
        Names separated by commas; all by default.
    plots : str
        Folder for a plot of each day; none by default.
    """
    paths = [_find_day(name) for name in _split(days)]
    paths = paths or sorted(DAYS.glob('*.toml'))
    chosen = _split(policies) or tuple(POLICIES)
    unknown = sorted(set(chosen) - POLICIES.keys())
    if unknown:
        known = f'one of {", ".join(POLICIES)}'
        raise SettingsError('arguments', 'policies', known, unknown[0])
    cases = [(path, policy, seed) for path in paths for policy in chosen]
    with ProcessPoolExecutor(_WORKERS) as pool:
        results = []
        for found in pool.map(_compare_case, cases):
            sys.stdout.write(f'{msgspec.json.encode(found).decode()}\n')
            sys.stdout.flush()
            results.append(found)
    if plots:
        folder = Path(plots)
        folder.mkdir(parents=True, exist_ok=True)
        for path in paths:
            of_day = [each for each in results if each.day == path.stem]
            _write_plot(of_day, folder / f'{path.stem}.svg')


def _find_day(name: str) -> Path:
    own = DAYS / f'{name}.toml'
    path = own if own.exists() else Path(name)
    # A wrong file is reported here and not by a worker.
    read_day(path)
    return path


def main() -> None:
    """Entry point of ``python -m siskinproxy.emulator.run``."""
    run_or_exit(fire.Fire, _run)


if __name__ == '__main__':
    main()
