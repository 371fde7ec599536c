"""The command-line program `railtidectl` for operators."""

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
from railtide.operators.bills import read_bills
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
    :param base_version: version that this change is based on; -1 for the current one
    :param author: who publishes it
    :param timeout_s: longest wait for the log, seconds
    """
    body = _read_file(file)
    parsed = check_body(kind, body)

    async def action(session: Session) -> None:
        if isinstance(parsed, AccountBody):
            _validate_account(session.state, parsed)
        base = version_of(session.state.catalog, kind, name) if base_version < 0 else base_version
        verdict = await session.submit(Proposal(kind, name, base, body, author))
        if verdict.code == VerdictCode.OUTDATED:
            raise OutdatedVersion(
                f"{kind} {name} is at version {verdict.available}; read it and publish again"
            )
        _require_ok(verdict.code)
        _print_json({"kind": kind, "name": name, "version": base + 1, "offset": verdict.offset})

    _run(log_url, timeout_s, action)


def _validate_account(state: State, account: AccountBody) -> None:
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


def _require_ok(code: str) -> None:
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
    :param top_up_id: id that makes this top-up idempotent; by default a new one
    :param timeout_s: longest wait for the log, seconds
    """
    if amount < 1:
        raise InvalidSetting(f"amount: must be at least 1, not {amount}")
    actual_id = top_up_id or uuid4().hex

    async def action(session: Session) -> None:
        try:
            verdict = await session.submit(TopUp(account, amount, actual_id))
        except NoVerdict as err:
            raise NoVerdict(f"{err.detail}; try again with --top-up-id {actual_id}") from err
        if verdict.code == VerdictCode.REFUSED:
            raise Refused(f"the top-up {actual_id} was already made")
        _require_ok(verdict.code)
        _print_json({"account": account, "top_up_id": actual_id, "available": verdict.available})

    _run(log_url, timeout_s, action)


def balance(account: str, *, log_url: str, timeout_s: float = TIMEOUT_S) -> None:
    """Show an account's budget and how it is distributed among holders.

    :param account: client account
    :param log_url: URL of the platform's log service
    :param timeout_s: longest wait for the log, seconds
    """

    async def action(session: Session) -> None:
        budget = session.state.by_account.get(account)
        if budget is None:
            raise InvalidSetting(f"the account {account!r} has no budget")
        _print_json(
            {
                "account": account,
                "topped_up": budget.topped_up,
                "billed": budget.billed,
                "available": available(budget),
                "stranded": stranded(budget),
                "holders": {
                    name: {
                        "remaining": holding.remaining,
                        "reserved": holding.reserved,
                        "exposure": holding.exposure,
                        "fenced": holding.fenced,
                    }
                    for name, holding in budget.by_holder.items()
                },
            }
        )

    _run(log_url, timeout_s, action)


def bills(account: str, *, log_url: str, timeout_s: float = TIMEOUT_S) -> None:
    """Show an account's bills, one JSON line each, as far back as the log retains records.

    :param account: client account
    :param log_url: URL of the platform's log service
    :param timeout_s: longest wait for an answer of the log, seconds
    """

    async def action() -> None:
        for line in await read_bills(open_http_log(log_url, timeout_s), OPTIONS.stream, account):
            _print_json(line)

    trio.run(action)


def show(*, log_url: str, kind: str = "", timeout_s: float = TIMEOUT_S) -> None:
    """Show the configuration in force.

    :param log_url: URL of the platform's log service
    :param kind: show only objects of this kind
    :param timeout_s: longest wait for the log, seconds
    """

    async def action(session: Session) -> None:
        for (item_kind, name), item in sorted(session.state.catalog.by_kind_and_name.items()):
            if kind in ("", item_kind):
                _print_json(
                    {
                        "kind": item_kind,
                        "name": name,
                        "version": item.version,
                        "offset": item.offset,
                        "author": item.author,
                        "body": msgspec.Raw(item.body),
                    }
                )

    _run(log_url, timeout_s, action)


def holders(*, log_url: str, timeout_s: float = TIMEOUT_S) -> None:
    """Show the holders recorded in the log, with their status.

    :param log_url: URL of the platform's log service
    :param timeout_s: longest wait for the log, seconds
    """

    async def action(session: Session) -> None:
        for name, holder in session.state.by_holder.items():
            _print_json({"holder": name, "status": holder.status, "last_seq": holder.last_seq})

    _run(log_url, timeout_s, action)


def release(holder: str, *, log_url: str, timeout_s: float = TIMEOUT_S) -> None:
    """Release the budget that is withheld for a fenced holder whose process has certainly ended.

    Use it only for a process that can't resume: a paused one could overspend by the released
    budget.

    :param holder: the fenced holder
    :param log_url: URL of the platform's log service
    :param timeout_s: longest wait for the log, seconds
    """

    async def action(session: Session) -> None:
        verdict = await session.submit(Release(holder))
        if verdict.code != VerdictCode.OK:
            raise Refused(f"{holder!r} is not a fenced holder")
        _print_json({"released": holder})

    _run(log_url, timeout_s, action)


def status(*routers: str, timeout_s: float = HTTP_TIMEOUT_S) -> None:
    """Show the status of each router, one JSON line each.

    :param routers: host:port of the routers' HTTP servers
    :param timeout_s: longest wait for a router, seconds
    """

    async def action() -> None:
        async with httpx.AsyncClient(timeout=timeout_s, trust_env=False) as client:
            for router in routers:
                await _print_page(client, f"http://{router}/admin/status", router)

    trio.run(action)


def trace(trace_id: str, *processes: str, timeout_s: float = HTTP_TIMEOUT_S) -> None:
    """Show the spans of a request, collected from routers and keepers.

    :param trace_id: trace id in the request's traceparent
    :param processes: host:port of the processes' HTTP servers
    :param timeout_s: longest wait for a process, seconds
    """

    async def action() -> None:
        async with httpx.AsyncClient(timeout=timeout_s, trust_env=False) as client:
            for process in processes:
                await _print_page(client, f"http://{process}/admin/traces/{trace_id}", process)

    trio.run(action)


async def _print_page(client: httpx.AsyncClient, url: str, process: str) -> None:
    try:
        answer = await client.get(url)
        answer.raise_for_status()
    except httpx.HTTPError as err:
        _print_json({"process": process, "error": type(err).__name__})
        return
    _print_json({"process": process, "answer": msgspec.Raw(answer.content)})


def explain(code: str) -> None:
    """Explain an error code.

    :param code: error code of an answer
    """
    info = explain_code(code)
    _print_json(
        {"code": info.code, "status": info.status, "run": info.run, "meaning": info.meaning}
    )


def key_hash(api_key: str) -> None:
    """Print the hash of an API key, as used in published accounts.

    :param api_key: API key that callers send
    """
    print(hash_of_key(api_key))


def _print_json(line: object) -> None:
    print(msgspec.json.encode(line).decode())


def _run(log_url: str, timeout_s: float, action: Callable[[Session], Awaitable[None]]) -> None:
    """Run an action in a session and raise its error outside the nursery, not as a group."""
    failures: list[RailtideError] = []

    async def run() -> None:
        async with open_session(open_http_log(log_url), OPTIONS, timeout_s) as session:
            try:
                await action(session)
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
