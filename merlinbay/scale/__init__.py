"""Scale runs: hollow members beside real processes, measured by role, and fits over the sizes measured."""
