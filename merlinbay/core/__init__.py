"""Requests, their attempts and the dispatcher, independent of the protocols of clients and servers."""
