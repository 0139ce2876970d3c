"""The monitoring session: jobs by filter, queues and machines."""
