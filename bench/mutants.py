"""Mutation testing: breaks the code in one place at a time and runs its tests.

Each mutant is applied to a scratch copy of the repository, where the named tests must
fail. Usage: python -m bench.mutants [name...]; writes docs/MUTANTS.md when all ran.
"""

import concurrent.futures
import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent
WORKERS = 3
TIMEOUT_SECONDS = 240


class Mutant(NamedTuple):
    """A replacement in a source file, and the tests that must fail with it.

    :param path: file below ``src/daisylink``.
    :param old: text to replace, at its first occurrence.
    :param test: test module or case, as ``unittest`` takes it.
    """

    name: str
    path: str
    old: str
    new: str
    test: str


MUTANTS = (
    Mutant(
        "no version check on install",
        "process/_installer.py",
        "        if update.number <= self.number:\n"
        "            return InstallResult.KNOWN\n"
        "        try:",
        "        try:",
        "tests.test_version",
    ),
    Mutant(
        "no check at the swap itself",
        "process/_installer.py",
        "        if version.number <= self.number:\n",
        "        if False:\n",
        "tests.test_version",
    ),
    Mutant(
        "digest of a snapshot unchecked",
        "version/_content.py",
        "    if sha256_digest(data) != digest:\n",
        "    if False:\n",
        "tests.test_version",
    ),
    Mutant(
        "digest of a delta's result unchecked",
        "version/_content.py",
        "    if compute_content_digest(content) != digest:\n",
        "    if False:\n",
        "tests.test_version",
    ),
    Mutant(
        "closure unchecked at install",
        "version/_version.py",
        "    check_references(content)\n",
        "",
        "tests.test_version",
    ),
    Mutant(
        "sheet's end row not asked for",
        "version/_sheet.py",
        "        if not ended:\n",
        "        if False:\n",
        "tests.test_sheet",
    ),
    Mutant(
        "a lost answer counts as failure",
        "version/_acceptance.py",
        "                case AnswerLost():\n"
        "                    self.swap_sent = True\n",
        "                case AnswerLost():\n"
        "                    raise PlatformError('lost')\n",
        "tests.test_acceptance",
    ),
    Mutant(
        "history not written before the swap",
        "version/_acceptance.py",
        "            yield from self._write_once(history_key(base.number), "
        "encode_head(base))\n",
        "            pass\n",
        "tests.test_acceptance",
    ),
    Mutant(
        "history not looked at when settling",
        "version/_acceptance.py",
        "        if past is not None:\n",
        "        if False:\n",
        "tests.test_acceptance",
    ),
    Mutant(
        "swap without compare",
        "version/_acceptance.py",
        "            event = yield Write(HEAD_KEY, value, index, tries)\n",
        "            seen = yield Read(HEAD_KEY)\n"
        "            event = yield Write(HEAD_KEY, value, seen.index, tries)\n",
        "tests.test_acceptance",
    ),
    Mutant(
        "late news of an older incarnation is taken",
        "serving/_records.py",
        "        return (self.incarnation, self.state) > (other.incarnation, "
        "other.state)\n",
        "        return self != other\n",
        "tests.test_fleet_matrix",
    ),
    Mutant(
        "an unconfirmed push is not sent to the next node; no pull repairs",
        "process/_puller.py",
        "        if self.in_flight is not None or now < self.due:\n",
        "        if True:\n",
        "tests.test_fleet_matrix",
    ),
    Mutant(
        "a lapsed reader keeps its slot and its watch",
        "process/_reader.py",
        "        if has_expired or is_isolated:\n"
        "            return self.release_slot(now)\n",
        "        if has_expired:\n            return []\n",
        "tests.test_fleet",
    ),
    Mutant(
        "a fresh node is ready on any version",
        "process/_readiness.py",
        "        if not number or "
        "number < max(self.peer_versions.values(), default=0):\n",
        "        if not number:\n",
        "tests.test_fleet",
    ),
    Mutant(
        "the paused detector blames others",
        "process/_detector.py",
        "            self._reset_after_pause(now)\n",
        "            pass\n",
        "tests.test_fleet",
    ),
    Mutant(
        "snapshots are not rationed",
        "process/_pull_server.py",
        "        if is_large and not self.snapshot_limiter.admit"
        "(request.sender, now):\n",
        "        if False:\n",
        "tests.test_fleet",
    ),
    Mutant(
        "a non-idempotent request is sent again after a loss",
        "request/_attempts.py",
        "return self._retry(replayable and self.plan.idempotent, now)\n",
        "return self._retry(replayable, now)\n",
        "tests.test_calls",
    ),
    Mutant(
        "a loss is told as not run",
        "request/_outcome.py",
        "    ResultCode.REQUEST_ANSWER_LOST: Outcome.UNKNOWN,\n",
        "",
        "tests.test_calls",
    ),
    Mutant(
        "admission stays open in drain",
        "serving/_gateway.py",
        "        if own_record.server is ServerState.SERVING and is_serving:\n",
        "        if own_record.server is not ServerState.ABSENT:\n",
        "tests.test_calls",
    ),
    Mutant(
        "a planned stop does not wait",
        "process/_node.py",
        "        await self.gateway.wait_until_drained(end)\n",
        "",
        "tests.test_calls",
    ),
    Mutant(
        "a hung-up caller keeps its slot",
        "request/_exchange.py",
        "        self.done = True\n        self._release()\n"
        "        self.gateway.record_cancelled(self)\n",
        "        self.done = True\n        self.gateway.record_cancelled(self)\n",
        "tests.test_calls",
    ),
    Mutant(
        "one keeper's grant is enough",
        "process/_replicas.py",
        "    return len(placement.keepers) // 2 + 1\n",
        "    return 1\n",
        "tests.test_keys.KeeperTests",
    ),
    Mutant(
        "a sealed shard still grants",
        "process/_key_records.py",
        "        shard_records.sealed = True\n",
        "        pass\n",
        "tests.test_ledger",
    ),
    Mutant(
        "a lost majority starts empty at once",
        "process/_replicas.py",
        "                if now - since < "
        "self.settings.lost_majority_wait.total_seconds():\n",
        "                if False:\n",
        "tests.test_keys.KeeperTests",
    ),
    Mutant(
        "a key is not claimed before its request runs",
        "request/_local_run.py",
        "        if key is None:\n",
        "        if True:\n",
        "tests.test_keys.KeyedCallTests",
    ),
    Mutant(
        "a failed connection marks its node before its try has ended",
        "request/_sender.py",
        "        self._record_failure()\n"
        "        self.refuse_attempt(ResultCode.REQUEST_CONNECT_FAILED)\n",
        "        if target:\n"
        "            self.gateway.in_flight_tracker.record_unreachable(target, True)\n"
        "        self.refuse_attempt(ResultCode.REQUEST_CONNECT_FAILED)\n",
        "tests.test_silence",
    ),
    Mutant(
        "a refused probe counts as silence",
        "connection/_hop_pool.py",
        "            return ProbeResult.REFUSED\n",
        "            return ProbeResult.SILENT\n",
        "tests.test_silence",
    ),
    Mutant(
        "an older version is installed",
        "sidecar/_fleet_state.py",
        "        if version.number <= self.version_number:\n",
        "        if False:\n",
        "tests.test_sidecar",
    ),
    Mutant(
        "a success needs no proof",
        "request/_response_reader.py",
        "    if not has_server_proof(head, header_names):\n",
        "    if False:\n",
        "tests.test_server_answers",
    ),
    Mutant(
        "a stray answer is taken for the own one",
        "request/_response_reader.py",
        "    return sender.answer_id in (None, sender.exchange.head.request_id)\n",
        "    return True\n",
        "tests.test_server_answers",
    ),
    Mutant(
        "late heartbeats bring a server back",
        "serving/_local_server.py",
        "        if order < self.newest:\n",
        "        if False:\n",
        "tests.test_sidecar",
    ),
    Mutant(
        "an announcement of a server that left brings it back",
        "serving/_local_server.py",
        "        if not is_draining and self._has_departed(announcement):\n",
        "        if False:\n",
        "tests.test_sidecar",
    ),
    Mutant(
        "a leave is acknowledged before the store holds it",
        "registry/_departures.py",
        "        return start in self.stored\n",
        "        return True\n",
        "tests.test_departures",
    ),
    Mutant(
        "a process that has just started serves a server that may have left",
        "serving/_local_server.py",
        "        self.awaits_departures = awaits_departures\n",
        "        self.awaits_departures = False\n",
        "tests.test_departures",
    ),
    Mutant(
        "a started process forgets what the one before it acknowledged",
        "sidecar/_announcement_handler.py",
        "        self.local_server.restore_departures(found)\n",
        "        pass\n",
        "tests.test_forgotten_leave",
    ),
    Mutant(
        "requests queue by their deadline alone",
        "serving/_waiting_queue.py",
        "        return now + self.seconds + self.margin > self.slo_deadline\n",
        "        return False\n",
        "tests.test_worst_load",
    ),
    Mutant(
        "requests wait in order of arrival whatever their kind",
        "serving/_waiting_queue.py",
        "        weighted = self.get_service_time(group.kind)"
        " * TIME_FACTORS[group.priority]\n",
        "        weighted = 0.0\n",
        "tests.test_worst_load",
    ),
    Mutant(
        "a server that left before its node knew it comes back",
        "serving/_local_server.py",
        "        return self._record_departed(ServerStart(departure.instance, born"
        " or left_ms))\n",
        "        return self._record_departed(ServerStart(departure.instance, born))\n",
        "tests.test_local_server",
    ),
    Mutant(
        "a pause of the process counts as the peer's silence",
        "connection/_hop_pool.py",
        "                if gateway.now() - started_at < late:\n",
        "                if True:\n",
        "tests.test_silence",
    ),
    Mutant(
        "a node that refuses connections is still chosen",
        "serving/_reachability.py",
        "        if result is not ProbeResult.ANSWERED:\n",
        "        if result is ProbeResult.SILENT:\n",
        "tests.test_worst_load",
    ),
    Mutant(
        "a server's headers may speak for daisylink",
        "request/_response.py",
        "            if name not in dropped and not name.startswith(OWN_PREFIX):\n",
        "            if name not in dropped:\n",
        "tests.test_framing",
    ),
    Mutant(
        "spread: what was held of an answer waits for the loop",
        "connection/_caller.py",
        "            self.response_order.take_turn(self.current)\n",
        "",
        "tests.test_pipelining",
    ),
    Mutant(
        "spread: a stop closes over answers that are owed",
        "request/_exchange.py",
        "        return self.keep_alive and self.caller.has_started_after(self)\n",
        "        return False\n",
        "tests.test_sidecar",
    ),
    Mutant(
        "spread: narrow links take the place of lost readers",
        "registry/_readers.py",
        "        if is_narrow and len(readers) >= settings.min_readers:\n"
        "            break\n",
        "",
        "tests.test_readers",
    ),
    Mutant(
        "spread: each version of a storm is published",
        "registry/_readers.py",
        "        return max(due, self.published_at + self.min_interval_seconds)\n",
        "        return due\n",
        "tests.test_readers",
    ),
    Mutant(
        "spread: deletions before the first listing are not told",
        "sidecar/_change_feed.py",
        "        is_whole = after < watch_cache.first_revision\n",
        "        is_whole = False\n",
        "tests.test_large_fleet",
    ),
    Mutant(
        "spread: a reader that is behind feeds others",
        "sidecar/_fleet_sync.py",
        "        if self.peer_versions.is_behind or self.is_stopping:\n",
        "        if self.is_stopping:\n",
        "tests.test_large_fleet",
    ),
    Mutant(
        "spread: a small fleet begins with an old edition",
        "sidecar/_fleet_state.py",
        "        may_install = self.accepts_compressed_versions or not is_first\n",
        "        may_install = True\n",
        "tests.test_large_fleet",
    ),
    Mutant(
        "spread: strikes stay at the node that saw the crash",
        "sidecar/_sidecar.py",
        "            strikes=self.strikes.list_current(),\n",
        "",
        "tests.test_strikes",
    ),
    Mutant(
        "spread: strikes of a node that is gone are not listed by others",
        "sidecar/_strikes.py",
        "        return ahead < ADOPTERS\n",
        "        return False\n",
        "tests.test_strikes_over_restarts",
    ),
    Mutant(
        "spread: a starting node takes old strikes for new ones",
        "sidecar/_strikes.py",
        "                find_lifetime = self._find_old_lifetime\n",
        "                pass\n",
        "tests.test_strikes_over_restarts",
    ),
    Mutant(
        "a crashing request is checked beside the server only",
        "request/_sender.py",
        "        if not self.entry_check.passes():\n            return\n",
        "",
        "tests.test_strikes_over_restarts",
    ),
    Mutant(
        "a crashing request is told by its chunks",
        "request/_body.py",
        "            self.kept += data\n",
        "            self.kept += frame_chunk(data) if self.chunked else data\n",
        "tests.test_fingerprints",
    ),
    Mutant(
        "a planned stop drops what callers have not read",
        "connection/_caller.py",
        "        return is_idle and not count_unsent_bytes(self.transport)\n",
        "        return is_idle\n",
        "tests.test_planned_stop",
    ),
    Mutant(
        "a watch goes on from a revision of an earlier era",
        "platform/_store.py",
        "    if revision.era != era:\n",
        "    if False:\n",
        "tests.test_store_era",
    ),
    Mutant(
        "an old copy of a record brings a node back",
        "sidecar/_fleet_state.py",
        "        return 0 < record.era < self.era_tracker.current\n",
        "        return False\n",
        "tests.test_store_era",
    ),
    Mutant(
        "a node that starts believes the store's older copy",
        "sidecar/_fleet_state.py",
        "            self.is_deferring = self.version is None\n",
        "            self.is_deferring = False\n",
        "tests.test_store_era",
    ),
    Mutant(
        "a version that the store lost is not told to peers",
        "sidecar/_peer_exchange.py",
        "        if self.fleet_state.version_number <= known:\n",
        "        if True:\n",
        "tests.test_store_era",
    ),
    Mutant(
        "one late heartbeat is proof that a server has not left",
        "serving/_local_server.py",
        "        self.needs_proof = self.awaits_witness = not is_complete\n",
        "        self.needs_proof = self.awaits_witness = False\n",
        "tests.test_lost_departures",
    ),
    Mutant(
        "a lease is kept over a change of the era",
        "sidecar/_era_recovery.py",
        "        self.registration.begin_era(self.now(), spread)\n",
        "",
        "tests.test_store_era",
    ),
    Mutant(
        "a response of an older era is believed",
        "registry/_era.py",
        "        if era is None or era < self.current:\n",
        "        if False:\n",
        "tests.test_store_era",
    ),
    Mutant(
        "departures that the store lost count as stored",
        "registry/_departures.py",
        "        self.stored = frozenset()\n        self.is_listed = False\n",
        "        self.is_listed = False\n",
        "tests.test_departures",
    ),
    Mutant(
        "spread: a new era makes each node a reader",
        "registry/_members.py",
        "        if self.is_lapse:\n            return dict(self.records)\n",
        "",
        "tests.test_large_fleet",
    ),
    Mutant(
        "spread: a compressed version that the store lost stays lost",
        "registry/_readers.py",
        "        self.published_number = number\n",
        "        self.published_number = max(self.published_number, number)\n",
        "tests.test_readers",
    ),
    Mutant(
        "a lapse of the leases makes followers readers",
        "registry/_members.py",
        "        if len(self.expired) > len(self.records) * self.lapse_share:\n",
        "        if False:\n",
        "tests.test_late_versions.LapsedRankTests",
    ),
    Mutant(
        "a read that receives bytes is begun anew",
        "sidecar/_store_driver.py",
        "transfer.received_at + RECEIVING_SECONDS",
        "0.0",
        "tests.test_late_versions.NarrowLinkTests",
    ),
    Mutant(
        "bytes that arrive do not extend a timeout",
        "http_client.py",
        "        if timeout is not None and not timeout.expired():\n",
        "        if False:\n",
        "tests.test_late_versions.NarrowLinkTests",
    ),
    Mutant(
        "a refused publish is repeated unchanged",
        "registry/_readers.py",
        "        if self.revision == self.refused_revision:\n",
        "        if False:\n",
        "tests.test_late_versions.RefusedPublishTests",
    ),
    Mutant(
        "a version known from a peer is never published",
        "sidecar/_fleet_state.py",
        "            if is_configuration and version.number == self.version_number:\n",
        "            if False:\n",
        "tests.test_late_versions.UnpublishedVersionTests",
    ),
    Mutant(
        "a limited server's turns are not counted",
        "serving/_pacer.py",
        "            self.due_at = max(self.due_at, now) + 1 / self.rate\n",
        "            pass\n",
        "tests.test_server_limit.PacedAdmissionTests",
    ),
    Mutant(
        "a limit outlives its server",
        "serving/_server_notices.py",
        "        if self.own.expect(self.own_start):\n",
        "        if False:\n",
        "tests.test_server_limit.ServerLimitTests",
    ),
    Mutant(
        "a node that starts again does not believe a told limit",
        "serving/_server_notices.py",
        "        if self.own.handle_told_limit(told.rate):\n",
        "        if False:\n",
        "tests.test_server_limit.ServerLimitTests",
    ),
    Mutant(
        "a leaving server is chosen after its node forgot",
        "serving/_load_balancer.py",
        "            if not self.peer_notices.is_leaving(record)\n",
        "",
        "tests.test_server_limit.LeavingServerTests",
    ),
    Mutant(
        "bytes without end are read on",
        "connection/_hop.py",
        "        return has_too_many_headers or self.useless_bytes > MAX",
        "        return False and self.useless_bytes > MAX",
        "tests.test_endless_bytes",
    ),
    Mutant(
        "a response that waits for its turn is read without bound",
        "connection/_response_order.py",
        "            if len(exchange.pending_output) > MAX_HELD_BYTES:\n",
        "            if False:\n",
        "tests.test_held_bytes.EndlessResponseTests",
    ),
    Mutant(
        "a lost answer of which the caller has nothing closes its connection",
        "request/_exchange.py",
        "        if self.is_response_handed_on:\n",
        "        if self.is_responding:\n",
        "tests.test_broken_answers",
    ),
    Mutant(
        "a part of an answer is handed on while servers work at requests behind it",
        "connection/_response_order.py",
        "        return is_small and caller.has_started_after(exchange)\n",
        "        return False\n",
        "tests.test_broken_answers.RequestsBehindTests",
    ),
    Mutant(
        "a request starts behind an answer of which a part is out",
        "request/_start.py",
        "    if exchange.gateway.stopping or exchange.caller.is_mid_response:\n",
        "    if exchange.gateway.stopping:\n",
        "tests.test_broken_answers.RequestsBehindTests",
    ),
    Mutant(
        "an invalid status code is passed on",
        "connection/_hop.py",
        "        if status not in FINAL_STATUSES:\n",
        "        if not status:\n",
        "tests.test_response_status",
    ),
    Mutant(
        "a request that ran before its strikes arrived withdraws none",
        "request/_local_run.py",
        "        if has_run and has_strike(self.exchange):\n",
        "        if has_run and self.suspect is not None:\n",
        "tests.test_popular_request",
    ),
    Mutant(
        "crashes of one moment count each",
        "serving/_quarantine.py",
        "        if not self.same_moment:\n",
        "        if True:\n",
        "tests.test_popular_request",
    ),
    Mutant(
        "every node tries a quarantined request",
        "serving/_suspect_trials.py",
        "        if record is None or record.node != self.directory.own_record.node:\n",
        "        if record is None:\n",
        "tests.test_suspect_trials",
    ),
    Mutant(
        "nothing bounds the bytes held by the process",
        "connection/_held_bytes.py",
        "        while total > self.max_bytes and held:\n",
        "        while False:\n",
        "tests.test_connection_machine",
    ),
    Mutant(
        "a body in front of a head counts as its bytes",
        "connection/_head_limits.py",
        "        self.size = 0 if self.has_parsed else self.size + size\n",
        "        self.size += size\n",
        "tests.test_unreadable_requests",
    ),
    Mutant(
        "a connection is closed with unread bytes",
        "connection/_caller.py",
        "        self.lingering = LingeringClose(self.transport, self.gateway.now())\n",
        "        self.transport.close()\n",
        "tests.test_planned_stop",
    ),
    Mutant(
        "a request in front of unreadable bytes is not started",
        "connection/_caller.py",
        "        if needs_start and self.current is not None:\n",
        "        if needs_start and not self.is_rest_unread:\n",
        "tests.test_connection_machine",
    ),
    Mutant(
        "a response that has begun has no deadline",
        "request/_exchange.py",
        "                LATE_RESPONSE_SECONDS, self.sender.handle_late_response\n",
        "                LATE_RESPONSE_SECONDS, lambda: None\n",
        "tests.test_connection_machine",
    ),
    Mutant(
        "late readers: a watch is never overdue",
        "sidecar/_store_driver.py",
        "        if now < self.overdue_at:\n",
        "        if True:\n",
        "tests.test_late_readers.LateReaderTests",
    ),
    Mutant(
        "late readers: keys are served however old they are",
        "sidecar/_fleet_sync.py",
        " and self.now() < self.watch_cache.stale_at\n",
        "\n",
        "tests.test_late_readers.LateReaderTests",
    ),
    Mutant(
        "late readers: a source that has not answered is waited for",
        "registry/_watch_cache.py",
        "            wait = timedelta() if self.is_unproven else self.watch_timeout\n",
        "            wait = self.watch_timeout\n",
        "tests.test_late_readers.LateReaderTests",
    ),
    Mutant(
        "late readers: a postponed restart is dropped",
        "sidecar/_store_driver.py",
        "            self.restart_watch(restart.reason)\n",
        "            pass\n",
        "tests.test_late_readers.LateReaderTests",
    ),
    Mutant(
        "late readers: each one publishes later without end",
        "registry/_readers.py",
        "        due = self.read_at + min(rank_delay, self.max_rank_delay_seconds)\n",
        "        due = self.read_at + rank_delay\n",
        "tests.test_late_readers.PublishOrderTests",
    ),
    Mutant(
        "late readers: nobody takes their place",
        "registry/_role.py",
        "        self.is_acting = self.standby_rank is not None\n",
        "        self.is_acting = False\n",
        "tests.test_late_readers.LateReaderTests",
    ),
    Mutant(
        "late readers: a random peer is asked",
        "sidecar/_peer_exchange.py",
        "        peer = self.rng.choice(known or peers)\n",
        "        peer = self.rng.choice(peers)\n",
        "tests.test_late_readers.KnowingPeerTests",
    ),
    Mutant(
        "late readers: a late write of the own record stays",
        "sidecar/_fleet_sync.py",
        "        if self.registration.handle_stored_record(stored):\n",
        "        if False:\n",
        "tests.test_late_readers.LateWriteTests",
    ),
    Mutant(
        "late readers: a frozen reader begins with no changes",
        "sidecar/_change_feed.py",
        "        if not self.can_serve():\n"
        "            self._turn_away()\n"
        "            return\n"
        "        response",
        "        response",
        "tests.test_large_fleet.ChangeFeedTests",
    ),
    Mutant(
        "an answer to one service clears another's crashing request",
        "serving/_quarantine.py",
        '            if key.caller in (fingerprint.caller, b""):\n',
        "            if True:\n",
        "tests.test_crashing_callers",
    ),
    Mutant(
        "a service is refused for another's crashing request",
        "serving/_quarantine.py",
        "            and (key.caller == fingerprint.caller or "
        "not held.is_caller_bound)\n",
        "",
        "tests.test_crashing_callers",
    ),
    Mutant(
        "a service that crashed nothing waits for a trial",
        "serving/_quarantine.py",
        "        if self._is_explained_by_another(fingerprint, now):\n",
        "        if False:\n",
        "tests.test_crashing_callers",
    ),
    Mutant(
        "each service waits out the pause of another's trial",
        "serving/_suspect_trials.py",
        "        self.pauses.pop(fingerprint.whole, None)\n",
        "        pass\n",
        "tests.test_crashing_callers",
    ),
    Mutant(
        "a listing in a new era forgets departures",
        "registry/_lost_departures.py",
        "        if item is not None and item.revision.era < era:\n",
        "        if False:\n",
        "tests.test_lost_departures",
    ),
    Mutant(
        "lost departures are not written again",
        "registry/_lost_departures.py",
        "            self.restore_at.setdefault(node, now + wait)\n",
        "            pass\n",
        "tests.test_lost_departures",
    ),
    Mutant(
        "a process that starts is not told what the store lost",
        "sidecar/_peer_exchange.py",
        "        if not starts:\n",
        "        if True:\n",
        "tests.test_lost_departures",
    ),
    Mutant(
        "a leave is told to nobody before it is confirmed",
        "sidecar/_departure_driver.py",
        "        if not fresh:\n",
        "        if True:\n",
        "tests.test_lost_departures",
    ),
    Mutant(
        "late heartbeats are a proof while peers are asked",
        "serving/_local_server.py",
        "        if self.is_renewed and not self.awaits_witness:\n",
        "        if self.is_renewed:\n",
        "tests.test_lost_departures",
    ),
    Mutant(
        "a name with a space is sent as it is",
        "request/_header_text.py",
        '    return ENCODED_MARK + quote(text, safe="")\n',
        "    return text\n",
        "tests.test_header_text",
    ),
    Mutant(
        "a line end in a name ends a server's header",
        "request/_header_text.py",
        "CONTROL_CHARACTERS.sub(lambda match: quote(match[0]), text).encode()",
        "text.encode()",
        "tests.test_header_text",
    ),
)


def run_mutant(mutant):
    """Run a mutant's tests; return the mutant and its result for the report."""
    with tempfile.TemporaryDirectory() as scratch:
        copy = Path(scratch) / "copy"
        ignore = shutil.ignore_patterns(".git", ".venv", "__pycache__", "*.egg-info")
        shutil.copytree(ROOT, copy, ignore=ignore)
        path = copy / "src" / "daisylink" / mutant.path
        text = path.read_text()
        if mutant.old not in text:
            return mutant, "line not found"
        path.write_text(text.replace(mutant.old, mutant.new, 1))
        environment = {**os.environ, "PYTHONPATH": f"{copy / 'src'}:{copy}"}
        try:
            done = subprocess.run(
                [sys.executable, "-m", "unittest", "-f", mutant.test],
                cwd=copy,
                env=environment,
                capture_output=True,
                timeout=TIMEOUT_SECONDS,
                check=False,
            )
        except subprocess.TimeoutExpired:
            return mutant, "caught (ran out of time)"
        return mutant, "caught" if done.returncode else "SURVIVED"


def main():
    wanted = sys.argv[1:]
    chosen = [m for m in MUTANTS if not wanted or any(w in m.name for w in wanted)]
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        results = list(pool.map(run_mutant, chosen))
    lines = [
        "# Mutants",
        "",
        "Written by `python -m bench.mutants`: each row breaks one place of the code",
        "in a scratch copy and runs the tests named; they must fail.",
        "",
        "| mutant | file | tests | result |",
        "| --- | --- | --- | --- |",
    ]
    for mutant, result in results:
        row = f"| {mutant.name} | `{mutant.path}` | `{mutant.test}` | {result} |"
        lines.append(row)
        print(row)
    if not wanted:
        (ROOT / "docs" / "MUTANTS.md").write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
