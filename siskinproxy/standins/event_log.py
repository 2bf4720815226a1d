"""Event log of the stand-ins: one line of key=value pairs per event."""

import sys
from typing import Final

import logbook

__all__ = ('EventLog', 'install_handler')

_FORMAT: Final = (
    'time={record.time:%Y-%m-%dT%H:%M:%S.%f} level={record.level_name} '
    'component={record.channel} {record.message}'
)


def install_handler() -> None:
    """Write the events of this process to standard error."""
    logbook.StreamHandler(
        sys.stderr,
        format_string=_FORMAT,
    ).push_application()


class EventLog:
    """Logger for events with fields.

    Parameters
    ----------
    component : str
        Name of the component in each line.
    """

    def __init__(self, component: str) -> None:
        self._logger = logbook.Logger(component)

    def event(self, name: str, **fields: object) -> None:
        """Log one event.

        Parameters
        ----------
        name : str
            Name of the event.
        **fields : object
            Further key=value pairs.
        """
        pairs = ' '.join(f'{key}={value}' for key, value in fields.items())
        self._logger.info(f'event={name} {pairs}'.rstrip())
