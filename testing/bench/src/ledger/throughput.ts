/** How many keyed requests go through the cores of an entry and an agent. */

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

/** The best of some rounds, in requests a second. */
export function measureThroughput(): number {
  return bestOf(() => runRequests());
}

/** What only remembering the keys in a `Map` would give. */
export function measureMapOnly(): number {
  return bestOf(() => {
    const keys = Array.from({ length: REQUESTS }, (_, at) => createKey(at));
    const seen = new Map<string, number>();
    const startMs = performance.now();
    keys.forEach((key, at) => seen.set(digestKey(ORGANISATION, key), at));
    return performance.now() - startMs;
  });
}

function bestOf(run: () => number): number {
  const times = Array.from({ length: ROUNDS }, run);
  return REQUESTS / Math.min(...times) * 1_000;
}

/** The time of one round in milliseconds. */
function runRequests(): number {
  const keys = Array.from({ length: REQUESTS }, (_, at) => createKey(at));
  const cores = new Cores();
  const startMs = performance.now();
  keys.forEach((key, at) => cores.run(key, at));
  const elapsedMs = performance.now() - startMs;
  if (cores.ended !== REQUESTS) throw new Error("Not every request ended");
  return elapsedMs;
}

/** One entry and one agent, joined by function calls. */
class Cores {
  ended = 0;
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
    this.#feedEntry({ type: "arbiterLeaseRenewed", untilMs: 1e9 }, 0);
  }

  run(key: string, at: number): void {
    const keyId = digestKey(ORGANISATION, key);
    const requestId = `r${at}`;
    this.#heads.set(requestId, createHead(key));
    this.#feedEntry({
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
    if (at % 100 === 0) this.#feedEntry({ type: "tick" }, at);
  }

  #feedEntry(event: track.TrackEvent, nowMs: number): void {
    for (const effect of track.step(this.#entry, event, nowMs).effects) {
      this.#applyEntry(effect, nowMs);
    }
  }

  #applyEntry(effect: track.TrackEffect, nowMs: number): void {
    switch (effect.type) {
      case "findHome": {
        const home = { kind: "here", expiresAtMs: 1e9 } as const;
        const { requestId } = effect;
        return this.#feedEntry({ type: "homeFound", requestId, home }, nowMs);
      }
      case "pickTarget":
        return this.#feedEntry({
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
        this.ended += 1;
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
    const known = this.#heads.get(requestId);
    if (known?.key === undefined) throw new Error("A request lost its head");
    const head = { ...known, attemptId, requestId };
    const { effects } = admit.step(this.#agent, {
      type: "attemptArrived",
      head,
      keyId: digestKey(ORGANISATION, known.key),
      agentIncarnation: "agent",
    }, nowMs);
    if (effects[0]?.type !== "run") throw new Error("An attempt did not run");
    for (const frame of answerFrames(attemptId)) {
      this.#feedEntry({ type: "frameArrived", frame }, nowMs);
    }
    const answerBytes = ANSWER.length;
    const ended = { type: "runEnded", attemptId, answerBytes } as const;
    admit.step(this.#agent, ended, nowMs);
  }
}

function answerFrames(attemptId: string): readonly AttemptFrame[] {
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
