"""Replicated configuration: a log kept by a few voters, and its distribution to all members. No I/O."""
