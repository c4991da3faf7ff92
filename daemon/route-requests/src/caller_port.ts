/** Destination of a request's answer: a caller, or the entry that relayed the request. */

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
  /** Returns false while the receiver reads more slowly than the answer arrives. */
  sendData(data: string): boolean;
  sendEnd(end: AnswerEnd): void;
  sendOutcome(outcome: UnansweredOutcome): void;
  /** Signals that the request is still in progress. */
  sendHeartbeat(): void;
  onDrained(listener: () => void): void;
  onAbandoned(listener: () => void): void;
}
