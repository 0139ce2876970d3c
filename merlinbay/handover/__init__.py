"""A process of a node replaced by the next one, which takes over clients, bans and what was learned."""
