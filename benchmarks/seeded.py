"""Starts a measurement that takes a seed."""

import argparse

import curio

from celeryward import logs


def main(measure, description):
    """Read the seed from the arguments and run.

    :param measure: async function of the seed.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument('--seed', type=int, default=1)
    logs.configure('CRITICAL', 'text')
    curio.run(measure, parser.parse_args().seed)
