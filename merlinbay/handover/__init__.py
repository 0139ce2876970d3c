"""Replacement of a node's process by another that takes over clients, disabled servers and learned state."""
