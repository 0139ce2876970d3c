"""A durable log of records and its snapshots, kept in one SQLite file."""
