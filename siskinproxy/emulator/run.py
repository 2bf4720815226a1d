"""Comparison of target selection policies: ``make experiment SEED=n``.

Emulates each scenario ("day") under each policy and prints one line of JSON
for each pair, with the score. With ``--plots`` it also writes one plot for
each day, which shows the score over time. The same seed gives the same result.
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
from siskinproxy.emulator.emulation import emulate
from siskinproxy.emulator.policies import POLICIES
from siskinproxy.emulator.scoring import WINDOW_S, DayScore, score_day
from siskinproxy.errors import SettingsError
from siskinproxy.settings_file import run_or_exit

__all__ = ('DAYS_FOLDER', 'PolicyResult', 'score_policy', 'main')

#: Folder of the scenarios that come with the tool.
DAYS_FOLDER: Final = Path(__file__).parent / 'days'
_WORKER_PROCESSES: Final = 3
_PLOT_SIZE_INCHES: Final = (6.4, 2.8)


class PolicyResult(msgspec.Struct, frozen=True):
    """Score of one policy in one scenario.

    Parameters
    ----------
    day, policy : str
        Names of the scenario and of the policy.
    seed : int
        Seed of all random choices.
    result : DayScore
        Score.
    """

    day: str
    policy: str
    seed: int
    result: DayScore


def score_policy(path: Path, policy: str, seed: int) -> PolicyResult:
    """Emulate a scenario under a policy and compute the score.

    Parameters
    ----------
    path : Path
        TOML file of the scenario.
    policy : str
        Key of `POLICIES`.
    seed : int
        Seed of all random choices.

    Returns
    -------
    PolicyResult
        Score.
    """
    day = read_day(path)
    outcomes = emulate(day, POLICIES[policy], seed).outcomes
    return PolicyResult(path.stem, policy, seed, score_day(day, outcomes))


def _score_case(case: tuple[Path, str, int]) -> PolicyResult:
    return score_policy(*case)


def _write_plot(results: list[PolicyResult], path: Path) -> None:
    with mpl.rc_context({'svg.hashsalt': path.stem, 'svg.fonttype': 'none'}):
        figure = Figure(figsize=_PLOT_SIZE_INCHES)
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
    # fire parses an argument with commas as a tuple.
    if isinstance(names, tuple):
        return names
    return tuple(name for name in names.split(',') if name)


def _run(
    seed: int = 1, days: str = '', policies: str = '', plots: str = ''
) -> None:
    """Compare target selection policies on emulated days.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    days : str
        TOML files, or names of days that come with the tool, separated by
        commas; by default all days that come with the tool.
    policies : str
        Names of policies, separated by commas; all by default.
    plots : str
        Folder for one plot (SVG) for each day; no plots by default.
    """
    paths = [_find_day(name) for name in _split(days)]
    paths = paths or sorted(DAYS_FOLDER.glob('*.toml'))
    chosen = _split(policies) or tuple(POLICIES)
    unknown = sorted(set(chosen) - POLICIES.keys())
    if unknown:
        known = f'one of {", ".join(POLICIES)}'
        raise SettingsError('arguments', 'policies', known, unknown[0])
    cases = [(path, policy, seed) for path in paths for policy in chosen]
    with ProcessPoolExecutor(_WORKER_PROCESSES) as pool:
        results = []
        for found in pool.map(_score_case, cases):
            sys.stdout.write(f'{msgspec.json.encode(found).decode()}\n')
            sys.stdout.flush()
            results.append(found)
    if plots:
        folder = Path(plots)
        folder.mkdir(parents=True, exist_ok=True)
        for path in paths:
            day_results = [each for each in results if each.day == path.stem]
            _write_plot(day_results, folder / f'{path.stem}.svg')


def _find_day(name: str) -> Path:
    bundled = DAYS_FOLDER / f'{name}.toml'
    path = bundled if bundled.exists() else Path(name)
    # Report an invalid file here, before a worker process reads it.
    read_day(path)
    return path


def main() -> None:
    """Entry point of ``python -m siskinproxy.emulator.run``."""
    run_or_exit(fire.Fire, _run)


if __name__ == '__main__':
    main()
