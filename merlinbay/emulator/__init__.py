"""A model of what the node balances, in virtual time: docs/EMULATOR.md. The node imports none of it."""
