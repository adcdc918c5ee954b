"""Which instances there are, and in which state."""
