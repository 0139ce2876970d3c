"""Requests, attempts and the task that owns the decision module. Knows no wire."""
