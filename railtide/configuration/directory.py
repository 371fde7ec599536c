"""One router's index of the objects in force: accounts by API key, models, services."""

from dataclasses import dataclass

from railtide.configuration.errors import InvalidObject
from railtide.configuration.messages import Kind
from railtide.configuration.models import (
    AccountBody,
    AccountSettings,
    ModelBody,
    ServiceBody,
    TemplateBody,
    check_body,
    resolve_account,
)

__all__ = ["Directory", "ActiveObject"]


@dataclass(frozen=True)
class ActiveObject:
    """A validated object in force, and its version."""

    version: int
    body: TemplateBody | AccountBody | ModelBody | ServiceBody


class Directory:
    """Index of validated objects. Versions that aren't newer are ignored, so nothing reverts."""

    def __init__(self) -> None:
        self.invalid = 0
        self._by_kind_and_name: dict[tuple[str, str], ActiveObject] = {}
        self._account_by_key_hash: dict[str, str] = {}
        self._settings_by_account: dict[str, AccountSettings] = {}

    def put(self, kind: str, name: str, version: int, body: bytes) -> bool:
        """Put an object in force; return False if its version is old or its kind or body invalid.

        An invalid body leaves the previous version in force.
        """
        active = self._by_kind_and_name.get((kind, name))
        if active and active.version >= version:
            return False
        try:
            checked = check_body(kind, body)
        except InvalidObject:
            self.invalid += 1
            return False
        self._by_kind_and_name[(kind, name)] = ActiveObject(version, checked)
        if kind == Kind.ACCOUNT:
            self._index_account(name, active.body if active else None, checked)
        elif kind == Kind.TEMPLATE:
            self._resolve_template(name)
        return True

    def version(self, kind: str, name: str) -> int:
        """Return the version in force, 0 for none."""
        active = self._by_kind_and_name.get((kind, name))
        return active.version if active else 0

    def versions(self) -> dict[str, int]:
        """Return all versions in force by "kind/name"."""
        return {
            f"{kind}/{name}": active.version
            for (kind, name), active in sorted(self._by_kind_and_name.items())
        }

    def account_of_key_hash(self, key_hash: str) -> str | None:
        """Return the account that owns an API key, None if there is none."""
        return self._account_by_key_hash.get(key_hash)

    def settings(self, account: str) -> AccountSettings | None:
        """Return an account's settings, or None if it or its template is missing."""
        return self._settings_by_account.get(account)

    def model(self, name: str) -> ModelBody | None:
        """Return a model, None if it doesn't exist."""
        active = self._by_kind_and_name.get((Kind.MODEL, name))
        return active.body if active else None

    def service(self, name: str) -> ServiceBody | None:
        """Return a plain service, None if it doesn't exist."""
        active = self._by_kind_and_name.get((Kind.SERVICE, name))
        return active.body if active else None

    def bodies(self, kind: str) -> list[ModelBody | ServiceBody | AccountBody | TemplateBody]:
        """Return all bodies of a kind."""
        return [
            active.body for (found, _), active in self._by_kind_and_name.items() if found == kind
        ]

    def _index_account(self, name: str, old: AccountBody | None, new: AccountBody) -> None:
        for key_hash in old.key_hashes if old else []:
            self._account_by_key_hash.pop(key_hash, None)
        for key_hash in new.key_hashes:
            self._account_by_key_hash[key_hash] = name
        self._resolve(name, new)

    def _resolve_template(self, template: str) -> None:
        for (kind, name), active in self._by_kind_and_name.items():
            if kind == Kind.ACCOUNT and active.body.template == template:
                self._resolve(name, active.body)

    def _resolve(self, name: str, account: AccountBody) -> None:
        template = self._by_kind_and_name.get((Kind.TEMPLATE, account.template))
        if template is None:
            return
        try:
            self._settings_by_account[name] = resolve_account(template.body, account)
        except InvalidObject:
            self.invalid += 1
