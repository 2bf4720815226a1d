"""Main program of the entry process, set up for the deployment platform.

The entry process is the process of an instance that receives the packets of
callers and forwards them to targets.

Signals are handled before the rest of the program is loaded, so this module
imports only what that needs.
"""

import os
from importlib import import_module

from siskinproxy.entry import startup

__all__ = ('SETTINGS_VARIABLE', 'main')

#: Environment variable that holds the path of the TOML settings file.
SETTINGS_VARIABLE = 'SISKINPROXY_BOOT'


def main() -> None:
    """Run the entry process until it receives a signal to stop."""
    startup.begin()
    program = import_module('siskinproxy.platform.entry_program')
    program.run(os.environ[SETTINGS_VARIABLE])


if __name__ == '__main__':
    main()
