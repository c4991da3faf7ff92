/** Answers the entry that relayed a request to this entry, its home entry. */

import type { AttemptResponder } from "@dandelionbank/serve-peers";
import type {
  AnswerEnd,
  AnswerHead,
  CallerPort,
  UnansweredOutcome,
} from "./caller_port.ts";

const NO_LOAD = { inFlight: 0, queued: 0, cachedTokens: 0 } as const;

export class RelayPort implements CallerPort {
  readonly #attemptId: string;
  readonly #responder: AttemptResponder;
  #sequence = 0;

  private constructor(attemptId: string, responder: AttemptResponder) {
    this.#attemptId = attemptId;
    this.#responder = responder;
  }

  static create(attemptId: string, responder: AttemptResponder): RelayPort {
    const port = new RelayPort(attemptId, responder);
    responder.send({ type: "admitted", attemptId, answeredBy: attemptId });
    return port;
  }

  sendHead({ status, contentType, encoding }: AnswerHead): void {
    const attemptId = this.#attemptId;
    this.#responder.send({
      type: "head",
      attemptId,
      status,
      contentType,
      encoding,
    });
  }

  sendData(data: string): boolean {
    const sequence = this.#sequence++;
    const frame = { type: "data", attemptId: this.#attemptId, sequence, data };
    return this.#responder.write(JSON.stringify(frame) + "\n");
  }

  sendEnd({ lengthBytes, digest }: AnswerEnd): void {
    this.#responder.send({
      type: "end",
      attemptId: this.#attemptId,
      lengthBytes,
      digest,
      load: NO_LOAD,
    });
    this.#responder.end();
  }

  sendOutcome(outcome: UnansweredOutcome): void {
    this.#responder.send({
      type: "outcome",
      attemptId: this.#attemptId,
      outcome,
    });
    this.#responder.end();
  }

  sendHeartbeat(): void {
    this.#responder.send({ type: "heartbeat", attemptId: this.#attemptId });
  }

  onDrained(listener: () => void): void {
    this.#responder.onDrained(listener);
  }

  onAbandoned(listener: () => void): void {
    this.#responder.onAbandoned(listener);
  }
}
