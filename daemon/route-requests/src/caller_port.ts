/** Where a request's answer goes: to a caller, or to the entry that passed it. */

import type { Outcome } from "@dandelionbank/types";

export type UnansweredOutcome = Exclude<Outcome, { readonly kind: "answered" }>;

export interface AnswerHead {
  readonly status: number;
  readonly contentType: string;
  readonly encoding: "utf8" | "base64";
  readonly target: string;
}

export interface AnswerEnd {
  readonly lengthBytes: number;
  /** SHA-256 of the body, in hexadecimal. */
  readonly digest: string;
}

export interface CallerPort {
  sendHead(head: AnswerHead): void;
  /** False while the other side reads more slowly than the answer comes. */
  sendData(data: string): boolean;
  sendEnd(end: AnswerEnd): void;
  sendOutcome(outcome: UnansweredOutcome): void;
  /** Shows that the request lives. */
  sendHeartbeat(): void;
  onDrained(listener: () => void): void;
  onAbandoned(listener: () => void): void;
}
