"""Messages that tasks exchange through their mailboxes.

Each module holds the messages to one or a few tasks. The docstring of a message starts
with the sending and the receiving task. In a request, ``reply`` takes the answer. A
later message about the same request carries the same ``reply``.
"""

from __future__ import annotations
