"""A durable log of records with snapshots, in one SQLite file."""
