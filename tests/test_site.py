"""The whole path as separate processes."""

import pytest

from standins.demonstration import run_demonstration
from standins.site import run_site


@pytest.mark.processes
def test_the_whole_path_runs_as_separate_processes():
    with run_site(domains=["scot-a", "scot-b"]) as site:
        assert run_demonstration(site, keep=False) == 0
