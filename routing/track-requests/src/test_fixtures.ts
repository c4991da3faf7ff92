/** Test fixtures: constructors of events, and effects formatted as text. */

import assert from "node:assert/strict";
import { test } from "node:test";
import type { AttemptFrame, TargetLoad } from "@dandelionbank/types";
import { createTrackState, readFigures, step } from "./mod.ts";
import type {
  IncomingRequest,
  IncrementalDigest,
  KeyHome,
  TrackEffect,
  TrackEvent,
  TrackOptions,
} from "./mod.ts";

export const LOAD: TargetLoad = { inFlight: 0, queued: 0, cachedTokens: 0 };

export const OPTIONS: TrackOptions = {
  incarnation: "e1",
  progressTimeoutMs: 1_000,
  hedgeAfterMs: undefined,
  maxAttempts: 3,
  retryRatio: 0.1,
  retryBurst: 2,
  retryAfterMs: 500,
  maxKeys: 3,
  maxKeptBytes: 100,
  createDigest: createTextDigest,
};

/** Creates a digest that is the text itself, in place of SHA-256. */
export function createTextDigest(): IncrementalDigest {
  let text = "";
  return {
    add: (data) => {
      text += data;
    },
    get lengthBytes() {
      return text.length;
    },
    finish: () => text,
  };
}

export interface Entry {
  /** Applies an event and returns the effects as text. */
  readonly feed: (event: TrackEvent, nowMs?: number) => string;
  readonly figures: () => ReturnType<typeof readFigures>;
}

export function createEntry(options: Partial<TrackOptions> = {}): Entry {
  const state = createTrackState({ ...OPTIONS, ...options });
  step(state, { type: "arbiterLeaseRenewed", untilMs: 100_000 }, 0);
  const feed = (event: TrackEvent, nowMs = 0) =>
    step(state, event, nowMs).effects.map(formatEffect).join();
  return { feed, figures: () => readFigures(state) };
}

export function formatEffect(effect: TrackEffect): string {
  switch (effect.type) {
    case "findHome":
      return `findHome ${effect.requestId}`;
    case "pickTarget":
      return `${effect.hedge ? "hedge" : "pick"} ${effect.requestId}${
        effect.avoid.length === 0 ? "" : ` not ${effect.avoid.join("+")}`
      }`;
    case "dispatch":
      return `dispatch ${effect.attemptId} ${effect.target}`;
    case "relayToHome":
      return `relay ${effect.attemptId} ${effect.incarnation} replaces ${effect.supersedes}`;
    case "queryAttempt":
      return `query ${effect.attemptId} ${effect.target}`;
    case "cancelAttempt":
      return `cancel ${effect.attemptId}`;
    case "sendHead":
      return `${effect.callerId}<${effect.status}${effect.target ?? ""}`;
    case "sendData":
      return `${effect.callerId}<${effect.data}`;
    case "sendEnd":
      return `${effect.callerId}<end`;
    case "sendOutcome": {
      const { outcome } = effect;
      const proof = outcome.kind === "notRun" ? ` ${outcome.proof.kind}` : "";
      return `${effect.callerId}<${outcome.kind} ${outcome.code}${proof}`;
    }
    case "attemptCrashed":
      return `crashed ${effect.target}`;
    case "frameDropped":
      return `dropped ${effect.reason}`;
    case "requestEnded":
      return `ended ${effect.outcome}`;
    case "violation":
      return `violation ${effect.invariant}`;
  }
}

export function arrived(
  callerId: string,
  request: Partial<IncomingRequest> = {},
): TrackEvent {
  return {
    type: "requestArrived",
    callerId,
    request: {
      requestId: `r${callerId}`,
      organisation: "acme",
      pool: "pool",
      fingerprint: "f",
      idempotent: false,
      resumable: false,
      timeLeftMs: 10_000,
      ...request,
    },
  };
}

export const KEYED = { key: { keyId: "k", homeIncarnation: "e1" } };
export const IDEMPOTENT = { idempotent: true, resumable: true };
export const TICK: TrackEvent = { type: "tick" };

export function home(caller: string, found: KeyHome): TrackEvent {
  return { type: "homeFound", requestId: `r${caller}`, home: found };
}

export const LOCAL_HOME: KeyHome = { kind: "here", expiresAtMs: 50_000 };

export function picked(caller: string, target: string): TrackEvent {
  return {
    type: "targetPicked",
    requestId: `r${caller}`,
    target,
    agentIncarnation: `${target}i`,
  };
}

export function noTarget(caller: string): TrackEvent {
  return {
    type: "noTarget",
    requestId: `r${caller}`,
    code: "noTarget",
    retryAfterMs: 100,
  };
}

export function framed(frame: AttemptFrame): TrackEvent {
  return { type: "frameArrived", frame };
}

export function admitted(attemptId: string): TrackEvent {
  return framed({ type: "admitted", attemptId, answeredBy: attemptId });
}

export function refused(attemptId: string, code = "agentStopping"): TrackEvent {
  return framed({
    type: "refused",
    attemptId,
    code,
    retryAfterMs: 0,
    load: LOAD,
  });
}

export function failed(
  attemptId: string,
  mayHaveRun: boolean,
  code = "targetFailed",
): TrackEvent {
  return framed({ type: "failed", attemptId, code, mayHaveRun, load: LOAD });
}

export function headed(attemptId: string, status = 200): TrackEvent {
  return framed({
    type: "head",
    attemptId,
    status,
    contentType: "text/plain",
    encoding: "utf8",
  });
}

export function data(
  attemptId: string,
  sequence: number,
  text: string,
): TrackEvent {
  return framed({ type: "data", attemptId, sequence, data: text });
}

export function ended(attemptId: string, text: string): TrackEvent {
  return framed({
    type: "end",
    attemptId,
    lengthBytes: text.length,
    digest: text,
    load: LOAD,
  });
}

export function lost(attemptId: string): TrackEvent {
  return { type: "connectionLost", attemptId };
}

export const AGENT_A_LOST: TrackEvent = {
  type: "agentLost",
  target: "A",
  agentIncarnation: "Ai",
};

export type Line = readonly [
  event: TrackEvent,
  effects: string,
  nowMs?: number,
];

export interface Case {
  readonly name: string;
  readonly options?: Partial<TrackOptions>;
  readonly lines: readonly Line[];
}

/** Sends a request without a key to target A as attempt e1.1. */
export function sentToA(
  request: Partial<IncomingRequest> = {},
): readonly Line[] {
  return [
    [arrived("1", request), "pick r1"],
    [picked("1", "A"), "dispatch e1.1 A"],
  ];
}

/** Sends a request with a key whose home is this entry to target A. */
export function keyedToA(
  request: Partial<IncomingRequest> = {},
): readonly Line[] {
  return [
    [arrived("1", { ...KEYED, ...request }), "findHome r1"],
    [home("1", LOCAL_HOME), "pick r1"],
    [picked("1", "A"), "dispatch e1.1 A"],
  ];
}

/** Registers one test per case, each with a new entry. */
export function testCases(cases: readonly Case[]): void {
  for (const { name, options, lines } of cases) {
    test(name, () => runCase({ options: options ?? {}, lines }));
  }
}

function runCase(
  run: {
    readonly options: Partial<TrackOptions>;
    readonly lines: readonly Line[];
  },
): void {
  const entry = createEntry(run.options);
  for (const [event, effects, nowMs] of run.lines) {
    assert.equal(entry.feed(event, nowMs), effects);
  }
  const { callers, requests } = entry.figures();
  assert.ok(callers <= requests * 2, `${callers} callers remain`);
}
