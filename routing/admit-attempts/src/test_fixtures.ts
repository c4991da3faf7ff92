/** Test fixtures: constructors of events, and effects formatted as text. */

import type { AttemptHead } from "@dandelionbank/types";
import { formatTicket } from "@dandelionbank/read-ticket";
import { createAdmitState, readFigures, step } from "./mod.ts";
import type { AdmitEffect, AdmitEvent, AdmitOptions } from "./mod.ts";

export const OPTIONS: AdmitOptions = {
  incarnation: "agent1",
  maxInFlight: 3,
  maxKeys: 4,
  maxKeptBytes: 1_000,
  keyRetentionMs: 60_000,
  lingerMs: 5_000,
  retryAfterMs: 250,
};

export const FINGERPRINT = "0123456789abcdef";

export interface Agent {
  /** Applies an event and returns the effects as text. */
  readonly feed: (event: AdmitEvent, nowMs?: number) => readonly string[];
  readonly figures: () => ReturnType<typeof readFigures>;
}

export function createAgent(options: Partial<AdmitOptions> = {}): Agent {
  const state = createAdmitState({ ...OPTIONS, ...options });
  const feed = (event: AdmitEvent, nowMs = 0) =>
    step(state, event, nowMs).effects.map(formatEffect);
  return { feed, figures: () => readFigures(state) };
}

export function createReadyAgent(options: Partial<AdmitOptions> = {}): Agent {
  const agent = createAgent(options);
  agent.feed({ type: "closingsRead", incarnations: ["closed"] });
  return agent;
}

export function formatEffect(effect: AdmitEffect): string {
  switch (effect.type) {
    case "join":
    case "replay":
      return `${effect.type} ${effect.attemptId} ${effect.answeredBy}`;
    case "refuse":
      return `refuse ${effect.attemptId} ${effect.code} ${effect.retryAfterMs}`;
    case "fail":
      return `fail ${effect.attemptId} ${effect.code}`;
    case "answerKeys":
      return `keys ${
        effect.homes.map((home) =>
          `${home.incarnation}:${home.forgottenIssuedAtMs}:${
            home.keys.map((key) => `${key.keyId}=${key.standing}`).join()
          }`
        ).join(" ")
      }`;
    case "drained":
      return "drained";
    case "violation":
      return `violation ${effect.invariant}`;
    default:
      return `${effect.type} ${effect.attemptId}`;
  }
}

export interface Attempt extends Partial<AttemptHead> {
  readonly number: number;
  readonly agentIncarnation?: string;
}

export function arrival(attempt: Attempt): AdmitEvent {
  const { number, agentIncarnation = "agent1", ...head } = attempt;
  const entryIncarnation = head.entryIncarnation ?? "e1";
  return {
    type: "attemptArrived",
    agentIncarnation,
    ...(head.key === undefined ? {} : { keyId: head.key }),
    head: {
      attemptId: `${entryIncarnation}.${number}`,
      requestId: "r",
      organisation: "acme",
      fingerprint: FINGERPRINT,
      entry: "entry",
      entryIncarnation,
      idempotent: false,
      method: "POST",
      path: "/",
      contentType: "text/plain",
      priority: 0,
      timeLeftMs: 10_000,
      viewRevision: 1,
      ...head,
    },
  };
}

export function keyOf(
  suffix: string,
  issuedAtMs = 0,
  incarnation = "e1",
): string {
  const ticket = { incarnation, revision: 1, issuedAtMs, expiresAtMs: 99_999 };
  return `${formatTicket(ticket, "s")}/${suffix}`;
}

export function queried(
  number: number,
  key?: string,
  fingerprint = FINGERPRINT,
): AdmitEvent {
  return {
    type: "attemptQueried",
    attemptId: `e1.${number}`,
    fingerprint,
    agentIncarnation: "agent1",
    ...(key === undefined ? {} : { keyId: key }),
  };
}

export function ended(number: number, answerBytes = 10): AdmitEvent {
  return { type: "runEnded", attemptId: `e1.${number}`, answerBytes };
}

export function failed(number: number, mayHaveRun: boolean): AdmitEvent {
  return { type: "runFailed", attemptId: `e1.${number}`, mayHaveRun };
}

export function answered(number: number, pauseMs?: number): AdmitEvent {
  const event = { type: "answerBegan", attemptId: `e1.${number}` } as const;
  return pauseMs === undefined ? event : { ...event, pauseMs };
}

export const KEY = keyOf("a");

export interface Case {
  readonly name: string;
  readonly options?: Partial<AdmitOptions>;
  readonly events: readonly (readonly [AdmitEvent, string, number?])[];
}

export const STOP: AdmitEvent = { type: "stopBegan", reason: "plannedStop" };
export const TICK: AdmitEvent = { type: "tick" };
