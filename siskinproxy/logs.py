"""Event logs: one line of key=value pairs for each event, on stderr.

Modules log through an `EventLog`; a process calls `set_up_logs` at its start.
"""

import sys
from typing import Any, TextIO

import logbook

from siskinproxy.log_lines import TIME_FORMAT, format_pairs

__all__ = ('EventLog', 'format_pairs', 'set_up_logs')


class EventLog:
    """Log of one component.

    Parameters
    ----------
    component : str
        Name of the process or module that logs.
    **context : object
        Keys and values that are added to every line, such as ``instance``.
    """

    def __init__(self, component: str, /, **context: Any) -> None:
        self._logger = logbook.Logger(component)
        self._context = context

    def event(self, name: str, /, **pairs: Any) -> None:
        """Log an event of normal operation.

        Parameters
        ----------
        name : str
            Name of the event, such as ``config_applied``.
        **pairs : object
            Further keys and values.
        """
        self._log(logbook.INFO, name, pairs)

    def warning(self, name: str, /, **pairs: Any) -> None:
        """Log an event that operators may have to act on.

        Parameters
        ----------
        name : str
            Name of the event.
        **pairs : object
            Further keys and values.
        """
        self._log(logbook.WARNING, name, pairs)

    def error(self, name: str, /, **pairs: Any) -> None:
        """Log a failure.

        Parameters
        ----------
        name : str
            Name of the event.
        **pairs : object
            Further keys and values.
        """
        self._log(logbook.ERROR, name, pairs)

    def _log(self, level: int, name: str, pairs: dict[str, Any]) -> None:
        # Without further arguments, logbook does not replace braces in the line.
        line = format_pairs({'event': name, **self._context, **pairs})
        self._logger.log(level, line)


def set_up_logs(
    stream: TextIO | None = None,
    level: str = 'INFO',
) -> logbook.StreamHandler:
    """Write the events of all logs of the process to a stream.

    Parameters
    ----------
    stream : file, optional
        Stream to write to; stderr by default.
    level : str
        Lowest level that is written.

    Returns
    -------
    logbook.StreamHandler
        Installed handler; its ``pop_application`` method removes it.
    """
    handler = logbook.StreamHandler(
        sys.stderr if stream is None else stream,
        level=level,
    )
    handler.formatter = _format_record
    handler.push_application()
    return handler


def _format_record(record: logbook.LogRecord, handler: Any) -> str:
    header = {
        'time': record.time.strftime(TIME_FORMAT),
        'level': record.level_name.lower(),
        'component': record.channel,
    }
    return f'{format_pairs(header)} {record.message}'
