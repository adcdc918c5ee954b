"""Records of the platform's log, and the rules for applying them."""
