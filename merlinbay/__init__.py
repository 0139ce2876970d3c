"""merlinbay: a dispatcher that translates between client fronts and pools of real servers."""

__version__ = "0.2.0"
