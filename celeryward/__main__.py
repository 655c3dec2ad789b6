"""Runs the command-line interface: ``python -m celeryward``."""

from celeryward.operators import cli

if __name__ == '__main__':
    cli.main()
