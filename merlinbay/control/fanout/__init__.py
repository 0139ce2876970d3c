"""Distribution of the replicated configuration: voters and relays serve watches, members follow. No I/O."""
