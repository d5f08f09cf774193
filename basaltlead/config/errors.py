"""The error of the settings, in a module of its own for those who check a part of them."""


class SettingsError(Exception):
    """A settings file that can't be used; the text names the file and the field."""
