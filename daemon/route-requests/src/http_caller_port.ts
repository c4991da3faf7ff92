/**
 * Answers a caller over HTTP. An event stream goes out as it comes; any other
 * answer waits until it is known to be whole, up to a bound, so that a caller
 * never gets a short body under a status of success.
 */

import type { CallerAnswer } from "@dandelionbank/serve-callers";
import type {
  AnswerHead,
  CallerPort,
  UnansweredOutcome,
} from "./caller_port.ts";

/** A longer answer goes out as it comes, and is cut off if it fails. */
const HELD_LIMIT_BYTES = 1_048_576;

export class HttpCallerPort implements CallerPort {
  readonly #answer: CallerAnswer;
  #head: AnswerHead | undefined;
  #held: Buffer[] | undefined;
  #heldBytes = 0;

  private constructor(answer: CallerAnswer) {
    this.#answer = answer;
  }

  static create(answer: CallerAnswer): HttpCallerPort {
    return new HttpCallerPort(answer);
  }

  sendHead(head: AnswerHead): void {
    this.#head = head;
    if (head.contentType.startsWith("text/event-stream")) {
      this.#answer.start(head);
      return;
    }
    this.#held = [];
  }

  sendData(data: string): boolean {
    if (this.#held === undefined) return this.#write(data);
    const chunk = Buffer.from(data, this.#head?.encoding);
    this.#held.push(chunk);
    this.#heldBytes += chunk.length;
    return this.#heldBytes < HELD_LIMIT_BYTES || this.#releaseHeld();
  }

  sendEnd({ lengthBytes }: { readonly lengthBytes: number }): void {
    if (this.#head !== undefined && this.#held !== undefined) {
      this.#answer.start({ ...this.#head, lengthBytes });
      this.#answer.write(Buffer.concat(this.#held));
    }
    this.#answer.end();
  }

  sendOutcome(outcome: UnansweredOutcome): void {
    this.#answer.sendOutcome(outcome);
  }

  sendHeartbeat(): void {}

  onDrained(listener: () => void): void {
    this.#answer.onDrained(listener);
  }

  onAbandoned(listener: () => void): void {
    this.#answer.onAbandoned(listener);
  }

  #write(data: string): boolean {
    return this.#answer.write(
      this.#head?.encoding === "base64" ? Buffer.from(data, "base64") : data,
    );
  }

  #releaseHeld(): boolean {
    if (this.#head === undefined || this.#held === undefined) return true;
    this.#answer.start(this.#head);
    const whole = Buffer.concat(this.#held);
    this.#held = undefined;
    return this.#answer.write(whole);
  }
}
