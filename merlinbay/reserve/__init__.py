"""Advance reservations: slots of real servers, for a window of time. docs/RESERVATIONS.md."""
