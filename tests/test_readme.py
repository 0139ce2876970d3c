"""The README's example runs as printed."""

import re
from pathlib import Path

import pytest

README = Path(__file__).parent.parent / "README.md"


def test_example(capsys: pytest.CaptureFixture[str]) -> None:
    """The example prints what the README says it prints."""
    found = re.search(r"```python\n(.*?)```", README.read_text(), re.S)
    assert found is not None
    exec(compile(found.group(1), "README.md", "exec"), {})
    assert capsys.readouterr().out == "send request 1\n"
