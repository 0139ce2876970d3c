"""``python -m merlinbay`` runs one node; with arguments it is the command line, imported only then."""

from __future__ import annotations

import sys


def main() -> int:
    """Run a node; with arguments, run the command line."""
    if len(sys.argv) > 1:
        from merlinbay.cli.main import main as command_line

        command_line(prog_name="merlinbay")
    from merlinbay.node import serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
