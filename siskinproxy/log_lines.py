"""Format of log lines: key=value pairs."""

import json
from typing import Any, Final

__all__ = ('TIME_FORMAT', 'format_pairs')

#: Format of the time of a line.
TIME_FORMAT: Final = '%Y-%m-%dT%H:%M:%S.%fZ'
_QUOTED: Final = frozenset(' "=\\')


def format_pairs(pairs: dict[str, Any]) -> str:
    """Format pairs as ``key=value`` separated by spaces.

    Parameters
    ----------
    pairs : dict of str to object
        Keys and values. Empty values and values with spaces, quotes, equals
        signs or control characters are quoted as JSON strings.

    Returns
    -------
    str
        One line.
    """
    return ' '.join(f'{key}={_format(value)}' for key, value in pairs.items())


def _format(value: Any) -> str:
    if value is None or isinstance(value, bool):
        return str(value).lower()
    text = str(value)
    if not text.isprintable():
        return json.dumps(text)
    if not text or _QUOTED.intersection(text):
        return json.dumps(text, ensure_ascii=False)
    return text
