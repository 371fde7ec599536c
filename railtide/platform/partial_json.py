"""Complete items of a truncated page of the newest records."""

__all__ = ["complete_items"]

ITEMS_KEY = b'"items"'
QUOTE = ord('"')
BACKSLASH = ord("\\")
OPENING_BRACE = ord("{")
CLOSING_BRACE = ord("}")


def complete_items(body: bytes) -> list[bytes]:
    """Return the complete items, each as JSON.

    Parameters
    ----------
    body : bytes
        A prefix of a response: a JSON object whose list `items` holds objects.

    Examples
    --------
    >>> complete_items(b'{"items": [{"key": "a}"}, {"key": "b"}, {"ke')
    [b'{"key": "a}"}', b'{"key": "b"}']
    >>> complete_items(b'{"end_offset": 3, "ite')
    []
    """
    start = _items_start(body)
    return [] if start is None else _objects_from(body, start)


def _items_start(body: bytes) -> int | None:
    """Return the position of the opening bracket of `items`, None if it is missing."""
    key = body.find(ITEMS_KEY)
    start = body.find(b"[", key)
    between = body[key + len(ITEMS_KEY) : start]
    return start if key >= 0 and start >= 0 and between.strip() == b":" else None


def _objects_from(body: bytes, start: int) -> list[bytes]:
    """Return the objects of the list whose opening bracket is at `start`."""
    objects: list[bytes] = []
    depth = 0
    object_start = start
    position = start + 1
    while position < len(body) and not (depth == 0 and body[position] == ord("]")):
        if body[position] == QUOTE:
            position = _string_end(body, position)
        elif body[position] == OPENING_BRACE:
            object_start = object_start if depth else position
            depth += 1
        elif body[position] == CLOSING_BRACE:
            depth -= 1
            if depth == 0:
                objects.append(bytes(body[object_start : position + 1]))
        position += 1
    return objects


def _string_end(body: bytes, position: int) -> int:
    """Return the position of the closing quote, the length of the body if there is none."""
    while True:
        position = body.find(b'"', position + 1)
        if position < 0:
            return len(body)
        if not _is_escaped(body, position):
            return position


def _is_escaped(body: bytes, position: int) -> bool:
    backslashes = 0
    while body[position - 1 - backslashes] == BACKSLASH:
        backslashes += 1
    return backslashes % 2 == 1
