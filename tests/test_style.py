"""The module stays short, and knows no deployment and no wire."""

from pathlib import Path

RULES = Path(__file__).parent.parent / "merlinbay" / "decision" / "rules.py"
FOREIGN = [
    "jedalnicek",
    "teorica",
    "derwent",
    "tas-signing",
    "bratislava",
    "kosice",
    "bilbao",
    "hobart",
    "allergen",
    "kitchen",
    "verify",
    "sign-release",
    "next-question",
    "practice-set",
    "menu-",
    "gen-a",
    "PushBack",
    "CallOff",
    "EndFailed",
    "msgId",
    "scheduler_",
    "wallUs",
    "plaines",
    "lisboa",
]


def test_length() -> None:
    """Under 500 lines that are not blank, none over 110 characters."""
    lines = RULES.read_text().splitlines()
    assert sum(bool(line.strip()) for line in lines) < 500
    assert max(map(len, lines)) <= 110


def test_knows_no_deployment_and_no_wire() -> None:
    """No name of a deployment, class, place or wire message occurs."""
    text = RULES.read_text().lower()
    assert [word for word in FOREIGN if word.lower() in text] == []
    assert "import msgspec" not in text and "simhost" not in text


def test_interface_is_named_at_the_top() -> None:
    """A reader finds the interface at once."""
    assert "``settings.py``, ``events.py`` and ``actions.py``" in RULES.read_text().splitlines()[0]
