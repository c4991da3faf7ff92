/**
 * A model in virtual time of one entry that polls a store, which comes back from
 * older copies, and of an operator who writes again what was lost. Calls are slow
 * and some answers get lost.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { MessageQueue } from "@dandelionbank/message-queue";
import { decodeConfiguration } from "@dandelionbank/platform-adapter";
import { createConfiguration } from "@dandelionbank/run-entry";
import {
  applyConfiguration,
  createActiveConfiguration,
  mayUseKeys,
  recordProof,
  recordRestore,
} from "@dandelionbank/track-configuration";

const BOUNDS = {
  revocationMs: 5_000,
  configurationMs: 2_000,
  watchWaitMs: 1_500,
  rewriteMs: 2_000,
};
const OPTIONS = { bounds: BOUNDS, requiresKeys: true };

const FAULTS_END_MS = 15_000;
/** Time without faults after which the newest configuration must be in force. */
const SETTLE_MS = 6_000;
const CALL_TIMEOUT_MS = 700;
const CALL_INTERVAL_MS = 250;
const PROBE_INTERVAL_MS = 50;
/** Above the number of writes of one run. */
const ERA_SPAN = 1_000;

interface OperatorAction {
  readonly atMs: number;
  readonly kind: "publish" | "revoke" | "restore";
  readonly copyAgeMs: number;
  /** Time after a restore at which the operator writes again. */
  readonly rewriteMs: number;
}

interface CallOutcome {
  readonly requestMs: number;
  readonly answerMs: number;
  readonly isLost: boolean;
}

interface StoreState {
  readonly sinceMs: number;
  readonly version: number;
  readonly revision: number;
}

test("Versions rise, revoked keys stop and the newest comes into force over restores of the store", () => {
  fc.assert(
    fc.property(
      fc.array(createActionArbitrary(), { maxLength: 8 }),
      fc.array(createCallArbitrary(), { minLength: 1, maxLength: 12 }),
      runModel,
    ),
    { numRuns: 400, seed: 26 },
  );
});

function runModel(
  actions: readonly OperatorAction[],
  calls: readonly CallOutcome[],
): void {
  const queue = MessageQueue.create<never>({ seed: 1 });
  const active = createActiveConfiguration(OPTIONS);
  let era = 1;
  let history: readonly StoreState[] = [
    { sinceMs: 0, version: 1, revision: 1 },
  ];
  let newestVersion = 1;
  let revoked: { readonly version: number; readonly atMs: number } | undefined;
  const readState = () => history.at(-1)!;
  const write = () => {
    const { revision } = readState();
    const state = { version: newestVersion, revision: revision + 1 };
    history = [...history, { ...state, sinceMs: queue.nowMs }];
  };
  const perform = ({ kind, copyAgeMs, rewriteMs }: OperatorAction) => {
    if (kind === "restore") {
      const copiedAtMs = queue.nowMs - copyAgeMs;
      const kept = history.filter(({ sinceMs }) => sinceMs <= copiedAtMs);
      history = kept.length > 0 ? kept : history.slice(0, 1);
      era += 1;
      return queue.runAt(queue.nowMs + rewriteMs, write);
    }
    newestVersion += 1;
    write();
    if (kind !== "revoke" || revoked !== undefined) return;
    revoked = { version: newestVersion, atMs: queue.nowMs };
  };
  let seenEra = era;
  let callCount = 0;
  const call = () => {
    const sentAtMs = queue.nowMs;
    const outcome = calls[callCount % calls.length]!;
    const isLost = outcome.isLost && sentAtMs < FAULTS_END_MS;
    callCount += 1;
    queue.runAt(sentAtMs + outcome.requestMs, () => {
      const answer = { era, ...readState() };
      const answeredAtMs = queue.nowMs + outcome.answerMs;
      const endsAtMs = isLost ? sentAtMs + CALL_TIMEOUT_MS : answeredAtMs;
      queue.runAt(Math.max(endsAtMs, queue.nowMs), () => {
        if (!isLost) handleAnswer(answer, sentAtMs);
        queue.runAt(queue.nowMs + CALL_INTERVAL_MS, call);
      });
    });
  };
  const handleAnswer = (
    answer: StoreState & { readonly era: number },
    sentAtMs: number,
  ) => {
    const now = createInstant(queue.nowMs);
    if (answer.era > seenEra) recordRestore(active, now);
    seenEra = answer.era;
    const before = active.table?.configuration.version ?? 0;
    const { version } = answer;
    const revision = answer.era * ERA_SPAN + answer.revision;
    applyConfiguration(active, createStored(version, revision));
    assert.ok((active.table?.configuration.version ?? 0) >= before);
    recordProof(active, createInstant(sentAtMs));
  };
  const probe = () => {
    const { nowMs } = queue;
    const version = active.table?.configuration.version ?? 0;
    const mayRun = mayUseKeys(active, createInstant(nowMs));
    if (mayRun && revoked !== undefined && version < revoked.version) {
      assert.ok(nowMs - revoked.atMs <= BOUNDS.revocationMs);
    }
    queue.runAt(nowMs + PROBE_INTERVAL_MS, probe);
  };
  for (const action of actions) {
    queue.runAt(action.atMs, () => perform(action));
  }
  call();
  probe();
  queue.runUntilQuiet({ limitMs: FAULTS_END_MS + SETTLE_MS });
  assert.equal(active.table?.configuration.version, newestVersion);
  assert.ok(mayUseKeys(active, createInstant(queue.nowMs)));
}

function createActionArbitrary(): fc.Arbitrary<OperatorAction> {
  return fc.record({
    atMs: fc.integer({ min: 0, max: FAULTS_END_MS - BOUNDS.rewriteMs }),
    kind: fc.constantFrom("publish", "revoke", "restore"),
    copyAgeMs: fc.integer({ min: 0, max: 5_000 }),
    rewriteMs: fc.integer({ min: 0, max: BOUNDS.rewriteMs }),
  });
}

function createCallArbitrary(): fc.Arbitrary<CallOutcome> {
  return fc.record({
    requestMs: fc.integer({ min: 0, max: 300 }),
    answerMs: fc.integer({ min: 0, max: 300 }),
    isLost: fc.boolean(),
  });
}

function createInstant(ms: number) {
  return { monotonicMs: ms, wallMs: ms };
}

function createStored(version: number, revision: number) {
  const decoded = decodeConfiguration(createConfiguration({ version }));
  assert.ok(decoded.kind === "configuration");
  return { configuration: decoded.configuration, revision };
}
