/**
 * Relays one answer from its targets to the caller. A plain answer is held
 * until it is whole, so that another target may still give it; a stream goes on
 * event by event, and a further target goes on after its last whole event.
 */

import {
  type AnswerHead,
  encodeAnswerHeaders,
  type HeaderFields,
} from "@dandelionbank/platform-adapter";
import { EventSplitter } from "@dandelionbank/read-events";
import type { CallerAnswer } from "./caller_answer.ts";

/** A plain answer longer than this is relayed as it comes. */
const MAX_BUFFERED_BYTES = 1_048_576;

export interface AnswerRelayOptions {
  readonly answer: CallerAnswer;
  readonly isStream: boolean;
  /** The last event that the caller has had before. */
  readonly lastEventId: string | undefined;
}

/** Where the bytes come from; it can be held back. */
export interface RelaySource {
  pause(): void;
  resume(): void;
}

export class AnswerRelay {
  readonly #answer: CallerAnswer;
  readonly #isStream: boolean;
  readonly #chunks: Buffer[] = [];
  #bufferedBytes = 0;
  #splitter = EventSplitter.create();
  #lastEventId: string | undefined;
  #fields: HeaderFields = {};
  #status = 0;

  private constructor({ answer, isStream, lastEventId }: AnswerRelayOptions) {
    this.#answer = answer;
    this.#isStream = isStream;
    this.#lastEventId = lastEventId;
  }

  static create(options: AnswerRelayOptions): AnswerRelay {
    return new AnswerRelay(options);
  }

  get status(): number {
    return this.#status;
  }

  /** A target that goes on with the stream begins after this event. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  handleHead({ status }: AnswerHead, fields: HeaderFields): void {
    // A resumed stream keeps the head of its first target.
    if (this.#answer.hasBegun) return;
    this.#fields = fields;
    this.#status = status;
    if (this.#isStream) this.#begin();
  }

  /** True if it brought the caller, or its buffer, any further. */
  handleData(chunk: Buffer, source: RelaySource | undefined): boolean {
    if (this.#isStream) return this.#takeEvents(chunk, source);
    if (this.#answer.hasBegun) {
      this.#write(chunk, source);
      return true;
    }
    this.#chunks.push(chunk);
    this.#bufferedBytes += chunk.length;
    if (this.#bufferedBytes <= MAX_BUFFERED_BYTES) return true;
    this.#begin();
    for (const buffered of this.#chunks.splice(0)) {
      this.#write(buffered, source);
    }
    return true;
  }

  /** The answer is whole. */
  complete(): void {
    if (!this.#answer.hasBegun) {
      this.#answer.sendWhole({
        status: this.#status,
        headers: encodeAnswerHeaders(this.#fields),
        body: Buffer.concat(this.#chunks),
      });
      return;
    }
    // Bytes after the last event belong to the whole answer.
    const { pending } = this.#splitter;
    if (pending.length > 0) this.#answer.write(pending);
    this.#answer.end();
  }

  /** Drops what the caller has not got of an answer that was not whole. */
  discardIncomplete(): void {
    this.#splitter = EventSplitter.create();
    this.#chunks.length = 0;
    this.#bufferedBytes = 0;
  }

  #takeEvents(chunk: Buffer, source: RelaySource | undefined): boolean {
    const events = this.#splitter.push(chunk);
    if (events === undefined) return false;
    this.#lastEventId = events.lastId ?? this.#lastEventId;
    this.#write(events.bytes, source);
    return true;
  }

  #begin(): void {
    this.#answer.startStream(this.#status, encodeAnswerHeaders(this.#fields));
  }

  #write(bytes: Buffer, source: RelaySource | undefined): void {
    if (this.#answer.write(bytes)) return;
    source?.pause();
    this.#answer.onceDrained(() => source?.resume());
  }
}
