"""Translation between the platform's protocol and the domain types.

The platform's names of headers, fields, keys and calls are used in this
package only.  Each message is decoded once, into the types of
:mod:`clementinewall.domain`; other packages hold state, make decisions and
recover from failures.
"""
