"""What a node must not forget: a log of records with snapshots, on its disk."""
