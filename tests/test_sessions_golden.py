"""Golden files of whole sessions."""

import curio

from celeryward.operators import demo


class TestDemoSession:
    """Guards the wire formats, routes and bills of the whole path."""

    def test_session_matches_golden_file(self, snapshot):
        lines = []
        curio.run(demo.run_examples, lines.append)
        assert '\n'.join(lines) == snapshot
