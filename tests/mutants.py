"""Single faults put into the decision code, each caught by named tests.

``python -m tests.mutants`` copies the project, puts one fault in, runs the tests named for it and
expects them to fail. It prints every mutant that survives and exits with 1 if one is not listed
in `SURVIVORS`. Generic tools mutate operators by the thousand; these are the faults the promises
fear, so they are written by hand.
"""

import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
WORKERS = 6
FOLD = "railtide/journal/tests"
SINGLE = "tests/matrix/test_single.py"
LEDGERS = "railtide/budgets/tests"
PLATFORM = "railtide/platform/tests"
ENDS = "railtide/platform/tests/test_answer_ends.py"
HTTP = "railtide/http/tests"
MEMBERSHIP = "railtide/membership/tests"
CONTAINMENT = "railtide/containment/tests"
CRASHING = "railtide/platform/tests/test_crashing_requests.py"
NARROW = "railtide/keeper/tests/test_narrow_links.py"
OUTBOX = "railtide/keeper/tests/test_outbox.py"
CHECKPOINT = "railtide/journal/tests/test_checkpoint.py"
SUSPENSION = "tests/test_suspension.py"
EDGE = "railtide/edge/tests"
OUTDATED = "railtide/platform/tests/test_outdated_view.py"
LARGE = "railtide/platform/tests/test_large_desired_state.py"
NARROW = "railtide/platform/tests/test_narrow_store.py"
FEED = "railtide/journal/tests/test_feed.py"
PATIENCE = "railtide/journal/tests/test_patience.py"
STORE = "railtide/platform/tests/test_store.py"
CALL_OF_BEFORE = "test_call_of_before_a_return_waits_no_longer_than_a_first_one"
KEPT = "test_whole_records_of_a_read_are_not_read_again[True]"
REST_DUE = "test_feed_is_not_current_before_the_rest_has_come"
FRESHNESS = "railtide/journal/tests/test_feed_freshness.py"
BROKEN_NEWEST = "test_connection_that_never_lives_for_the_newest_moves_on"
TIMEOUT_S = 150
SURVIVORS: tuple[str, ...] = ()


@dataclass(frozen=True)
class Mutant:
    """A fault: in `file`, `old` becomes `new`; `tests` must then fail."""

    name: str
    file: str
    old: str
    new: str
    tests: tuple[str, ...]


MUTANTS = [
    Mutant(
        "grant-not-checked-against-the-balance",
        "budgets/balance.py",
        "if amount > available(balance):",
        "if False:",
        (FOLD,),
    ),
    Mutant(
        "repeat-not-dropped",
        "journal/fold.py",
        "    if entry.seq <= holder.last_seq:\n        state.repeats += 1\n        return None\n"
        "    if entry.seq != holder.last_seq + 1:",
        "    if entry.seq > holder.last_seq + 1:",
        (FOLD,),
    ),
    Mutant(
        "claim-skipped",
        "journal/fold.py",
        "    if known and not record.exposed:\n"
        "        return _say_key(state, entry, holder, known, record.digest)\n"
        "    if _is_ended",
        "    if _is_ended",
        (FOLD,),
    ),
    Mutant(
        "late-claim-of-a-fenced-holder-counted",
        "journal/fold.py",
        "    if _is_ended(holder) and not record.exposed:\n"
        "        return _say(state, entry, holder, Code.FENCED)\n"
        "    balance = state.by_account.get(record.account)",
        "    balance = state.by_account.get(record.account)",
        (FOLD,),
    ),
    Mutant(
        "key-billed-twice",
        "journal/fold.py",
        "    if is_beaten(state.registry, record, request):",
        "    if False:",
        (FOLD,),
    ),
    Mutant(
        "anyone-corrects-a-settlement",
        "requests/registry.py",
        "if request.holder != holder or find_key",
        "if find_key",
        (FOLD,),
    ),
    Mutant(
        "settlement-corrected-after-its-key-was-taken",
        "requests/registry.py",
        "if request.holder != holder or find_key(registry, request.account, request.key):",
        "if request.holder != holder:",
        (FOLD,),
    ),
    Mutant(
        "id-not-compared",
        "requests/answers.py",
        "if self._id not in event:",
        "if False:",
        ("railtide/requests/tests",),
    ),
    Mutant(
        "lower-offset-taken",
        "journal/fold.py",
        "if offset <= state.offset:",
        "if False:",
        (FOLD,),
    ),
    Mutant(
        "lower-version-taken",
        "configuration/directory.py",
        "if held and held.version >= version:",
        "if False:",
        ("railtide/configuration/tests",),
    ),
    Mutant(
        "proof-trusted-after-pause",
        "requests/cover.py",
        "return self._intent.durable and age",
        "return False and age",
        ("railtide/requests/tests",),
    ),
    Mutant(
        "exposure-not-withheld",
        "budgets/balance.py",
        "holding.reserved + holding.exposure)",
        "holding.reserved)",
        (FOLD,),
    ),
    Mutant(
        "late-return-accepted",
        "budgets/balance.py",
        "    if holding is None or holding.fenced:\n        return False\n    if amount",
        "    if holding is None:\n        return False\n    if amount",
        (FOLD,),
    ),
    Mutant(
        "exposure-not-bounded",
        "budgets/hand.py",
        "return hand.exposed + amount <= hand.exposure_limit",
        "return True",
        (SINGLE, "railtide/budgets/tests"),
    ),
    Mutant(
        "end-mark-not-needed",
        "requests/relay.py",
        "while not self._checker.finished:",
        "while False:",
        (SINGLE,),
    ),
    Mutant(
        "once-call-sent-again",
        "requests/execution.py",
        "if not refused and not self._call.repeatable:",
        "if False:",
        (SINGLE,),
    ),
    Mutant(
        "not-run-after-a-lost-try",
        "requests/execution.py",
        "if self._may_have_run and err.run is Run.NOT_RUN:",
        "if False:",
        (SINGLE,),
    ),
    Mutant(
        "lost-try-not-counted",
        "requests/execution.py",
        "wasted = self._cover.waste_of(len(self._lost_tries))",
        "wasted = 0",
        (SINGLE,),
    ),
    Mutant(
        "fence-without-comparing",
        "journal/fold.py",
        "if not alive or target.last_seq != record.seen_seq:",
        "if not alive:",
        (FOLD,),
    ),
    Mutant(
        "both-operators-win",
        "configuration/objects.py",
        "if proposal.base_version != version:",
        "if False:",
        (FOLD,),
    ),
    Mutant(
        "leaving-not-sticky",
        "lanes/scheduler.py",
        "upstream.leaving = upstream.leaving or report.leaving",
        "upstream.leaving = report.leaving",
        ("railtide/lanes/tests",),
    ),
    Mutant(
        "stranger-may-bill",
        "journal/fold.py",
        "if request is None or entry.holder not in (request.owner, request.holder):",
        "if request is None:",
        (FOLD,),
    ),
    Mutant(
        "settled-elsewhere-answered",
        "requests/cover.py",
        "if verdict and verdict.code == Code.NOT_OPEN",
        "if False and verdict.code == Code.NOT_OPEN",
        (SINGLE,),
    ),
    Mutant(
        "key-forgotten-after-unknown",
        "requests/registry.py",
        "if request.key and bill.outcome is not Outcome.NOT_RUN:",
        "if request.key and bill.outcome is Outcome.DONE:",
        (FOLD, SINGLE),
    ),
    Mutant(
        "claim-without-a-log",
        "requests/cover.py",
        "        if not self._services.log_reachable():\n            raise ClaimUnavailable(",
        "        if False:\n            raise ClaimUnavailable(",
        (SINGLE,),
    ),
    Mutant(
        "killed-hand-not-written-off",
        "budgets/ledger.py",
        "    charged = units_charged(former, started)\n",
        "    charged = former.spent\n",
        (LEDGERS,),
    ),
    Mutant(
        "ledger-written-without-its-condition",
        "budgets/ledger_partition.py",
        "self._options.topic, values, append.expected_end, self._index",
        "self._options.topic, values, None, self._index",
        (LEDGERS,),
    ),
    Mutant(
        "learnt-append-stands-in-for-the-ledger",
        "budgets/account_hand.py",
        "        self._written = change.holding\n",
        "        self._written = change.holding\n        self._ledger = change.ledger\n",
        (LEDGERS,),
    ),
    Mutant(
        "grant-taken-before-it-is-written",
        "budgets/account_hand.py",
        "        own.granted += granted\n",
        "        own.granted += granted\n        self.hand.granted += granted\n",
        (LEDGERS,),
    ),
    Mutant(
        "unreadable-ledger-taken-for-an-empty-one",
        "budgets/ledger_partition.py",
        "            self.hand(account).loaded = False\n",
        "            self._unreadable.discard(account)\n",
        (LEDGERS,),
    ),
    Mutant(
        "signature-not-checked",
        "platform/upstreams.py",
        "if exchange.status // 100 == OK_CLASS and not sealed:",
        "if False:",
        (PLATFORM,),
    ),
    Mutant(
        "cut-stream-ended",
        "http/client.py",
        '                raise ConnectionLost(f"not an answer: {err}") from err\n',
        "                return h11.EndOfMessage()\n",
        (HTTP, PLATFORM),
    ),
    Mutant(
        "unasked-bytes-kept",
        "http/client.py",
        "return not self.stream.socket.is_readable()",
        "return True",
        (HTTP,),
    ),
    Mutant(
        "caller-not-watched",
        "http/server.py",
        "                nursery.start_soon(self._watch_caller, nursery.cancel_scope)\n",
        "",
        (HTTP,),
    ),
    Mutant(
        "configuration-reverts",
        "edge/node.py",
        "if held is not None and snapshot.version <= held:",
        "if False:",
        (PLATFORM,),
    ),
    Mutant(
        "output-of-a-plain-answer-not-billed",
        "requests/passthrough.py",
        "cost = self._call.reserve if answer.status == OK_STATUS else self.delivered_cost()",
        "cost = self.delivered_cost()",
        (PLATFORM,),
    ),
    Mutant(
        "pool-of-a-gone-upstream-kept",
        "edge/node.py",
        "            self._upstreams.forget(before[incarnation])\n",
        "            pass\n",
        (PLATFORM,),
    ),
    Mutant(
        "return-of-the-store-told-by-a-record-only",
        "journal/feed.py",
        "return self._options.wait_s if self.reachable and self._fresh is None else 0.0",
        "return self._options.wait_s if self._fresh is None else 0.0",
        ("railtide/journal/tests/test_feed.py",),
    ),
    Mutant(
        "leaving-of-a-former-life-sticks",
        "membership/upstream_list.py",
        "service = _Service(instance.incarnation, instance.pool)",
        "service = _Service(instance.name, instance.pool)",
        (MEMBERSHIP,),
    ),
    Mutant(
        "late-record-of-a-former-life-taken",
        "membership/upstream_list.py",
        "        if known and instance.born < known.born:\n            return\n",
        "",
        (MEMBERSHIP,),
    ),
    Mutant(
        "unreadable-entry-leaves-its-engine-in-use",
        "membership/upstream_list.py",
        "        if instance.name in self._unreadable:\n"
        "            return replace(instance, state=InstanceState.LEAVING)\n",
        "",
        (MEMBERSHIP,),
    ),
    Mutant(
        "unreadable-record-read-for-ever",
        "platform/page.py",
        "return KeyedPage(self._records, self.end, self._offset, unreadable)",
        "return KeyedPage(self._records, self.end, self._offset - unreadable, unreadable)",
        (PLATFORM,),
    ),
    Mutant(
        "negative-ledger-frees-units",
        "budgets/spend_limit.py",
        "COUNT = msgspec.Meta(ge=0)",
        "COUNT = msgspec.Meta(ge=-1_000_000)",
        (LEDGERS,),
    ),
    Mutant(
        "load-of-a-former-life-counted",
        "edge/node.py",
        "        if known and known.instance.incarnation == upstream.incarnation:",
        "        if known:",
        (PLATFORM,),
    ),
    Mutant(
        "load-names-nobody-more",
        "membership/entrance_set.py",
        "if len(chosen) >= options.least and capacity >= needed:",
        "if len(chosen) >= options.least:",
        (MEMBERSHIP,),
    ),
    Mutant(
        "slow-beats-taken-for-death",
        "membership/roster.py",
        "return self._options.dead_after_s * max(1.0, member.beat_s / self._options.beat_s)",
        "return self._options.dead_after_s / 3",
        (MEMBERSHIP,),
    ),
    Mutant(
        "unnamed-router-keeps-stray-accounts",
        "budgets/hand_size.py",
        "if not routers and not is_steady:",
        "if False:",
        (LEDGERS,),
    ),
    Mutant(
        "prompt-read-for-ever",
        "lanes/scheduler.py",
        "        slot.upstream.reading -= slot.reading\n",
        "",
        ("railtide/lanes/tests",),
    ),
    Mutant(
        "spent-said-from-an-old-ledger",
        "budgets/account_hand.py",
        "if self._is_fresh() and self.is_spent(amount):",
        "if self.is_spent(amount):",
        (LEDGERS,),
    ),
    Mutant(
        "former-hand-closed-without-the-time-of-day",
        "budgets/spend_limit.py",
        " or abs(steady - day) > AGREE_S",
        "",
        (LEDGERS,),
    ),
    Mutant(
        "former-hand-closed-across-boots",
        "budgets/spend_limit.py",
        " or since.boot != until.boot",
        "",
        (LEDGERS,),
    ),
    Mutant(
        "spend-limit-not-kept-to",
        "budgets/account_hand.py",
        "if amount <= self._headroom() and reserve(self.hand, amount):",
        "if reserve(self.hand, amount):",
        (LEDGERS,),
    ),
    Mutant(
        "limit-in-force-forgotten-with-a-new-one-under-way",
        "budgets/account_hand.py",
        "self._limits = [*self._limits[:1], limit]",
        "self._limits = [limit]",
        (LEDGERS,),
    ),
    Mutant(
        "limit-without-what-is-reserved",
        "budgets/account_hand.py",
        "            self.hand.spent + self.hand.reserved,\n",
        "            self.hand.spent,\n",
        (LEDGERS,),
    ),
    Mutant(
        "hands-whole-at-once-behind-an-outage",
        "budgets/hand_size.py",
        "self.seconds += elapsed if reached else -elapsed",
        "self.seconds = self.most_s",
        (LEDGERS,),
    ),
    Mutant(
        "hands-of-mean-traffic",
        "budgets/hand_size.py",
        "    needed += options.swings",
        "    needed += 0 * options.swings",
        (LEDGERS,),
    ),
    Mutant(
        "losses-together-unbounded",
        "budgets/hand_size.py",
        "return round(min(left * options.most_share, may_be_lost))",
        "return round(left * options.most_share)",
        (LEDGERS + "/test_losses.py",),
    ),
    Mutant(
        "hand-whole-for-traffic-of-seconds",
        "budgets/hand_size.py",
        "    needed *= min(1.0, seen_s / options.horizon_s)\n",
        "",
        (LEDGERS + "/test_losses.py",),
    ),
    Mutant(
        "pace-from-the-start",
        "budgets/account_hand.py",
        "            self._options.pace_after_s,\n",
        "            0.0,\n",
        (LEDGERS + "/test_ledger_treasury.py",),
    ),
    Mutant(
        "peer-proves-without-having-seen-the-ledger-before",
        "budgets/peer_reports.py",
        "after = NO_READING if first else own_append",
        "after = own_append",
        (LEDGERS + "/test_peer_reports.py",),
    ),
    Mutant(
        "peer-proves-by-the-sight-of-a-report",
        "budgets/peer_reports.py",
        "known.get(held.incarnation), held, after)",
        "known.get(held.incarnation), held, now)",
        (LEDGERS + "/test_peer_reports.py",),
    ),
    Mutant(
        "peer-proves-by-an-append-under-way",
        "budgets/ledger_partition.py",
        "        self._unsure = append\n",
        "        self._unsure = append\n        self._own_append = append.made\n",
        (LEDGERS + "/test_peer_reports.py",),
    ),
    Mutant(
        "peer-returns-again-and-again",
        "budgets/ledger.py",
        "    dead = ledger.unproved.pop(instance)\n",
        "    dead = ledger.unproved[instance]\n",
        (LEDGERS + "/test_peer_reports.py",),
    ),
    Mutant(
        "peer-forgets-nothing-of-a-ledger-that-was-not-read",
        "budgets/account_hand.py",
        "        if not self.loaded:\n            self._peers.forget()\n",
        "",
        (LEDGERS + "/test_peer_reports.py",),
    ),
    Mutant(
        "long-prompts-beside-streams",
        "upstreams/separation.py",
        " or now >= self._apart_until",
        " or True",
        ("railtide/upstreams/tests",),
    ),
    Mutant(
        "long-prompts-always-apart",
        "upstreams/separation.py",
        "if self._paused < max(LEAST_PAUSED, self._streams * PAUSED_SHARE):",
        "if False:",
        ("railtide/upstreams/tests",),
    ),
    Mutant(
        "refusals-count-as-attempts",
        "requests/execution.py",
        "attempt >= most_sent",
        "attempt >= most_runs",
        (PLATFORM,),
    ),
    Mutant(
        "silent-connections-kept",
        "http/client.py",
        "                self.drop_idle()\n            raise",
        "                pass\n            raise",
        (HTTP,),
    ),
    Mutant(
        "callers-set-what-is-the-routers-to-set",
        "platform/calls.py",
        "if h[0] not in dropped",
        "if True",
        (PLATFORM,),
    ),
    Mutant(
        "hand-returned-for-another-machine-of-the-name",
        "budgets/ledger.py",
        "is_same_machine = bool(address) and former.address == address",
        "is_same_machine = True",
        (LEDGERS + "/test_report_identity.py",),
    ),
    Mutant(
        "report-told-by-fields-that-others-drop",
        "budgets/peer_reports.py",
        "if known and is_same_report(known.holding, holding):",
        "if known and known.holding == holding:",
        (LEDGERS + "/test_report_identity.py",),
    ),
    Mutant(
        "append-told-by-an-empty-holding",
        "budgets/ledger_partition.py",
        "            if change.holding.granted or change.holding.spent\n",
        "",
        (LEDGERS + "/test_report_identity.py",),
    ),
    Mutant(
        "need-of-a-dead-process-counts",
        "budgets/needs.py",
        "if is_first and now - since <= SILENT_S:",
        "if is_first:",
        (LEDGERS + "/test_needs.py",),
    ),
    Mutant(
        "need-renewed-by-every-look",
        "budgets/needs.py",
        "known[incarnation][0].count == need.count",
        "False",
        (LEDGERS + "/test_needs.py",),
    ),
    Mutant(
        "who-lacks-more-keeps-its-hand",
        "budgets/needs.py",
        "is_first = own is None or (need.units, incarnation) < own",
        "is_first = own is None",
        (LEDGERS + "/test_needs.py::TestFragments",),
    ),
    Mutant(
        "idle-traffic-keeps-units-from-others",
        "budgets/needs.py",
        "return 0 if is_idle else round(rate * SOON_S)",
        "return round(rate * SOON_S)",
        (LEDGERS + "/test_needs.py",),
    ),
    Mutant(
        "need-not-told",
        "budgets/account_hand.py",
        "own.need = self._next_need(lacking)",
        "own.need = None",
        (LEDGERS + "/test_needs.py",),
    ),
    Mutant(
        "units-returned-that-requests-have-reserved",
        "budgets/account_hand.py",
        "        take_back(self.hand, self._idle())\n",
        "        self.hand.granted -= self._idle() + bool(self._recalled()) * self.hand.reserved\n",
        (LEDGERS,),
    ),
    Mutant(
        "refill-takes-what-callers-come-back-for",
        "budgets/account_hand.py",
        "max(0, min(short, ahead, free))",
        "max(0, min(short, ahead))",
        (LEDGERS + "/test_needs.py",),
    ),
    Mutant(
        "returned-units-written-before-they-leave-the-hand",
        "budgets/account_hand.py",
        "        take_back(self.hand, self._idle())\n"
        "        own = Holding(\n            holder.incarnation,\n            self.hand.granted,\n",
        "        own = Holding(\n            holder.incarnation,\n"
        "            self.hand.granted - self._idle(),\n",
        (LEDGERS,),
    ),
    Mutant(
        "failure-passed-on-behind-a-begun-stream",
        "requests/passthrough.py",
        "if self._sink.started:\n            # Passed",
        "if False:\n            # Passed",
        (ENDS,),
    ),
    Mutant(
        "extra-response-taken-for-the-body",
        "platform/upstreams.py",
        "        if self.framed or not self.request_id:\n",
        "        if True:\n",
        (ENDS,),
    ),
    Mutant(
        "half-event-taken-for-the-end",
        "requests/passthrough.py",
        "if not answer.framed and not self._events.at_event_end:",
        "if False:",
        (ENDS,),
    ),
    Mutant(
        "every-body-taken-for-framed",
        "http/client.py",
        "self.framed = any(name in FRAMING for name, _ in self.headers)",
        "self.framed = True",
        (ENDS,),
    ),
    Mutant(
        "run-without-an-event-taken-for-whole",
        "requests/events.py",
        '        self._rest = b""\n        self.at_event_end = False',
        '        self._rest = b""\n        self.at_event_end = True',
        (ENDS,),
    ),
    Mutant(
        "runs-joined-over-a-missing-event",
        "requests/events.py",
        "if self._joins and self._counts_up and not follows:",
        "if False:",
        ("railtide/requests/tests", ENDS),
    ),
    Mutant(
        "ids-held-to-count-up-within-a-run",
        "requests/events.py",
        "if self._joins and self._counts_up and not follows:",
        "if not follows:",
        ("railtide/requests/tests",),
    ),
    Mutant(
        "stream-without-ids-resumed",
        "requests/execution.py",
        "self._call.resumable and self._relay.resumable",
        "self._call.resumable",
        (ENDS,),
    ),
    Mutant(
        "end-that-was-not-sent-counts-as-sent",
        "http/server.py",
        "        return responder.finished",
        "        return self.h11.our_state is h11.DONE",
        (HTTP,),
    ),
    Mutant(
        "reset-met-by-the-sending-forgotten",
        "http/client.py",
        "if self._sending_broke and not self.framed:",
        "if False:",
        (HTTP,),
    ),
    Mutant(
        "cut-page-taken-for-an-empty-one",
        "platform/page.py",
        "        if self.end is None:\n            raise",
        "        self.end = self.end or 0\n        if False:\n            raise",
        (STORE,),
    ),
    Mutant(
        "unframed-answer-billed-by-the-call",
        "requests/relay.py",
        "            if not framed:",
        "            if False:",
        ("railtide/requests/tests",),
    ),
    Mutant(
        "held-after-four-ends",
        "containment/blame.py",
        "HOLD_WEIGHT = 3 * STRONG\n",
        "HOLD_WEIGHT = 4 * STRONG\n",
        (CONTAINMENT,),
    ),
    Mutant(
        "ends-of-a-held-content-count-against-others",
        "containment/blame.py",
        "[mark for mark in marks_of if mark.life not in explained]",
        "marks_of",
        (CONTAINMENT,),
    ),
    Mutant(
        "upstreams-killed-together-count-one-by-one",
        "containment/blame.py",
        "            return True\n    return False",
        "            return False\n    return False",
        (CONTAINMENT,),
    ),
    Mutant(
        "second-try-counts-as-the-first",
        "containment/blame.py",
        "if both_ran and abs(gap_s)",
        "if abs(gap_s)",
        (CONTAINMENT,),
    ),
    Mutant(
        "contents-that-share-two-ends-are-both-held",
        "containment/blame.py",
        "any(len(ends) >= LEAST_MARKS - 1 for ends in shared)",
        "any(len(ends) >= LEAST_MARKS for ends in shared)",
        (CONTAINMENT,),
    ),
    Mutant(
        "run-that-was-there-before-an-earlier-end-counts-in-full",
        "containment/blame.py",
        "not m.weak and not _was_sent_before(m, earlier, moments)",
        "not m.weak",
        (CONTAINMENT,),
    ),
    Mutant(
        "long-run-counts-like-a-short-one",
        "containment/registry.py",
        "weak = begun_s > BEGUN_S or ran_s < ROUND_TRIP_S",
        "weak = ran_s < ROUND_TRIP_S",
        (CONTAINMENT,),
    ),
    Mutant(
        "send-to-one-that-had-ended-counts-in-full",
        "containment/registry.py",
        "weak = begun_s > BEGUN_S or ran_s < ROUND_TRIP_S",
        "weak = begun_s > BEGUN_S",
        (CONTAINMENT,),
    ),
    Mutant(
        "verdict-is-acted-on-before-others-are-heard",
        "containment/guard.py",
        "            await trio.sleep(max(0.0, JUDGED_S - self._registry.held_for_s(content)))\n",
        "            pass\n",
        (CONTAINMENT,),
    ),
    Mutant(
        "held-content-runs-on-everywhere",
        "containment/guard.py",
        "                run.scope.cancel()\n",
        "                pass\n",
        (CRASHING,),
    ),
    Mutant(
        "connection-that-does-not-last-shows-life",
        "platform/upstreams.py",
        "            if not await _lasts(await connect_tcp_stream(host, int(port))):\n"
        "                await _lasts(await connect_tcp_stream(host, int(port)))\n",
        "            await _lasts(await connect_tcp_stream(host, int(port)))\n",
        (f"{CRASHING}::TestProbe",),
    ),
    Mutant(
        "contents-that-share-all-ends-are-both-held",
        "containment/blame.py",
        "if not _has_twin(content, worst, left)]",
        "]",
        (CONTAINMENT,),
    ),
    Mutant(
        "cleared-mark-counts-again",
        "containment/evidence.py",
        "if known and _rank(known) >= _rank(mark):",
        "if known and _rank(known) == _rank(mark):",
        (CONTAINMENT,),
    ),
    Mutant(
        "account-is-no-part-of-the-content",
        "containment/content.py",
        "for part in (account.encode(), path.encode(), body):",
        "for part in (path.encode(), body):",
        (CONTAINMENT,),
    ),
    Mutant(
        "suspects-share-an-upstream",
        "containment/placement.py",
        "        free.remove(made[content])\n",
        "",
        (CONTAINMENT,),
    ),
    Mutant(
        "suspect-of-one-end-meets-one-of-two",
        "containment/placement.py",
        "return frozenset(names) - set(made.values()) or frozenset(names)",
        "return frozenset(names)",
        (CONTAINMENT,),
    ),
    Mutant(
        "broken-answer-of-one-that-lives-is-an-end",
        "containment/ends.py",
        "if found is ProbeResult.REFUSED:",
        "if found:",
        (CONTAINMENT,),
    ),
    Mutant(
        "old-break-is-blamed-for-a-later-end",
        "containment/ends.py",
        "return now - broken_at <= BREAK_KEPT_S",
        "return True",
        (CONTAINMENT,),
    ),
    Mutant(
        "probe-that-found-it-alive-is-forgotten",
        "containment/ends.py",
        "                watched.connected_at = began\n",
        "                pass\n",
        (CONTAINMENT,),
    ),
    Mutant(
        "new-life-at-the-address-hides-the-end",
        "containment/ends.py",
        "return sign is not EndSign.REFUSED and now - broken_at <= RESTART_S",
        "return False",
        (CONTAINMENT,),
    ),
    Mutant(
        "later-answer-does-not-show-that-it-lives",
        "containment/ends.py",
        "if one.at >= sent_at}",
        "if True}",
        (CONTAINMENT,),
    ),
    Mutant(
        "break-behind-the-end-is-not-counted",
        "containment/ends.py",
        "            self._on_end(instance, [Break(run, now)])\n            return\n",
        "            return\n",
        (CONTAINMENT,),
    ),
    Mutant(
        "record-of-a-former-life-takes-the-place-of-a-new-one",
        "containment/ends.py",
        " or instance.born < former.born:",
        ":",
        (CONTAINMENT,),
    ),
    Mutant(
        "second-try-does-not-wait-for-the-word-on-its-first",
        "containment/guard.py",
        "            await self._watch.settled(instance)\n",
        "",
        (CRASHING,),
    ),
    Mutant(
        "mark-is-not-written-again",
        "containment/registry.py",
        "                await trio.sleep(self._backoff.next_wait())\n                continue\n",
        "                await trio.sleep(self._backoff.next_wait())\n",
        (CONTAINMENT,),
    ),
    Mutant(
        "sound-answer-clears-nothing",
        "containment/registry.py",
        "if content in self._evidence and self._clear(content):",
        "if False:",
        (CONTAINMENT,),
    ),
    Mutant(
        "mark-behind-its-clearing-stands",
        "containment/registry.py",
        "            self._write(key, self._cleared_here[key])\n            return\n",
        "            return\n",
        (CONTAINMENT,),
    ),
    Mutant(
        "sound-answer-does-not-meet-a-mark-on-its-way",
        "containment/registry.py",
        "        if self._was_sound_lately(mark.content):\n            self._clear(mark.content)\n",
        "",
        (CONTAINMENT,),
    ),
    Mutant(
        "every-router-makes-trials",
        "containment/registry.py",
        "if under_way or not self._is_owner(content):",
        "if under_way:",
        (CONTAINMENT,),
    ),
    Mutant(
        "trials-have-no-end",
        "containment/holding.py",
        "if len(marks) >= MOST_ENDS:",
        "if False:",
        (CONTAINMENT,),
    ),
    Mutant(
        "mark-of-a-clock-far-ahead-is-kept",
        "containment/registry.py",
        "replace(mark, at=min(mark.at, now + AHEAD_S))",
        "mark",
        (CONTAINMENT,),
    ),
    Mutant(
        "clock-ahead-holds-for-longer",
        "containment/holding.py",
        "last = min(now, max(mark.at for mark in marks))",
        "last = max(mark.at for mark in marks)",
        (CONTAINMENT,),
    ),
    Mutant(
        "clocks-of-two-routers-are-compared",
        "containment/blame.py",
        "setdefault(mark.life, {})[mark.router] = mark.at",
        "setdefault(mark.life, {})[None] = mark.at",
        (CONTAINMENT,),
    ),
    Mutant(
        "body-that-only-the-close-ends-clears",
        "requests/execution.py",
        "sound = relayed.framed and relayed.answer.status == OK_STATUS",
        "sound = relayed.answer.status == OK_STATUS",
        (CRASHING,),
    ),
    Mutant(
        "end-of-one-that-leaves-is-a-crash",
        "requests/execution.py",
        "if is_leaving(upstream) and not isinstance(err, UpstreamMoved):",
        "if False:",
        (CRASHING,),
    ),
    Mutant(
        "router-serves-before-it-has-read-the-marks",
        "edge/node.py",
        "known and self.treasury.ready and self._marks_known() and not self.leaving",
        "known and self.treasury.ready and not self.leaving",
        (f"{PLATFORM}/test_waking.py",),
    ),
    Mutant(
        "address-where-nobody-listens-is-tried-again",
        "requests/execution.py",
        "            note_end(upstream, trio.current_time())\n",
        "            pass\n",
        (CRASHING,),
    ),
    Mutant(
        "suspension-is-left-out-of-proofs",
        "process.py",
        "boot_time_s(), time.time()",
        "time.monotonic(), time.time()",
        (SUSPENSION,),
    ),
    Mutant(
        "wait-outlasts-a-suspension",
        "clocks.py",
        "return min(deadline - self._read(), MOST_SLEEP_S)",
        "return deadline - self._read()",
        (SUSPENSION,),
    ),
    Mutant(
        "router-runs-on-the-steady-clock",
        "platform/program.py",
        "trio.run(_run, read_boot(), settings, log_level, clock=BootTimeClock())",
        "trio.run(_run, read_boot(), settings, log_level)",
        (SUSPENSION,),
    ),
    Mutant(
        "nothing-is-read-again-on-waking",
        "edge/node.py",
        "        self._rereads = [feed.refresh() for feed in feeds]\n",
        "",
        (f"{PLATFORM}/test_waking.py",),
    ),
    Mutant(
        "waiting-read-outlasts-a-suspension",
        "journal/feed.py",
        "            self._reading.cancel()\n",
        "            pass\n",
        (f"{PLATFORM}/test_waking.py",),
    ),
    Mutant(
        "all-ledgers-that-are-due-in-one-append",
        "budgets/ledger_partition.py",
        "            if size >= APPEND_BYTES:\n                break\n",
        "",
        (f"{LEDGERS}/test_large_partition.py",),
    ),
    Mutant(
        "waiting-callers-ledger-has-no-turn-before-others",
        "budgets/ledger_partition.py",
        "return not is_waited_for, self._planned_at.get(account, -math.inf)",
        "return False, self._planned_at.get(account, -math.inf)",
        (f"{LEDGERS}/test_large_partition.py",),
    ),
    Mutant(
        "first-ledgers-have-each-turn",
        "budgets/ledger_partition.py",
        "return not is_waited_for, self._planned_at.get(account, -math.inf)",
        "return not is_waited_for, 0.0",
        (f"{LEDGERS}/test_large_partition.py",),
    ),
    Mutant(
        "granted-caller-waits-for-all-other-ledgers",
        "budgets/ledger_partition.py",
        "            self.hand_by_account[account].take(change)\n"
        "            self.hand_by_account[account].wake()\n",
        "            self.hand_by_account[account].take(change)\n",
        (f"{LEDGERS}/test_large_partition.py",),
    ),
    Mutant(
        "ledgers-not-read-while-more-is-due",
        "budgets/ledger_partition.py",
        "                await self._read()  # more may be due",
        "                pass  # more may be due",
        (f"{LEDGERS}/test_large_partition.py",),
    ),
    Mutant(
        "body-under-the-limit-of-the-head",
        "http/server.py",
        "                scope.deadline += len(event.data) / BODY_PACE\n",
        "",
        (f"{HTTP}/test_connections.py",),
    ),
    Mutant(
        "body-without-a-limit",
        "http/server.py",
        "scope.deadline += len(event.data) / BODY_PACE",
        'scope.deadline = float("inf")',
        (f"{HTTP}/test_connections.py",),
    ),
    Mutant(
        "reply-has-a-limit-on-the-whole",
        "keeper/relay.py",
        "                return await self._reply_to(call, REPLY_S + wait_s)",
        "                with trio.fail_after(REPLY_S + wait_s):\n"
        "                    return await self._reply_to(call, REPLY_S + wait_s)",
        (NARROW,),
    ),
    Mutant(
        "silent-peer-is-waited-for",
        "keeper/relay.py",
        "self._reply_to(call, REPLY_S + wait_s)",
        'self._reply_to(call, float("inf"))',
        (NARROW,),
    ),
    Mutant(
        "peer-that-takes-nothing-is-waited-for",
        "keeper/relay.py",
        "self._link.send(message, REPLY_S)",
        "self._link.send(message)",
        (NARROW,),
    ),
    Mutant(
        "silence-counted-over-the-whole-message",
        "wire/links.py",
        "            try:\n                with _silence(silence_s):\n"
        "                    data = await self._stream.receive_some(RECEIVE_BYTES)\n",
        '            try:\n                began = locals().get("began", trio.current_time())\n'
        "                with _silence(began + silence_s - trio.current_time()):\n"
        "                    data = await self._stream.receive_some(RECEIVE_BYTES)\n",
        ("railtide/router/tests/test_uplink.py",),
    ),
    Mutant(
        "silent-keeper-is-kept",
        "router/uplink.py",
        "link.receive(SILENCE_S)",
        "link.receive()",
        ("railtide/router/tests/test_uplink.py",),
    ),
    Mutant(
        "silent-keeper-is-asked-first-again",
        "router/uplink.py",
        "            except LinkSilent:\n                self._turn += 1\n",
        "            except LinkSilent:\n",
        ("railtide/router/tests/test_uplink.py",),
    ),
    Mutant(
        "reply-of-any-size",
        "keeper/server.py",
        "        if taken and size > REPLY_BYTES:\n            break\n",
        "",
        (NARROW,),
    ),
    Mutant(
        "record-above-a-reply-is-never-sent",
        "keeper/server.py",
        "if taken and size > REPLY_BYTES:",
        "if size > REPLY_BYTES:",
        (NARROW,),
    ),
    Mutant(
        "parts-thrown-away-at-a-failure",
        "keeper/follower.py",
        "        if self._checkpoint is None:\n            self._checkpoint",
        "        if True:\n            self._checkpoint",
        (CHECKPOINT,),
    ),
    Mutant(
        "parts-that-came-do-not-shorten-the-wait",
        "keeper/follower.py",
        "            if self._checkpoint.records_read > known:\n"
        "                self._backoff.reset()  # the log answers, now and then\n",
        "",
        (CHECKPOINT,),
    ),
    Mutant(
        "failed-read-asks-for-as-much-again",
        "keeper/follower.py",
        "                self._limit = max(1, self._limit // 2)\n",
        "",
        (CHECKPOINT,),
    ),
    Mutant(
        "older-word-is-sent-too",
        "keeper/outbox.py",
        "            return type(message)\n",
        "            return None\n",
        (NARROW,),
    ),
    Mutant(
        "objects-count-as-events",
        "keeper/outbox.py",
        "            return ObjectMessage, message.kind, message.name\n",
        "            return None\n",
        (NARROW,),
    ),
    Mutant(
        "status-goes-before-what-it-speaks-of",
        "keeper/outbox.py",
        "            self._message_by_thing.move_to_end(thing)\n",
        "            pass\n",
        (OUTBOX,),
    ),
    Mutant(
        "events-without-a-bound",
        "keeper/outbox.py",
        "            if self._events >= MOST_EVENTS:\n                return False\n",
        "",
        (OUTBOX,),
    ),
    Mutant(
        "sent-events-count-on",
        "keeper/outbox.py",
        "            self._events -= 1\n",
        "            pass\n",
        (OUTBOX,),
    ),
    Mutant(
        "all-entries-that-wait-in-one-append",
        "keeper/appender.py",
        " or size >= APPEND_BYTES:",
        ":",
        ("railtide/keeper/tests/test_appender.py",),
    ),
    Mutant(
        "append-sent-under-one-limit",
        "journal/http_log.py",
        "SEND_BYTES = 65_536",
        "SEND_BYTES = 1 << 30",
        ("railtide/journal/tests/test_http_log.py",),
    ),
    Mutant(
        "session-has-a-limit-on-the-whole-log",
        "operators/session.py",
        "                heard_at = trio.current_time()\n            elif",
        "            elif",
        ("railtide/operators/tests/test_long_logs.py",),
    ),
    Mutant(
        "session-waits-for-a-silent-log",
        "operators/session.py",
        "elif trio.current_time() - heard_at > self._timeout_s:",
        "elif False:",
        ("railtide/operators/tests/test_long_logs.py",),
    ),
    Mutant(
        "old-view-refuses-for-good",
        "edge/node.py",
        "if not refusal.rests_on_configuration or self.configuration_is_current():",
        "if True:",
        (OUTDATED,),
    ),
    Mutant(
        "fresh-view-is-doubted",
        "edge/freshness.py",
        "return self._feed.is_current() and not self._is_read_late()",
        "return False",
        (OUTDATED,),
    ),
    Mutant(
        "overdue-answer-is-not-doubted",
        "edge/freshness.py",
        "return self._feed.is_current() and not self._is_read_late()",
        "return self._feed.is_current()",
        (EDGE,),
    ),
    Mutant(
        "feed-that-is-not-current-is-not-doubted",
        "edge/freshness.py",
        "return self._feed.is_current() and not self._is_read_late()",
        "return not self._is_read_late()",
        (OUTDATED,),
    ),
    Mutant(
        "unknown-route-is-final-by-any-view",
        "requests/errors.py",
        "status = 404\n    run = Run.NOT_RUN\n    rests_on_configuration = True",
        "status = 404\n    run = Run.NOT_RUN",
        (OUTDATED,),
    ),
    Mutant(
        "unknown-key-is-final-by-any-view",
        "requests/errors.py",
        "status = 401\n    run = Run.NOT_RUN\n    rests_on_configuration = True",
        "status = 401\n    run = Run.NOT_RUN",
        (OUTDATED,),
    ),
    Mutant(
        "spent-budget-is-final-by-any-view",
        "budgets/errors.py",
        "    rests_on_configuration = True\n",
        "",
        (OUTDATED,),
    ),
    Mutant(
        "forbidden-name-is-final-by-any-view",
        "requests/errors.py",
        "status = 403\n    run = Run.NOT_RUN\n    rests_on_configuration = True",
        "status = 403\n    run = Run.NOT_RUN",
        (EDGE,),
    ),
    Mutant(
        "store-that-is-away-makes-routers-unready",
        "edge/freshness.py",
        "return self._known_s() > BEHIND_S",
        "return trio.current_time() - self._feed.freshness.read_at > BEHIND_S",
        (EDGE,),
    ),
    Mutant(
        "newer-known-for-a-moment-makes-routers-unready",
        "edge/freshness.py",
        "return self._known_s() > BEHIND_S",
        "return self._known_s() > 0",
        (EDGE,),
    ),
    Mutant(
        "router-that-is-behind-is-ready",
        "edge/node.py",
        "return self.serves and not self._freshness.is_behind()",
        "return self.serves",
        (OUTDATED,),
    ),
    Mutant(
        "router-that-is-behind-leaves-the-roster",
        "edge/node.py",
        "self.roster.run, lambda: self.serves)",
        "self.roster.run, lambda: self.ready)",
        (OUTDATED,),
    ),
    Mutant(
        "retry-after-outlasts-the-addresses",
        "edge/freshness.py",
        "min(left_s, self._most_retry_s)",
        "left_s",
        (EDGE,),
    ),
    Mutant(
        "retry-after-knows-no-transfer",
        "edge/freshness.py",
        "SOON_S if left_s is None else min(left_s, self._most_retry_s)",
        "SOON_S",
        (EDGE,),
    ),
    Mutant(
        "each-answer-by-an-old-view-has-a-line",
        "edge/freshness.py",
        "        if self._old_since is not None:\n            return\n        now",
        "        now",
        (EDGE,),
    ),
    Mutant(
        "age-of-a-read-counts-from-the-start",
        "edge/freshness.py",
        "now - max(read_at, began_at)",
        "now - began_at",
        (EDGE,),
    ),
    Mutant(
        "router-that-is-behind-is-named-like-others",
        "membership/entrance_set.py",
        "_by_domain_in_turn(current) + _by_domain_in_turn(behind)",
        "_by_domain_in_turn(candidates)",
        (MEMBERSHIP,),
    ),
    Mutant(
        "none-is-named-where-all-are-behind",
        "membership/entrance_set.py",
        "_by_domain_in_turn(current) + _by_domain_in_turn(behind)",
        "_by_domain_in_turn(current)",
        (MEMBERSHIP,),
    ),
    Mutant(
        "router-does-not-say-that-it-is-behind",
        "membership/roster.py",
        "behind=self._is_behind(),",
        "behind=False,",
        (MEMBERSHIP,),
    ),
    Mutant(
        "being-behind-waits-for-the-next-beat",
        "membership/roster.py",
        "if self._is_behind() != self._member.behind:",
        "if False:",
        (MEMBERSHIP,),
    ),
    Mutant(
        "limit-that-may-be-old-refuses-for-good",
        "http/server.py",
        "self.server.limits.doubt_s() if refused.by_limit else None",
        "None",
        (HTTP,),
    ),
    Mutant(
        "unreadable-request-may-come-again",
        "http/server.py",
        "self.server.limits.doubt_s() if refused.by_limit else None",
        "self.server.limits.doubt_s()",
        (HTTP,),
    ),
    Mutant(
        "head-limit-holds-for-heads-that-came-whole-only",
        "http/server.py",
        "if in_head and len(self.h11.trailing_data[0]) > self.server.limits.head_bytes:",
        "if False:",
        (HTTP,),
    ),
    Mutant(
        "head-limit-of-a-connections-begin-stays",
        "http/server.py",
        "most = max(MOST_READ_AHEAD, server.limits.head_bytes)",
        "most = server.limits.head_bytes",
        (HTTP,),
    ),
    Mutant(
        "limits-are-never-doubted",
        "platform/program.py",
        "ConnectionLimits(doubt_s=node.limits_doubt_s)",
        "ConnectionLimits()",
        ("tests/test_edge_process.py",),
    ),
    Mutant(
        "answer-is-bounded-as-a-whole",
        "http/stall.py",
        "if first or self._portion >= self._least_bytes:",
        "if first:",
        (f"{LARGE}::TestLargeState",),
    ),
    Mutant(
        "trickle-holds-a-read",
        "http/stall.py",
        "if first or self._portion >= self._least_bytes:",
        "if True:",
        (f"{NARROW}::TestTrickle",),
    ),
    Mutant(
        "silence-within-an-answer-is-not-noticed",
        "http/stall.py",
        "self._scope.deadline = trio.current_time() + self._stall_s",
        "self._scope.deadline = trio.current_time() + 600",
        (f"{NARROW}::TestSilence",),
    ),
    Mutant(
        "large-request-is-not-waited-for",
        "http/client.py",
        "            self._watch.note_sent()\n",
        "            pass\n",
        (f"{NARROW}::TestLargeAppend",),
    ),
    Mutant(
        "idle-connections-are-trusted-behind-a-silence",
        "platform/store.py",
        "            self._pool.drop_idle()\n",
        "            pass\n",
        (f"{NARROW}::TestSilence",),
    ),
    Mutant(
        "late-answer-is-never-waited-for",
        "journal/patience.py",
        "self._usual_s * GROWTH**silences",
        "self._usual_s",
        (f"{LARGE}::TestLargeState",),
    ),
    Mutant(
        "wait-for-an-answer-grows-without-end",
        "journal/patience.py",
        "min(self._most_s, self._usual_s * GROWTH**silences)",
        "self._usual_s * GROWTH**silences",
        (PATIENCE,),
    ),
    Mutant(
        "wait-stays-long-behind-an-answer",
        "journal/patience.py",
        "        self._silences_by_subject.pop(subject, None)\n",
        "",
        (PATIENCE,),
    ),
    Mutant(
        "call-of-before-a-return-keeps-its-long-wait",
        "journal/patience.py",
        "                watch.hurry(max(due, now + self._usual_s))\n",
        "                pass\n",
        (PATIENCE, f"{NARROW}::TestSlowStore::{CALL_OF_BEFORE}"),
    ),
    Mutant(
        "held-read-is-given-up-behind-a-return",
        "journal/patience.py",
        "watch.hurry(max(due, now + self._usual_s))",
        "watch.hurry(now + self._usual_s)",
        (PATIENCE,),
    ),
    Mutant(
        "whole-records-of-a-broken-answer-are-read-again",
        "platform/store.py",
        "            if not reader.has_records:\n                raise\n",
        "            raise\n",
        (f"{STORE}::TestProgress", f"{NARROW}::TestBrokenAnswer::{KEPT}"),
    ),
    Mutant(
        "part-of-a-record-counts",
        "platform/page.py",
        "return behind if len(self._rest) >= behind else None",
        "return behind",
        (f"{PLATFORM}/test_page.py",),
    ),
    Mutant(
        "pages-of-the-newest-are-read-again",
        "platform/store.py",
        "if known and trio.current_time() - known.came_at <= RESUME_S:",
        "if False:",
        (f"{STORE}::TestProgress",),
    ),
    Mutant(
        "pages-of-long-ago-are-gone-on-with",
        "platform/store.py",
        "if known and trio.current_time() - known.came_at <= RESUME_S:",
        "if known:",
        (f"{STORE}::TestProgress",),
    ),
    Mutant(
        "replaced-versions-are-read",
        "journal/feed.py",
        "            raise _Superseded\n",
        "            pass\n",
        (f"{LARGE}::TestSeveralVersions", FEED),
    ),
    Mutant(
        "small-versions-are-not-read-in-order",
        "journal/feed.py",
        "if large and known and waiting >",
        "if known and waiting >",
        (FEED,),
    ),
    Mutant(
        "only-version-is-not-read-as-it-is",
        "journal/feed.py",
        "waiting > max(1, known * ENCODED)",
        "waiting > 0",
        (FEED,),
    ),
    Mutant(
        "feed-is-current-with-a-version-under-way",
        "journal/feed.py",
        "return heard and self.freshness.behind_since is None",
        "return heard",
        (FEED,),
    ),
    Mutant(
        "feed-is-current-with-the-rest-of-an-answer-due",
        "journal/feed.py",
        "        if page.next_offset >= page.end:\n            self.freshness.note_complete()\n",
        "        self.freshness.note_complete()\n",
        (f"{NARROW}::TestBrokenAnswer::{REST_DUE}",),
    ),
    Mutant(
        "appended-again-while-the-fold-is-behind",
        "keeper/appender.py",
        "        return offset > self._follower.state.offset\n",
        "        return False\n",
        ("railtide/keeper/tests/test_appender.py",),
    ),
    Mutant(
        "passed-over-by-the-fold-and-never-sent-again",
        "keeper/appender.py",
        "        return offset > self._follower.state.offset\n",
        "        return offset >= 0\n",
        ("railtide/keeper/tests/test_appender.py",),
    ),
    Mutant(
        "records-of-new-keys-count-as-replaced",
        "journal/feed.py",
        "if large and known and waiting",
        "if large and waiting",
        (f"{NARROW}::TestBrokenAnswer::test_whole_records_of_a_read_are_not_read_again",),
    ),
    Mutant(
        "newest-are-begun-again-behind-each-break",
        "journal/feed.py",
        "        self._left = False\n        self._may_leave = False\n        return True\n",
        "        return False\n",
        (f"{NARROW}::TestBrokenAnswer::{BROKEN_NEWEST}",),
    ),
    Mutant(
        "read-is-left-again-before-it-has-moved-on",
        "journal/feed.py",
        "        self._may_leave = False\n",
        "",
        (f"{NARROW}::TestBrokenAnswer::{BROKEN_NEWEST}",),
    ),
    Mutant(
        "feed-is-current-behind-an-expired-history",
        "journal/feed.py",
        'info("history-expired")\n                self.freshness.note_newer()\n',
        'info("history-expired")\n',
        (FRESHNESS,),
    ),
    Mutant(
        "bytes-of-an-earlier-page-count",
        "journal/transfer.py",
        "        self.size = size\n        self.received = 0\n",
        "        self.size = size\n",
        (FRESHNESS,),
    ),
    Mutant(
        "only-call-of-a-client-never-waits-longer",
        "journal/patience.py",
        "is_alone = silences % 2 == 1 and not self._due_by_watch",
        "is_alone = False",
        (f"{NARROW}::TestSlowStore", PATIENCE),
    ),
    Mutant(
        "only-call-of-a-client-always-waits-longer",
        "journal/patience.py",
        "silences % 2 == 1 and not self._due_by_watch",
        "not self._due_by_watch",
        (PATIENCE,),
    ),
    Mutant(
        "calls-that-wait-longer-vouch-for-each-other",
        "journal/patience.py",
        "        if head_s <= self._usual_s:\n            self._usual.add(watch)\n",
        "        self._usual.add(watch)\n",
        (PATIENCE,),
    ),
]


def survives(mutant: Mutant) -> bool:
    """Return whether the named tests pass with the fault in."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for part in ("railtide", "tests"):
            shutil.copytree(ROOT / part, copy / part, ignore=shutil.ignore_patterns("__pycache__"))
        for name in ("pyproject.toml", "conftest.py", "KNOWN-RED.txt"):
            shutil.copy(ROOT / name, copy / name)
        target = copy / "railtide" / mutant.file
        text = target.read_text()
        if text.count(mutant.old) != 1:
            raise ValueError(f"{mutant.name}: its text stands {text.count(mutant.old)} times")
        target.write_text(text.replace(mutant.old, mutant.new))
        done = subprocess.run(
            [sys.executable, "-m", "pytest", "-x", "--timeout", "100", *mutant.tests],
            cwd=copy,
            env={"PYTHONPATH": str(copy), "PATH": "", "PYTHONHASHSEED": "0"},
            capture_output=True,
            timeout=TIMEOUT_S,
        )
    return done.returncode == 0


def main() -> int:
    """Try all mutants and report."""
    with ThreadPoolExecutor(WORKERS) as pool:
        results = list(pool.map(survives, MUTANTS))
    unexpected = 0
    for mutant, alive in zip(MUTANTS, results, strict=True):
        listed = " (listed)" if mutant.name in SURVIVORS else ""
        print(f"{'survived' if alive else 'caught'}{listed if alive else ''}: {mutant.name}")
        unexpected += alive and mutant.name not in SURVIVORS
    print(f"{results.count(False)} caught, {results.count(True)} survived")
    return 1 if unexpected else 0


if __name__ == "__main__":
    sys.exit(main())
