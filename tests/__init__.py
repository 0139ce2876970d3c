"""Tests of the module through its interface; no endpoint model, no scoring."""
