"""merlinbay: a dispatcher that translates between client fronts and pools of real servers."""
