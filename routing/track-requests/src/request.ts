/** One request under way, and its attempts. */

import type { AnswerReader } from "./answer_reader.ts";
import type { IncomingRequest } from "./events.ts";
import type { SentAnswer } from "./sent_answer.ts";

/**
 * `sent` and `admitted` are open. `unsent` and `refused` prove that the attempt
 * never ran. Of `failed`, `lost` and `abandoned` ones nothing is known, or they
 * ran without a whole answer.
 */
export type AttemptState =
  | "sent"
  | "admitted"
  | "unsent"
  | "refused"
  | "failed"
  | "lost"
  | "abandoned"
  | "whole";

export interface Attempt {
  readonly attemptId: string;
  readonly number: number;
  readonly request: Request;
  /** The target, or the home entry's incarnation. */
  readonly peer: string;
  /** Absent if the attempt went to the home entry. */
  readonly agentIncarnation: string | undefined;
  readonly startedAtMs: number;
  readonly reader: AnswerReader;
  state: AttemptState;
  heardAtMs: number;
  askedAtMs: number;
  /** The agent said that it had not seen the attempt. */
  neverArrived: boolean;
  /** When to ask again, as the connection of the last ask was lost. */
  askAgainAtMs: number | undefined;
  /** Asks since the attempt was last heard of. */
  asks: number;
}

/**
 * `seeking`: the key's arbiter is not known yet. `here`: this entry sends it to
 * a target. `relaying`: another entry arbitrates its key.
 */
export type RequestStage = "locating" | "local" | "relaying";

export interface Caller {
  /** Characters of data that were sent to it. */
  sentCharacters: number;
}

export interface Request {
  readonly info: IncomingRequest;
  readonly callers: Map<string, Caller>;
  readonly attempts: Attempt[];
  stage: RequestStage;
  /** Whether the table of keys holds this request. */
  claimed: boolean;
  /** Whether the key may have run before the attempts of this request. */
  mayHaveRunBefore: boolean;
  keyExpiresAtMs: number;
  deadlineMs: number;
  /** The callers were told `unknown`; the open attempt is still followed. */
  background: boolean;
  leader: Attempt | undefined;
  sent: SentAnswer | undefined;
  /** Whether a target has been asked for. */
  picking: boolean;
  hedged: boolean;
  /** When to look for the home again. */
  seekAtMs: number | undefined;
}

export function createRequest(
  info: IncomingRequest,
  deadlineMs: number,
): Request {
  return {
    info,
    callers: new Map(),
    attempts: [],
    stage: info.key === undefined ? "local" : "locating",
    claimed: false,
    mayHaveRunBefore: false,
    keyExpiresAtMs: 0,
    deadlineMs,
    background: false,
    leader: undefined,
    sent: undefined,
    picking: false,
    hedged: false,
    seekAtMs: undefined,
  };
}

export function isOpen(attempt: Attempt): boolean {
  return attempt.state === "sent" || attempt.state === "admitted";
}

export function hasOpenAttempt(request: Request): boolean {
  return request.attempts.some(isOpen);
}

/** Whether what is sent has to be kept, for a repeat or a resumption. */
export function keepsAnswer(request: Request): boolean {
  const { key, idempotent, resumable } = request.info;
  return key !== undefined || (idempotent && resumable);
}

/** Whether another attempt may be started after the earlier ones. */
export function canStartAgain(request: Request): boolean {
  const { idempotent, resumable } = request.info;
  const { sent } = request;
  if (sent === undefined) return idempotent;
  if (!idempotent || !sent.canContinue) return false;
  return sent.characters === 0 ||
    (resumable && sent.head.encoding === "utf8");
}
