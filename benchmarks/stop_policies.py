"""Runs the router program with another rule for what begins in a stop.

``python benchmarks/stop_policies.py POLICY`` replaces the rules of
:mod:`celeryward.completion` before it starts ``platform/run.py``.
"""

import pathlib
import runpy
import sys

ROOT = pathlib.Path(__file__).parent.parent
sys.path[:1] = [str(ROOT)]
sys.path.append(str(ROOT / 'platform'))

from celeryward import completion  # noqa: E402
from celeryward import registry  # noqa: E402

POLICIES = registry.Registry('stop policy')


@POLICIES.register('unchanged')
def change_nothing():
    """Begin what the product begins."""


@POLICIES.register('everything')
def begin_everything():
    """Begin whatever arrives while the router takes connections."""
    completion.CompletionCheck.fits_stop = lambda check, work: True


@POLICIES.register('nothing')
def begin_nothing():
    """Begin nothing from the first moment of the stop."""
    completion.CompletionCheck.fits_stop = lambda check, work: (
        not check.stop.is_stopping
    )


@POLICIES.register('deadline')
def begin_if_the_deadline_fits():
    """Begin only work whose deadline lies within the stop."""
    replace_rules(completion.fits_certainly)


@POLICIES.register('usual')
def begin_if_it_usually_fits():
    """Begin all work that usually ends within the stop."""
    replace_rules(completion.fits_usually)


def replace_rules(rule):
    """Let one rule take the place of all."""
    for name in completion.RULES.entries:
        completion.RULES.entries[name] = rule


if __name__ == '__main__':
    POLICIES.get(sys.argv[1])()
    runpy.run_path(str(ROOT / 'platform' / 'run.py'), run_name='__main__')
