"""The command line. Nothing of it is imported by ``python -m merlinbay`` without arguments."""
