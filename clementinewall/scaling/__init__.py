"""How many engines are ordered, where and of which kind."""
