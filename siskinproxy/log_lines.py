"""Format of log lines and of other key=value output."""

import json
from typing import Any, Final

__all__ = ('TIME_FORMAT', 'format_pairs')

#: Format of the time of a log line, for `datetime.datetime.strftime`; UTC.
TIME_FORMAT: Final = '%Y-%m-%dT%H:%M:%S.%fZ'
#: Characters that make a value ambiguous unless it is quoted.
_QUOTED_CHARACTERS: Final = frozenset(' "=\\')


def format_pairs(pairs: dict[str, Any]) -> str:
    """Return pairs as ``key=value``, separated by spaces.

    Parameters
    ----------
    pairs : dict of str to object
        Keys and values. Empty values and values with spaces, quotes, equals
        signs, backslashes or control characters are written as JSON strings.

    Returns
    -------
    str
        One line without a line break.
    """
    return ' '.join(
        f'{key}={_format_value(value)}' for key, value in pairs.items()
    )


def _format_value(value: Any) -> str:
    if value is None or isinstance(value, bool):
        return str(value).lower()
    text = str(value)
    if not text.isprintable():
        return json.dumps(text)
    if not text or _QUOTED_CHARACTERS.intersection(text):
        return json.dumps(text, ensure_ascii=False)
    return text
