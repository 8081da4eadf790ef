"""The msgpack codec of the internal streams: the registry of message classes, and framing.

A frame is the msgpack array ``[code, field, field, ...]``, with the fields in
the order in which the message class declares them.  Every field is validated
when the message is built, so a decoded frame is a valid message.
"""

from collections.abc import Callable, Iterator
from operator import attrgetter
from typing import Any

import attrs
import msgpack

from gapdrum.exceptions import FrameError

MAX_FRAME_BYTES = 8 * 1024 * 1024

_classes: dict[int, type] = {}
_codes: dict[type, int] = {}
_packers: dict[type, Callable[[Any], tuple]] = {}


def message(code: int) -> Callable[[type], type]:
    """Register an attrs class as the message that has this code on the wire."""

    def register(message_class: type) -> type:
        if code in _classes:
            raise ValueError(f"message code {code} already belongs to {_classes[code].__name__}")
        _classes[code] = message_class
        _codes[message_class] = code
        _packers[message_class] = _build_packer(message_class)
        return message_class

    return register


def message_name(instance: object) -> str:
    """Return the name of this message in metrics, such as ``PlaceTasks``."""
    return type(instance).__name__


def encode(instance: object) -> bytes:
    """Return the frame of a message, which must be of a registered class."""
    message_class = type(instance)
    return msgpack.packb((_codes[message_class], *_packers[message_class](instance)))


def decode(frame: object) -> Any:
    """Return the message in an unpacked frame; raises FrameError if the frame is not valid."""
    if not isinstance(frame, list) or not frame:
        raise FrameError("a frame must be a non-empty array")
    message_class = _classes.get(frame[0]) if type(frame[0]) is int else None
    if message_class is None:
        raise FrameError(f"unknown message code {frame[0]!r:.40}")
    try:
        return message_class(*frame[1:])
    except (TypeError, ValueError) as error:
        raise FrameError(f"{message_class.__name__}: {error}"[:300]) from error


class Decoder:
    """Decodes chunks of bytes into messages; a frame may have ``MAX_FRAME_BYTES`` at most.

    ``feed`` takes the bytes that a socket received and yields the messages they complete::

        decoder = Decoder()
        for message in decoder.feed(chunk):
            handle(message)
    """

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self._unpacker = _build_unpacker(max_frame_bytes)

    def allow_large_frames(self) -> None:
        """Allow frames of ``MAX_FRAME_BYTES`` from here on."""
        unpacker = _build_unpacker(MAX_FRAME_BYTES)
        unpacker.feed(self._unpacker.read_bytes(MAX_FRAME_BYTES))
        self._unpacker = unpacker

    def feed(self, chunk: bytes) -> Iterator[Any]:
        """Yield each message that the chunk completes; raises FrameError on an invalid frame."""
        try:
            self._unpacker.feed(chunk)
        except msgpack.BufferFull as error:
            raise FrameError("the frame exceeds the size limit") from error
        while True:
            try:
                frame = self._unpacker.unpack()
            except msgpack.OutOfData:
                return
            except Exception as error:  # msgpack raises several exception types for invalid bytes
                raise FrameError(f"invalid msgpack: {type(error).__name__}") from error
            yield decode(frame)


def _build_unpacker(max_frame_bytes: int) -> msgpack.Unpacker:
    return msgpack.Unpacker(max_buffer_size=max_frame_bytes, strict_map_key=True, use_list=True)


def _build_packer(message_class: type) -> Callable[[Any], tuple]:
    """Return a function that returns the field values of a message, rows as tuples."""
    fields = attrs.fields(message_class)
    names = [field.name for field in fields]
    rows = {
        position: _build_getter([inner.name for inner in attrs.fields(field.metadata["row_class"])])
        for position, field in enumerate(fields)
        if "row_class" in field.metadata
    }
    getter = _build_getter(names)
    if not rows:
        return getter

    def pack(instance: Any) -> tuple:
        values = list(getter(instance))
        for position, row_getter in rows.items():
            values[position] = [row_getter(row) for row in values[position]]
        return tuple(values)

    return pack


def _build_getter(names: list[str]) -> Callable[[Any], tuple]:
    """Return an attrgetter that returns a tuple for any number of names, zero and one too."""
    if not names:
        return lambda _instance: ()
    getter = attrgetter(*names)
    if len(names) == 1:
        return lambda instance: (getter(instance),)
    return getter
