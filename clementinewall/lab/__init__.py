"""A discrete-event simulation of engines, to compare placement policies."""
