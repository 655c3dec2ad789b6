"""Baselines of the benchmarks, which replace parts of the product."""

import importlib
import inspect

import pytest

MODULES = ('crashes', 'membership', 'overload_path', 'silence', 'withdrawal')


def baselines():
    """Yield the classes that call themselves baselines and replace a class."""
    for name in MODULES:
        module = importlib.import_module(f'benchmarks.{name}')
        for found in vars(module).values():
            is_baseline = (
                inspect.isclass(found)
                and found.__module__ == module.__name__
                and (found.__doc__ or '').startswith('Baseline')
            )
            if is_baseline:
                yield found


class TestOverrides:
    """Guards against baselines that replace nothing and equal the product."""

    @pytest.mark.parametrize('baseline', tuple(baselines()))
    def test_replaced_methods_exist_in_the_product(self, baseline):
        """Methods were renamed; the baselines of withdrawals weren't."""
        assert baseline.__bases__ != (object,)
        replaced = {name for name in vars(baseline) if name[0] != '_'}
        assert replaced
        for name in replaced:
            assert hasattr(super(baseline, baseline), name)
