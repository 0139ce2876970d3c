"""Every file and folder that a page names exists: a reader at night is not sent to one that is gone."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
FOLDERS = ("merlinbay", "tests", "bench", "docs", "deploy", ".ci")
PAGES = [
    page
    for page in [*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md"), *(ROOT / "deploy").rglob("*.md")]
    if page.name != "CHANGELOG.md"  # it tells of files as they were called then
]
NAMED = re.compile(r"`((?:\w[\w.-]*/)*[\w.-]+\.(?:py|md|toml|json|svg|db))`|`((?:\w+/)+)`")
LINKED = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
ABSENT = {"syncobj.py"}  # a module of another project
PATHS = [f"/{path.relative_to(ROOT)}" for folder in FOLDERS for path in (ROOT / folder).rglob("*")]
PATHS += [f"/{path.name}" for path in ROOT.iterdir()]


def exists(name: str) -> bool:
    """Tell whether a file or folder is there whose path is this, or ends with it."""
    wanted = f"/{name.rstrip('/')}"
    return name in ABSENT or any(path.endswith(wanted) for path in PATHS)


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_what_a_page_names_exists(page: Path) -> None:
    """Paths in code marks, and links."""
    text = page.read_text()
    named = [file or folder for file, folder in NAMED.findall(text)]
    missing = [name for name in named if not exists(name)]
    missing += [link for link in LINKED.findall(text) if not (page.parent / link).exists()]
    assert missing == []
