"""A view of the fleet that the nodes keep themselves: membership by gossip, and epochs by majority."""
