"""The view of the fleet that each node keeps: membership by gossip, and epochs agreed by a majority."""
