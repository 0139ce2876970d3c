"""The control machines by name: those of the file, and those that were added to the log since."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from merlinbay.control.entries import KeyValue
from merlinbay.control_service.schema import ControlMachine
from merlinbay.control_service.settings import MachineSection

PREFIX = "machines/"


class Machines:
    """Looks addresses up; what the log says is newer than the file."""

    def __init__(
        self, from_file: dict[str, MachineSection], get: Callable[[str], KeyValue | None] | None = None
    ) -> None:
        self._from_file = from_file
        self.get = get

    def _from_log(self, name: str) -> ControlMachine | None:
        found = self.get(PREFIX + name) if self.get is not None else None
        if found is None or found.value is None:
            return None
        try:
            return msgspec.json.decode(found.value, type=ControlMachine)
        except msgspec.MsgspecError:
            return None  # written by a newer program: the file's address may still do

    def address_of(self, name: str) -> str:
        """Return where voters, relays and followers reach a machine; empty: not known."""
        machine = self._from_log(name) or self._from_file.get(name)
        return machine.address if machine is not None else ""

    def operator_of(self, name: str) -> str:
        """Return where its operators' calls are taken; empty: not known."""
        machine = self._from_log(name) or self._from_file.get(name)
        return machine.operator if machine is not None else ""

    def operators(self, more: tuple[str, ...] = ()) -> dict[str, str]:
        """Return the operators' addresses of all machines of the file, and of ``more``."""
        names = dict.fromkeys([*self._from_file, *more])
        return {name: operator for name in names if (operator := self.operator_of(name))}

    def voters_operators(self) -> list[str]:
        """Return the operators' addresses of the file's voters."""
        return [
            machine.operator for machine in self._from_file.values() if machine.tier == 0 and machine.operator
        ]
