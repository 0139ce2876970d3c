"""Entry point of ``python -m merlinbay``: runs one node, or the command line if there are arguments.

The command line is imported only when it is used.
"""

from __future__ import annotations

import sys


def main() -> int:
    """Run a node, or the command line if there are arguments. Return the exit status."""
    if len(sys.argv) > 1:
        from merlinbay.cli.main import main as command_line

        command_line(prog_name="merlinbay")  # does not return: it ends the process
    from merlinbay.node import serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
