"""The demonstration on a site of separate processes."""

import pytest

from standins.demonstration import run_demonstration
from standins.site import run_site


@pytest.mark.processes
def test_demonstration_passes_on_separate_processes():
    with run_site(domains=["scot-a", "scot-b"]) as site:
        assert run_demonstration(site, keep=False) == 0
