"""How many requests of each customer began, reported by windows of time."""
