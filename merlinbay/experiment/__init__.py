"""Many days of the emulator at once: grids, results that outlive an interruption, statistics and reports."""
