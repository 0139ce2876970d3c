"""Distribution of the replicated configuration: voters and relays serve watches, members follow.

The package performs no input or output: hosts call it with events and carry out the effects it returns.
"""
