"""Events of batch jobs: kept for a while, asked for with a cursor, or sent to listeners. docs/EVENTS.md."""
