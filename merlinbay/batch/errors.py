"""The standard's exceptions (GFD.194, 5.4), by their names."""

from __future__ import annotations


class DrmaaError(Exception):
    """One of the standard's exceptions. ``retry_after_us`` says when asking again may help; 0: it won't."""

    def __init__(
        self, name: str, message: str, retry_after_us: int = 0, missing: bool = False, nobody: bool = False
    ) -> None:
        super().__init__(message)
        self.name, self.retry_after_us = name, retry_after_us
        self.missing = missing  # what the call is about is not there
        self.nobody = nobody  # nobody known makes the call


def invalid_state(message: str) -> DrmaaError:
    """Say that the job's state does not allow the call; the state is unchanged."""
    return DrmaaError("InvalidStateException", message)


def invalid_argument(message: str, missing: bool = False) -> DrmaaError:
    """Say that the call cannot be meant."""
    return DrmaaError("InvalidArgumentException", message, missing=missing)


def unsupported(message: str) -> DrmaaError:
    """Say that the operation is not carried out here."""
    return DrmaaError("UnsupportedOperationException", message)


def try_later(message: str, retry_after_us: int) -> DrmaaError:
    """Refuse; trying again is harmless, and useful from then on."""
    return DrmaaError("TryLaterException", message, retry_after_us)
