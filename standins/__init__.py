"""Small stand-ins for the platform, an engine, a service and the network.

They speak the interfaces that the product meets, keep their own logs of what
happened to them for the checkers, and are started by hand or by the tests:
``python -m standins log 127.0.0.1:7001``.
"""
