"""The reference page of all settings, generated from the schema."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from pumicespur.config._node_settings import NodeSettings
from pumicespur.config._options import option_of
from pumicespur.config._settings import Settings

if TYPE_CHECKING:
    from protobuf import DescField, Message

SECTIONS = ("process", "platform", "entry", "manager")

HEAD = """# Settings

Written from `schema/settings.proto` and `schema/node.proto` by `make schema`; change the schema,
not this page. An unknown key is an error that names the nearest known one.

## Roles `entry` and `manager`
"""

NODE_HEAD = """
## Role `node`

A changed file is taken in within two seconds, or at once on SIGHUP; addresses, id and data hall
take effect only at a start. A faulty file changes nothing and is logged with each fault's place.
"""


def settings_reference() -> str:
    """Return the page in Markdown."""
    settings = Settings()
    parts = [HEAD]
    for name in SECTIONS:
        message = settings.section(name)
        assert message is not None
        parts += _format_section(name, message)
    parts.append(NODE_HEAD)
    for name, message in NodeSettings().sections().items():
        parts += _format_section(name, message)
    return "\n".join(parts) + "\n"


def _format_section(name: str, message: Message[Any]) -> list[str]:
    table_head = f"\n### [{name}]\n\n| key | default | range | meaning |\n| --- | --- | --- | --- |"
    return [table_head, *(_format_row(field) for field in message.desc().fields)]


def _format_row(field: DescField) -> str:
    option = option_of(field)
    default = "required" if option.required else option.default or "empty"
    limits = f"{option.min:g} to {option.max:g}" if option.max else ""
    return f"| `{field.name}` | {default} | {limits} | {option.help} |"


if __name__ == "__main__":
    print(settings_reference(), end="")
