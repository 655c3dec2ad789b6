"""The command line."""

import sys

import curio
import fire

import celeryward
from celeryward import daemon
from celeryward import errors
from celeryward import logs
from celeryward.operators import demo
from celeryward import settings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4


class Commands:
    """Model-aware router for versions and cascades of language models."""

    def daemon(self, file):
        """Run a daemon until SIGTERM.

        :param str file: YAML settings file.
        """
        checked = settings.load(file)
        logs.configure(checked.log.level, checked.log.format)
        cut_off = curio.run(daemon.Daemon(checked).run)
        return EXIT_FAILED if cut_off else EXIT_OK

    def check(self, file):
        """Check a settings file and list every fault.

        :param str file: YAML settings file.
        """
        settings.load(file)
        print(f'{file}: ok')

    def demo(self):
        """Run the whole path in one process, with stand-ins."""
        logs.configure('ERROR', 'text')
        demo.run()

    def version(self):
        """Print the version."""
        print(celeryward.__version__)


def exit_code(error):
    """Return the exit code for an error."""
    if isinstance(error, errors.Conflict):
        return EXIT_CONFLICT
    if isinstance(error, (errors.PlatformError, errors.OutcomeUnknown)):
        return EXIT_UNAVAILABLE
    if isinstance(error, errors.BadInput):
        return EXIT_BAD_INPUT
    return EXIT_FAILED


def main(arguments=None):
    """Run one command and exit with its code."""
    arguments = sys.argv[1:] if arguments is None else arguments
    if arguments == ['--version']:
        arguments = ['version']
    try:
        # A command returns its exit code; fire must not print it.
        code = fire.Fire(
            Commands, arguments, name='celeryward', serialize=lambda _: None
        )
    except errors.CelerywardError as error:
        print(error.message, file=sys.stderr)
        sys.exit(exit_code(error))
    sys.exit(code if isinstance(code, int) else EXIT_OK)
