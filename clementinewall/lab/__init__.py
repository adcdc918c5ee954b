"""A model of the engines in virtual time, to try decisions in seconds."""
