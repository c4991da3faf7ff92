/** Throughput of keyed requests through the state machines of entry and agent. */

import { createHash } from "node:crypto";
import { createBodyDigest, digestKey } from "@dandelionbank/digest-bodies";
import * as admit from "@dandelionbank/admit-attempts";
import type { AttemptFrame, AttemptHead } from "@dandelionbank/types";
import * as track from "@dandelionbank/track-requests";
import { createHead, createKey, FINGERPRINT } from "./fixtures.ts";

const ORGANISATION = "acme";
const REQUESTS = 60_000;
const ROUNDS = 3;
const LOAD = { inFlight: 1, queued: 0, cachedTokens: 0 };
const ANSWER = '{"choices":[{"text":"pinout 4: earth"}]}';
const ANSWER_DIGEST = createHash("sha256").update(ANSWER).digest("hex");

/** Returns the best rate of several rounds, in requests per second. */
export function measureThroughput(): number {
  return measureBestRate(() => runRequests());
}

/** Baseline: the rate of only inserting the keys into a `Map`. */
export function measureMapInserts(): number {
  return measureBestRate(() => {
    const keys = Array.from({ length: REQUESTS }, (_, at) => createKey(at));
    const seen = new Map<string, number>();
    const startMs = performance.now();
    keys.forEach((key, at) => seen.set(digestKey(ORGANISATION, key), at));
    return performance.now() - startMs;
  });
}

function measureBestRate(run: () => number): number {
  const roundTimesMs = Array.from({ length: ROUNDS }, run);
  return REQUESTS / Math.min(...roundTimesMs) * 1_000;
}

/** Runs one round and returns its duration in milliseconds. */
function runRequests(): number {
  const keys = Array.from({ length: REQUESTS }, (_, at) => createKey(at));
  const cores = new ConnectedCores();
  const startMs = performance.now();
  keys.forEach((key, at) => cores.run(key, at));
  const elapsedMs = performance.now() - startMs;
  if (cores.endedCount !== REQUESTS) throw new Error("Not every request ended");
  return elapsedMs;
}

/** State machines of an entry and an agent, connected by function calls. */
class ConnectedCores {
  endedCount = 0;
  readonly #entry = track.createTrackState({
    incarnation: "entry",
    progressTimeoutMs: 1_000,
    hedgeAfterMs: undefined,
    maxAttempts: 3,
    retryRatio: 0.1,
    retryBurst: 10,
    retryAfterMs: 100,
    maxKeys: REQUESTS * 2,
    maxKeptBytes: REQUESTS * ANSWER.length * 2,
    createDigest: createBodyDigest,
  });
  readonly #agent = admit.createAdmitState({
    incarnation: "agent",
    maxInFlight: 100,
    maxKeys: REQUESTS * 2,
    maxKeptBytes: REQUESTS * ANSWER.length * 2,
    keyRetentionMs: 600_000,
    lingerMs: 10_000,
    retryAfterMs: 100,
  });
  readonly #heads = new Map<string, AttemptHead>();

  constructor() {
    admit.step(this.#agent, { type: "closingsRead", incarnations: [] }, 0);
    this.#stepEntry({ type: "arbiterLeaseRenewed", untilMs: 1e9 }, 0);
  }

  run(key: string, at: number): void {
    const keyId = digestKey(ORGANISATION, key);
    const requestId = `r${at}`;
    this.#heads.set(requestId, createHead(key));
    this.#stepEntry({
      type: "requestArrived",
      callerId: `c${at}`,
      request: {
        requestId,
        organisation: ORGANISATION,
        pool: "pool",
        fingerprint: FINGERPRINT,
        idempotent: false,
        resumable: false,
        timeLeftMs: 10_000,
        key: { keyId, homeIncarnation: "entry" },
      },
    }, at);
    if (at % 100 === 0) this.#stepEntry({ type: "tick" }, at);
  }

  #stepEntry(event: track.TrackEvent, nowMs: number): void {
    for (const effect of track.step(this.#entry, event, nowMs).effects) {
      this.#performEntryEffect(effect, nowMs);
    }
  }

  #performEntryEffect(effect: track.TrackEffect, nowMs: number): void {
    switch (effect.type) {
      case "findHome": {
        const home = { kind: "here", expiresAtMs: 1e9 } as const;
        const { requestId } = effect;
        return this.#stepEntry({ type: "homeFound", requestId, home }, nowMs);
      }
      case "pickTarget":
        return this.#stepEntry({
          type: "targetPicked",
          requestId: effect.requestId,
          target: "target",
          agentIncarnation: "agent",
        }, nowMs);
      case "dispatch":
        return this.#dispatch(effect, nowMs);
      case "requestEnded":
        this.#heads.delete(effect.requestId);
        return;
      case "sendEnd":
        this.endedCount += 1;
        return;
      case "violation":
        throw new Error(`${effect.invariant}: ${effect.detail}`);
    }
  }

  #dispatch(
    effect: Extract<track.TrackEffect, { type: "dispatch" }>,
    nowMs: number,
  ): void {
    const { attemptId, requestId } = effect;
    const requestHead = this.#heads.get(requestId);
    if (requestHead?.key === undefined) {
      throw new Error("No head known for the request");
    }
    const head = { ...requestHead, attemptId, requestId };
    const { effects } = admit.step(this.#agent, {
      type: "attemptArrived",
      head,
      keyId: digestKey(ORGANISATION, requestHead.key),
      agentIncarnation: "agent",
    }, nowMs);
    if (effects[0]?.type !== "run") {
      throw new Error("The agent did not run the attempt");
    }
    for (const frame of createAnswerFrames(attemptId)) {
      this.#stepEntry({ type: "frameArrived", frame }, nowMs);
    }
    const answerBytes = ANSWER.length;
    const ended = { type: "runEnded", attemptId, answerBytes } as const;
    admit.step(this.#agent, ended, nowMs);
  }
}

function createAnswerFrames(attemptId: string): readonly AttemptFrame[] {
  return [
    { type: "admitted", attemptId, answeredBy: attemptId },
    {
      type: "head",
      attemptId,
      status: 200,
      contentType: "application/json",
      encoding: "utf8",
    },
    { type: "data", attemptId, sequence: 0, data: ANSWER },
    {
      type: "end",
      attemptId,
      lengthBytes: ANSWER.length,
      digest: ANSWER_DIGEST,
      load: LOAD,
    },
  ];
}
