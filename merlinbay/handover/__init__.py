"""Replacement of a node's process by another one, which takes over clients, bans and the learned state."""
