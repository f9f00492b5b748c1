"""Generated pages are current, and links between pages resolve."""

import re
from pathlib import Path

import pytest

from tools import log_page, settings_page

ROOT = Path(__file__).parent.parent
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
LINK = re.compile(r"\]\((?!https?:|#)([^)#]+)[^)]*\)")


@pytest.mark.parametrize("page", [settings_page, log_page], ids=lambda p: p.__name__)
def test_generated_pages_are_current(page):
    assert page.PAGE.read_text(encoding="utf-8") == page.build_page(), "run `make docs`"


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_between_pages_resolve(page):
    links = LINK.findall(page.read_text(encoding="utf-8"))
    missing = [link for link in links if not (page.parent / link).exists()]
    assert missing == []


def test_proofs_name_tests_that_exist():
    text = (ROOT / "docs" / "proofs.md").read_text(encoding="utf-8")
    named = set(
        re.findall(r"`(tests/[a-z_/]+\.(?:py|feature))(?:::([a-z_0-9]+))?`", text)
    )
    assert named
    for path, test in sorted(named):
        source = (ROOT / path).read_text(encoding="utf-8")
        assert not test or f"def {test}(" in source, (path, test)


def test_index_links_to_every_page():
    index = ROOT / "docs" / "index.md"
    links = LINK.findall(index.read_text(encoding="utf-8"))
    linked = {(index.parent / link).resolve() for link in links}
    pages = set(PAGES) - {index, ROOT / "README.md"}
    assert pages - linked == set()
