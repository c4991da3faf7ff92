/** A request in progress and its attempts. */

import type { AnswerReader } from "./answer_reader.ts";
import type { IncomingRequest } from "./events.ts";
import type { SentAnswer } from "./sent_answer.ts";

/**
 * `sent` and `admitted` attempts are open. `unsent` and `refused` prove that the
 * attempt never ran. `failed`, `lost` and `abandoned` attempts may have run
 * without giving a complete answer.
 */
export type AttemptState =
  | "sent"
  | "admitted"
  | "unsent"
  | "refused"
  | "failed"
  | "lost"
  | "abandoned"
  | "complete";

export interface Attempt {
  readonly attemptId: string;
  readonly number: number;
  readonly request: Request;
  /** The target, or the home entry's incarnation. */
  readonly peer: string;
  /** Absent if the attempt was relayed to the home entry. */
  readonly agentIncarnation: string | undefined;
  readonly startedAtMs: number;
  readonly reader: AnswerReader;
  state: AttemptState;
  lastFrameAtMs: number;
  queriedAtMs: number;
  /** Whether the agent reported that the attempt never reached it. */
  neverArrived: boolean;
  /** When to repeat a query whose connection was lost. */
  nextQueryAtMs: number | undefined;
  /** Queries sent since the last frame of the attempt. */
  queryCount: number;
}

/**
 * `locating`: the key's arbiter is not known yet. `local`: this entry sends the
 * request to a target. `relaying`: another entry arbitrates its key.
 */
export type RequestStage = "locating" | "local" | "relaying";

export interface Caller {
  /** Characters of answer data sent to this caller. */
  sentCharacters: number;
}

export interface Request {
  readonly info: IncomingRequest;
  readonly callers: Map<string, Caller>;
  readonly attempts: Attempt[];
  stage: RequestStage;
  /** Whether the key table holds this request as the active one of its key. */
  claimed: boolean;
  /** Whether the key may have run before this request's attempts. */
  mayHaveRunBefore: boolean;
  keyExpiresAtMs: number;
  deadlineMs: number;
  /**
   * Whether the callers got the outcome `unknown` while the open attempt is
   * still tracked on behalf of the key.
   */
  background: boolean;
  /** The attempt whose answer is sent to the callers. */
  leader: Attempt | undefined;
  sent: SentAnswer | undefined;
  /** Whether a `pickTarget` effect is unanswered. */
  awaitingTarget: boolean;
  hedged: boolean;
  /** When to look up the home again. */
  nextLookupAtMs: number | undefined;
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
    awaitingTarget: false,
    hedged: false,
    nextLookupAtMs: undefined,
  };
}

export function isOpen(attempt: Attempt): boolean {
  return attempt.state === "sent" || attempt.state === "admitted";
}

export function hasOpenAttempt(request: Request): boolean {
  return request.attempts.some(isOpen);
}

/** Returns whether the answer must be kept for a repeat or a resumption. */
export function retainsAnswer(request: Request): boolean {
  const { key, idempotent, resumable } = request.info;
  return key !== undefined || (idempotent && resumable);
}

/** Returns whether another attempt may start after one that may have run. */
export function canRetry(request: Request): boolean {
  const { idempotent, resumable } = request.info;
  const { sent } = request;
  if (sent === undefined) return idempotent;
  if (!idempotent || !sent.canResume) return false;
  return sent.characters === 0 ||
    (resumable && sent.head.encoding === "utf8");
}
