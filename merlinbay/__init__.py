"""merlinbay: a load balancer node that dispatches the requests of clients to pools of servers."""

__version__ = "0.2.0"
