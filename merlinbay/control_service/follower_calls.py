"""The operators' calls at a relay or follower. It answers from its own state and redirects the rest."""

from __future__ import annotations

from collections.abc import Callable

from merlinbay.control.entries import StateSnapshot
from merlinbay.control_service.call_messages import KeyListing, key_entry
from merlinbay.control_service.machines import MachineDirectory
from merlinbay.control_service.operator_calls import OperatorCalls
from merlinbay.control_service.status import ProcessStatus


class FollowerCalls(OperatorCalls):
    """The calls of a relay or follower."""

    def __init__(
        self,
        machines: MachineDirectory,
        view: Callable[[], ProcessStatus],
        state: Callable[[], StateSnapshot],
    ) -> None:
        super().__init__(machines)
        self._view, self._state = view, state

    def status(self) -> ProcessStatus:
        """Return the process's status."""
        return self._view()

    async def keys(self) -> KeyListing:
        """Return all keys of this process's copy."""
        state = self._state()
        return KeyListing(state.revision, self._view().age_s, [key_entry(entry) for entry in state.entries])
