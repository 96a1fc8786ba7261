"""The client of the platform protocol that this project defined itself (schema/platform.proto)."""

from __future__ import annotations

from pumicespur.connect._client import PlatformClient

__all__ = ["PlatformClient"]
