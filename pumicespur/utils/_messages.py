"""Copies of schema messages, since messages are mutable and shared."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from protobuf import Message

AnyMessage = TypeVar("AnyMessage", bound="Message[Any]")


def replace_fields(message: AnyMessage, **fields: object) -> AnyMessage:
    """Return a copy of a message with some fields replaced."""
    copy = type(message).from_binary(message.to_binary())
    for name, value in fields.items():
        setattr(copy, name, value)
    return copy
