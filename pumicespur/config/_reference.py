"""The reference page of all settings, written from the schema."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.config._options import option_of
from pumicespur.config._settings import Settings

if TYPE_CHECKING:
    from protobuf import DescField

SECTIONS = ("process", "platform", "entry", "manager")

HEAD = """# Settings

Written from `schema/settings.proto` by `make schema`; change the schema, not this page.
An unknown key is an error that names the nearest known one.
"""


def settings_reference() -> str:
    """Return the page in Markdown."""
    settings = Settings()
    parts = [HEAD]
    for name in SECTIONS:
        message = settings.section(name)
        assert message is not None
        parts.append(
            f"\n## [{name}]\n\n| key | default | range | meaning |\n| --- | --- | --- | --- |"
        )
        parts += [_row(field) for field in message.desc().fields]
    return "\n".join(parts) + "\n"


def _row(field: DescField) -> str:
    option = option_of(field)
    default = "required" if option.required else option.default or "empty"
    limits = f"{option.min:g} to {option.max:g}" if option.max else ""
    return f"| `{field.name}` | {default} | {limits} | {option.help} |"


if __name__ == "__main__":
    print(settings_reference(), end="")
