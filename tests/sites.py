"""Helpers of the tests that run on a site of separate processes."""

from contextlib import contextmanager

from standins.demonstration import EXAMPLE
from standins.site import run_site, wait_until

DOMAINS = ["scot-a", "scot-b"]


@contextmanager
def open_site():
    """Start a site with two entry instances and wait until both answer lookups."""
    with run_site(domains=DOMAINS) as site:
        site.apply(EXAMPLE)
        wait_until(
            "lookups are answered by both gateways",
            lambda: all(
                site.call(n, "GET", "/formulas/1", kind="lookup").status == 200
                for n in range(2)
            ),
        )
        yield site


def look_up(caller, number):
    return caller.call("GET", f"/formulas/{number}", kind="lookup")
