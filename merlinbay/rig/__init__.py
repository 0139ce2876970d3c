"""The rig: many processes of the program, its own proxies between every pair, and faults by a script."""
