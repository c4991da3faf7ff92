/**
 * Answers a caller over HTTP. An event stream is forwarded event by event, so
 * that the error which ends one that breaks off is an event of its own. Any other
 * answer is buffered until it is complete, up to a limit, so that a caller does
 * not receive a truncated body with a success status.
 */

import { ByteCollector } from "@dandelionbank/collect-bytes";
import { EventSplitter } from "@dandelionbank/read-events";
import type { CallerAnswer } from "@dandelionbank/serve-callers";
import type {
  AnswerHead,
  CallerPort,
  UnansweredOutcome,
} from "./caller_port.ts";

/** A larger answer is forwarded as it arrives, and cut off if it fails. */
const BUFFER_LIMIT_BYTES = 1_048_576;

export class HttpCallerPort implements CallerPort {
  readonly #answer: CallerAnswer;
  #head: AnswerHead | undefined;
  /** Set for an event stream. */
  #splitter: EventSplitter | undefined;
  #buffered: ByteCollector | undefined;

  private constructor(answer: CallerAnswer) {
    this.#answer = answer;
  }

  static create(answer: CallerAnswer): HttpCallerPort {
    return new HttpCallerPort(answer);
  }

  sendHead(head: AnswerHead): void {
    this.#head = head;
    if (head.contentType.startsWith("text/event-stream")) {
      this.#splitter = EventSplitter.create();
      this.#answer.start(head);
      return;
    }
    this.#buffered = ByteCollector.create();
  }

  sendData(data: string): boolean {
    const chunk = Buffer.from(data, this.#head?.encoding);
    if (this.#splitter !== undefined) {
      const events = this.#splitter.push(chunk);
      return events === undefined || this.#answer.write(events.bytes);
    }
    if (this.#buffered === undefined) return this.#answer.write(chunk);
    this.#buffered.add(chunk);
    return this.#buffered.lengthBytes < BUFFER_LIMIT_BYTES ||
      this.#flushBuffer();
  }

  sendEnd({ lengthBytes }: { readonly lengthBytes: number }): void {
    if ((this.#splitter?.pendingBytes ?? 0) > 0) {
      this.#answer.sendOutcome({ kind: "failed", code: "answerCut" });
      return;
    }
    if (this.#head !== undefined && this.#buffered !== undefined) {
      this.#answer.start({ ...this.#head, lengthBytes });
      this.#answer.write(this.#buffered.take());
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

  #flushBuffer(): boolean {
    if (this.#head === undefined || this.#buffered === undefined) return true;
    this.#answer.start(this.#head);
    const buffered = this.#buffered.take();
    this.#buffered = undefined;
    return this.#answer.write(buffered);
  }
}
