"""How a gateway that is cut off from endpoints finds ways to them."""
