"""The program `railtidectl`."""

import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from uuid import uuid4

import httpx
import msgspec
import trio

from railtide.budgets.balance import available, stranded
from railtide.budgets.messages import Release, TopUp
from railtide.configuration.errors import OutdatedVersion
from railtide.configuration.messages import Kind, Proposal
from railtide.configuration.models import AccountBody, check_body, resolve_account
from railtide.configuration.models import key_hash as hash_of_key
from railtide.configuration.objects import version_of
from railtide.errors import RailtideError
from railtide.journal.entries import VerdictCode
from railtide.journal.http_log import open_http_log
from railtide.journal.state import State
from railtide.keeper.options import KeeperOptions
from railtide.operators.bills import bills_of
from railtide.operators.codes import explain_code
from railtide.operators.errors import NoVerdict, Refused
from railtide.operators.session import Session, open_session
from railtide.settings import InvalidSetting, run_program
from railtide.telemetry.logs import set_up_logs

__all__ = [
    "balance",
    "bills",
    "explain",
    "holders",
    "key_hash",
    "main",
    "publish",
    "release",
    "show",
    "status",
    "top_up",
    "trace",
]

PREFIX = "RAILTIDE_CTL"
TIMEOUT_S = 10.0
HTTP_TIMEOUT_S = 3.0
OPTIONS = KeeperOptions(append_interval_s=0.0)


def publish(
    kind: str,
    name: str,
    file: str,
    *,
    log_url: str,
    base_version: int = -1,
    author: str = "",
    timeout_s: float = TIMEOUT_S,
) -> None:
    """Publish a template, account, model or service from a JSON file ("-" for standard input).

    :param kind: template, account, model or service
    :param name: its name
    :param file: path of its JSON body
    :param log_url: URL of the platform's log service
    :param base_version: version that this change is based on; -1 for the one in force now
    :param author: who publishes it
    :param timeout_s: longest wait for the log, seconds
    """
    body = _read_file(file)
    checked = check_body(kind, body)

    async def act(session: Session) -> None:
        if isinstance(checked, AccountBody):
            _check_account(session.state, checked)
        base = version_of(session.state.catalog, kind, name) if base_version < 0 else base_version
        verdict = await session.submit(Proposal(kind, name, base, body, author))
        if verdict.code == VerdictCode.OUTDATED:
            raise OutdatedVersion(
                f"{kind} {name} is at version {verdict.available}; read it and publish again"
            )
        _check_ok(verdict.code)
        _print({"kind": kind, "name": name, "version": base + 1, "offset": verdict.offset})

    _run(log_url, timeout_s, act)


def _check_account(state: State, account: AccountBody) -> None:
    template = state.catalog.by_kind_and_name.get((Kind.TEMPLATE, account.template))
    if template is None:
        raise InvalidSetting(f"there is no template {account.template!r}")
    resolve_account(check_body(Kind.TEMPLATE, template.body), account)


def _read_file(file: str) -> bytes:
    if file == "-":
        return sys.stdin.buffer.read()
    try:
        return Path(file).read_bytes()
    except OSError as err:
        raise InvalidSetting(f"{file}: {err.strerror}") from err


def _check_ok(code: str) -> None:
    if code != VerdictCode.OK:
        raise Refused(code)


def top_up(
    account: str,
    amount: int,
    *,
    log_url: str,
    top_up_id: str = "",
    timeout_s: float = TIMEOUT_S,
) -> None:
    """Add prepaid units to an account's budget.

    :param account: client account
    :param amount: units to add
    :param log_url: URL of the platform's log service
    :param top_up_id: id that makes this top-up idempotent; a new one unless given
    :param timeout_s: longest wait for the log, seconds
    """
    if amount < 1:
        raise InvalidSetting(f"amount: must be at least 1, not {amount}")
    used_id = top_up_id or uuid4().hex

    async def act(session: Session) -> None:
        try:
            verdict = await session.submit(TopUp(account, amount, used_id))
        except NoVerdict as err:
            raise NoVerdict(f"{err.detail}; try again with --top-up-id {used_id}") from err
        if verdict.code == VerdictCode.REFUSED:
            raise Refused(f"the top-up {used_id} was made before")
        _check_ok(verdict.code)
        _print({"account": account, "top_up_id": used_id, "available": verdict.available})

    _run(log_url, timeout_s, act)


def balance(account: str, *, log_url: str, timeout_s: float = TIMEOUT_S) -> None:
    """Show an account's budget and who holds which part of it.

    :param account: client account
    :param log_url: URL of the platform's log service
    :param timeout_s: longest wait for the log, seconds
    """

    async def act(session: Session) -> None:
        held = session.state.by_account.get(account)
        if held is None:
            raise InvalidSetting(f"the account {account!r} has no budget")
        _print(
            {
                "account": account,
                "topped_up": held.topped_up,
                "billed": held.billed,
                "available": available(held),
                "stranded": stranded(held),
                "holders": {
                    name: {
                        "remaining": holding.remaining,
                        "reserved": holding.reserved,
                        "exposure": holding.exposure,
                        "fenced": holding.fenced,
                    }
                    for name, holding in held.by_holder.items()
                },
            }
        )

    _run(log_url, timeout_s, act)


def bills(account: str, *, log_url: str, timeout_s: float = TIMEOUT_S) -> None:
    """Show an account's bills, one JSON line each, as far back as the log keeps records.

    :param account: client account
    :param log_url: URL of the platform's log service
    :param timeout_s: longest silence of the log, seconds
    """

    async def act() -> None:
        for line in await bills_of(open_http_log(log_url, timeout_s), OPTIONS.stream, account):
            _print(line)

    trio.run(act)


def show(*, log_url: str, kind: str = "", timeout_s: float = TIMEOUT_S) -> None:
    """Show the configuration in force.

    :param log_url: URL of the platform's log service
    :param kind: only this kind
    :param timeout_s: longest wait for the log, seconds
    """

    async def act(session: Session) -> None:
        for (item_kind, name), item in sorted(session.state.catalog.by_kind_and_name.items()):
            if kind in ("", item_kind):
                _print(
                    {
                        "kind": item_kind,
                        "name": name,
                        "version": item.version,
                        "offset": item.offset,
                        "author": item.author,
                        "body": msgspec.Raw(item.body),
                    }
                )

    _run(log_url, timeout_s, act)


def holders(*, log_url: str, timeout_s: float = TIMEOUT_S) -> None:
    """Show the holders that the log knows, with their status.

    :param log_url: URL of the platform's log service
    :param timeout_s: longest wait for the log, seconds
    """

    async def act(session: Session) -> None:
        for name, holder in session.state.by_holder.items():
            _print({"holder": name, "status": holder.status, "last_seq": holder.last_seq})

    _run(log_url, timeout_s, act)


def release(holder: str, *, log_url: str, timeout_s: float = TIMEOUT_S) -> None:
    """Give back what is withheld for a fenced holder that is surely dead.

    Use it only for a process that can't wake again: a paused one could overspend by what is
    released.

    :param holder: the fenced holder
    :param log_url: URL of the platform's log service
    :param timeout_s: longest wait for the log, seconds
    """

    async def act(session: Session) -> None:
        verdict = await session.submit(Release(holder))
        if verdict.code != VerdictCode.OK:
            raise Refused(f"{holder!r} is not a fenced holder")
        _print({"released": holder})

    _run(log_url, timeout_s, act)


def status(*routers: str, timeout_s: float = HTTP_TIMEOUT_S) -> None:
    """Show what is in force at each router, one JSON line each.

    :param routers: host:port of the routers' HTTP side
    :param timeout_s: longest wait for a router, seconds
    """

    async def act() -> None:
        async with httpx.AsyncClient(timeout=timeout_s, trust_env=False) as client:
            for router in routers:
                await _print_page(client, f"http://{router}/admin/status", router)

    trio.run(act)


def trace(trace_id: str, *processes: str, timeout_s: float = HTTP_TIMEOUT_S) -> None:
    """Show a request's spans, collected from routers and keepers.

    :param trace_id: the trace id of the request's traceparent
    :param processes: host:port of the processes' HTTP side
    :param timeout_s: longest wait for a process, seconds
    """

    async def act() -> None:
        async with httpx.AsyncClient(timeout=timeout_s, trust_env=False) as client:
            for process in processes:
                await _print_page(client, f"http://{process}/admin/traces/{trace_id}", process)

    trio.run(act)


async def _print_page(client: httpx.AsyncClient, url: str, process: str) -> None:
    try:
        answer = await client.get(url)
        answer.raise_for_status()
    except httpx.HTTPError as err:
        _print({"process": process, "error": type(err).__name__})
        return
    _print({"process": process, "answer": msgspec.Raw(answer.content)})


def explain(code: str) -> None:
    """Explain an error code.

    :param code: the code of a problem answer
    """
    info = explain_code(code)
    _print({"code": info.code, "status": info.status, "run": info.run, "meaning": info.meaning})


def key_hash(api_key: str) -> None:
    """Print the hash under which an API key is published.

    :param api_key: the key that callers send
    """
    print(hash_of_key(api_key))


def _print(line: object) -> None:
    print(msgspec.json.encode(line).decode())


def _run(log_url: str, timeout_s: float, act: Callable[[Session], Awaitable[None]]) -> None:
    """Run one action in a session; its error, if any, is raised outside the nursery."""
    failures: list[RailtideError] = []

    async def run() -> None:
        async with open_session(open_http_log(log_url), OPTIONS, timeout_s) as session:
            try:
                await act(session)
            except RailtideError as err:
                failures.append(err)

    try:
        trio.run(run)
    except* RailtideError as group:
        failures.append(group.exceptions[0])
    if failures:
        raise failures[0]


def main() -> None:
    """Run the program."""
    commands = [
        publish,
        top_up,
        balance,
        bills,
        show,
        holders,
        release,
        status,
        trace,
        explain,
        key_hash,
    ]
    set_up_logs("railtidectl", "WARNING")
    run_program(commands, PREFIX)


if __name__ == "__main__":
    main()
