"""The simulator's adapter as a process: batches, bad input, restarts, and repeatable actions."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from typing import Any

import msgspec
import pytest

from merlinbay.decision.balancer import Balancer
from merlinbay.simhost import InstanceHost, WireLine
from merlinbay.site_settings import settings_from

CONF: dict[str, Any] = {
    "az": "a",
    "balancers": 2,
    "me": 0,
    "kinds": ["k"],
    "zones": ["a"],
    "unknown": 1,
    "classes": [
        {
            "name": "c",
            "aimUs": 100000,
            "deadlineUs": 1000000,
            "effect": "repeatable",
            "group": "all",
            "lateWorth": 0.0,
            "stream": False,
            "windowUs": 5000000,
            "worth": 2.0,
        }
    ],
    "discovery": "automatic",
    "extra": {"classStretch": [2.0], "classKind": [-1], "reportX0": "free slots", "tellsStart": True},
    "limits": {"cancelling": True, "sendCap": 3, "secondCopies": True},
    "report": {"fields": ["x0"], "how": "inline"},
    "safety": {"drainGraceUs": 1, "coldFrom": 0.3, "coldUs": 5, "tipMultiple": 2, "overloadForUs": 9},
}
ROWS = [
    {"worker": f"w{i}", "locality": "a", "hw": "k", "pack": 0, "state": "up", "share": 1, "readyAtUs": None}
    for i in range(4)
]


def create(name: str = "scheduler_0", conf: object = None) -> list[dict[str, object]]:
    """Return the lines that start an instance."""
    return [
        {"what": "Create", "scheduler": name, "salt": 5, "conf": CONF if conf is None else conf},
        {"what": "View", "scheduler": name, "rev": 1, "scope": "remembered", "rows": ROWS},
    ]


def request(number: int, name: str = "scheduler_0") -> dict[str, object]:
    """Return the line of a request."""
    return {
        "what": "Req",
        "scheduler": name,
        "msgId": number,
        "costUs": None,
        "attrs": 0,
        "needs": 1,
        "timeBudgetUs": 1000000,
        "team": None,
        "key": None,
        "tierClass": "c",
        "ramUnits": None,
        "new": [1],
    }


def batch(at: int, events: list[dict[str, object]]) -> str:
    """Return the lines of one closed batch."""
    lines = [{"what": "Mark", "wallUs": at}, *events, {"what": "Commit"}]
    return "".join(json.dumps(line) + "\n" for line in lines)


def run(text: str, seed: str = "0") -> subprocess.CompletedProcess[str]:
    """Run the adapter with a text as its input."""
    return subprocess.run(
        [sys.executable, "-B", "-m", "merlinbay.simhost"],
        input=text,
        text=True,
        check=False,
        capture_output=True,
        env={**os.environ, "PYTHONHASHSEED": seed},
    )


def replies(text: str, seed: str = "0") -> list[list[dict[str, Any]]]:
    """Return the replies to a text, each as a list of actions."""
    done = run(text, seed)
    assert done.returncode == 0, done.stderr
    decoded: list[list[dict[str, Any]]] = [[]]
    for line in done.stdout.splitlines():
        action = json.loads(line)
        decoded.append([]) if action["what"] == "Eor" else decoded[-1].append(action)
    return decoded[:-1]


def test_all_events_and_a_restart_are_accepted() -> None:
    """An empty batch, a start, requests, all event names, an unknown name and a restart in one batch."""
    instance = "scheduler_0"
    text = (
        batch(1, [])
        + batch(2, create())
        + batch(3, [request(1), {"what": "Novel", "scheduler": instance}])
        + batch(
            4,
            [
                {"what": "UpdateOf", "scheduler": instance, "msgId": 1, "attempt": 0, "kind": 1},
                {"what": "PingResult", "scheduler": instance, "worker": "w0", "status": 1, "gauge": ["?"]},
                {"what": "Mail", "scheduler": instance, "sender": 1, "body": "zz"},
                {"what": "Flowing", "scheduler": instance, "msgId": 9, "attempt": 0},
                {"what": "Reminder", "scheduler": instance, "ref": "none"},
                {"what": "Withdrawn", "scheduler": instance, "msgId": 77},
                {
                    "what": "Ended",
                    "scheduler": instance,
                    "msgId": 1,
                    "attempt": 0,
                    "worker": "w0",
                    "status": 1,
                    "costTimeUs": 5,
                    "last": True,
                    "gauge": [None, "x"],
                },
            ],
        )
        + batch(5, [{"what": "PowerOff", "scheduler": instance}, *create(), request(2)])
    )
    batch_replies = replies(text)
    assert len(batch_replies) == 5
    assert next(action["what"] for action in batch_replies[2]) == "Place"
    assert batch_replies[4][0]["msgId"] == 2


def test_actions_depend_on_no_hash_seed_and_no_other_instance() -> None:
    """Neither the hash order nor other instances in the same process change the actions."""
    names = ["scheduler_0", "scheduler_1"]

    def input_for(instances: list[str]) -> str:
        return batch(1, [line for instance in instances for line in create(instance)]) + "".join(
            batch(10 + number * 1000, [request(number, instance) for instance in instances])
            for number in range(60)
        )

    together = replies(input_for(names))
    assert together == replies(input_for(names), "77")
    for name in names:
        alone = replies(input_for([name]))
        assert alone == [[action for action in reply if action["scheduler"] == name] for reply in together]


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ("{nonsense\n", "line 1"),
        (batch(1, []) + '{"what":"Mark","wallUs":3}\n', "ends inside a batch"),
        ('{"what":"Mark","wallUs":1}\n[]\n', "line 2"),
        ('{"what":"Commit"}\n', "line 1"),
    ],
)
def test_bad_input_ends_with_status_2(text: str, line: str) -> None:
    """There is one message with the line number, and no partial reply."""
    done = run(text)
    assert done.returncode == 2
    assert line in done.stderr and len(done.stderr.splitlines()) == 1
    assert done.stdout.count("\n") == text.count("Commit") - text.startswith('{"what":"Commit"')


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("balancers", None),
        ("balancers", "four"),
        ("classes", []),
        ("limits.sendCap", None),
        ("safety.coldFrom", "low"),
        ("safety", None),
        ("limits.sendCap", 0),
    ],
)
def test_malformed_setting_is_a_fault_that_names_the_key(path: str, value: object) -> None:
    """The fault names the setting, and other instances go on."""
    conf = json.loads(json.dumps(CONF))
    *parents, last = path.split(".")
    table = conf
    for parent in parents:
        table = table[parent]
    table[last] = value
    result = replies(
        batch(1, [*create("scheduler_0", conf), *create("scheduler_1"), request(1, "scheduler_1")])
    )
    faults = [action for action in result[0] if action["what"] == "Fault"]
    assert [fault["scheduler"] for fault in faults] == ["scheduler_0"]
    assert last.replace("sendCap", "send").lower()[:4] in faults[0]["reasonText"].lower()
    assert any(action["what"] == "Place" for action in result[0])


def test_meaning_of_report_fields_is_read_from_the_settings() -> None:
    """The field with the free slots is found by the meaning that the settings give it."""
    assert settings_from(CONF).free_slots_field == "x0"
    assert settings_from({**CONF, "report": {"fields": ["x0"], "how": "off"}}).report_fields == []


def test_exception_becomes_a_fault(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """An exception is not hidden: its traceback goes to standard error, and the fault has one line."""
    lines = [msgspec.convert(line, WireLine) for line in [*create(), request(1)]]
    host = InstanceHost()
    host.reply(1, lines[:2])

    def fail(*_: object) -> list[object]:
        raise RuntimeError("first line\nsecond line")

    monkeypatch.setattr(Balancer, "handle", fail)
    reply = host.reply(2, lines[2:]).decode()
    assert '"what":"Fault"' in reply and "RuntimeError: first line" in reply and "second" not in reply
    assert "Traceback" in capsys.readouterr().err
