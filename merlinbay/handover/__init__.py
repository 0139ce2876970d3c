"""Replacement of a node's process by the next one, which takes over clients, bans and what was learned."""
