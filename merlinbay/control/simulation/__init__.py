"""A seeded simulation of the replicated control log in virtual time, and a checker over its histories."""
