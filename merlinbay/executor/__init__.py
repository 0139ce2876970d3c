"""A small scheduler of the DRMAA binding that runs jobs as child processes of its own."""
