"""Which requests customers' keys allow, and for how long they are known."""
