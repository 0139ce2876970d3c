"""``python -m merlinbay``: one node; with arguments the command line, of which else nothing is imported."""

from __future__ import annotations

import sys


def main() -> int:
    """Serve; with arguments, hand over to the command line."""
    if len(sys.argv) > 1:
        from merlinbay.cli.main import main as command_line

        command_line(prog_name="merlinbay")
    from merlinbay.node import serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
