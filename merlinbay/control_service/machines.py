"""Addresses of the control machines, from the process's file and from the replicated configuration."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from merlinbay.control.entries import KeyValue
from merlinbay.control_service.schema import ControlMachine
from merlinbay.control_service.settings import MachineSection

MACHINE_KEY_PREFIX = "machines/"


class MachineDirectory:
    """Addresses by name; an entry of the configuration takes precedence over the file."""

    def __init__(
        self, from_file: dict[str, MachineSection], get_key: Callable[[str], KeyValue | None] | None = None
    ) -> None:
        self._from_file = from_file
        self.get_key = get_key

    def _from_log(self, name: str) -> ControlMachine | None:
        found = self.get_key(MACHINE_KEY_PREFIX + name) if self.get_key is not None else None
        if found is None or found.value is None:
            return None
        try:
            return msgspec.json.decode(found.value, type=ControlMachine)
        except msgspec.MsgspecError:
            return None  # written by a newer program: the file's address is used

    def address_of(self, name: str) -> str:
        """Return the address for voters, relays and followers; empty if unknown."""
        machine = self._from_log(name) or self._from_file.get(name)
        return machine.address if machine is not None else ""

    def operator_of(self, name: str) -> str:
        """Return the address of the operators' calls; empty if unknown."""
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
