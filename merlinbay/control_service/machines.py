"""Addresses of the control machines, read from the process's file and from the replicated configuration."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from merlinbay.control.entries import KeyValue
from merlinbay.control_service.schema import ControlMachine
from merlinbay.control_service.settings import MachineSection

MACHINE_KEY_PREFIX = "machines/"


class MachineDirectory:
    """Addresses by machine name. An entry in the configuration takes precedence over the file."""

    def __init__(
        self, from_file: dict[str, MachineSection], get_key: Callable[[str], KeyValue | None] | None = None
    ) -> None:
        self._from_file = from_file
        self.get_key = get_key

    def _from_log(self, name: str) -> ControlMachine | None:
        entry = self.get_key(MACHINE_KEY_PREFIX + name) if self.get_key is not None else None
        if entry is None or entry.value is None:
            return None
        try:
            return msgspec.json.decode(entry.value, type=ControlMachine)
        except msgspec.MsgspecError:
            return None  # the value was written by a newer version; use the file's address

    def address_of(self, name: str) -> str:
        """Return the address that voters, relays and followers connect to; empty if unknown."""
        machine = self._from_log(name) or self._from_file.get(name)
        return machine.address if machine is not None else ""

    def operator_of(self, name: str) -> str:
        """Return the address that answers a machine's operators' calls; empty if unknown."""
        machine = self._from_log(name) or self._from_file.get(name)
        return machine.operator if machine is not None else ""

    def operators(self, other_names: tuple[str, ...] = ()) -> dict[str, str]:
        """Return the known operators' addresses of all machines in the file and of ``other_names``."""
        names = dict.fromkeys([*self._from_file, *other_names])
        return {name: operator for name in names if (operator := self.operator_of(name))}

    def voters_operators(self) -> list[str]:
        """Return the operators' addresses of the voters in the file."""
        return [
            machine.operator for machine in self._from_file.values() if machine.tier == 0 and machine.operator
        ]
