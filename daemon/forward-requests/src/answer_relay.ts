/**
 * Relays the answer to one request from its targets to the caller. A plain
 * answer is buffered until it is complete, so that the request can still be
 * retried at another target. A stream is forwarded event by event; a target
 * that resumes it has to continue after the last complete event, with an answer
 * of the same kind.
 */

import { ByteCollector } from "@dandelionbank/collect-bytes";
import {
  type BodyFraming,
  mayLackBody,
  readBodyFraming,
} from "@dandelionbank/open-http";
import {
  type AnswerHead,
  encodeAnswerHeaders,
  type HeaderFields,
} from "@dandelionbank/platform-adapter";
import { EventSequence, EventSplitter } from "@dandelionbank/read-events";
import type { CallerAnswer } from "./caller_answer.ts";

/** A longer plain answer is no longer buffered but streamed. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** A longer event of a stream is no answer; events hold a few tokens. */
const MAX_EVENT_BYTES = 1_048_576;
/** Pieces of an event beyond which it is no answer. */
const MAX_EVENT_PIECES = 4_096;
/** An event of this size is kept also when the memory for answers is used up. */
const SMALL_EVENT_BYTES = 65_536;

/** A target may leave the type of its answer out. */
const CONTINUATION_TYPES: ReadonlySet<string> = new Set([
  "",
  "text/event-stream",
]);

export interface AnswerRelayOptions {
  readonly answer: CallerAnswer;
  readonly method: string;
  readonly isStream: boolean;
  /** Whether the targets of a stream start after the event that is named. */
  readonly isResumable: boolean;
  /** Id of the last event that the caller received on an earlier connection. */
  readonly lastEventId: string | undefined;
}

/** Source of the bytes, which is paused while the caller reads too slowly. */
export interface RelaySource {
  pause(): void;
  resume(): void;
}

export class AnswerRelay {
  readonly #answer: CallerAnswer;
  readonly #method: string;
  readonly #isStream: boolean;
  readonly #buffered = ByteCollector.create();
  #splitter = EventSplitter.create();
  readonly #callerLastEventId: string | undefined;
  readonly #sequence: EventSequence;
  /** Why the latest events do not follow those before, if so. */
  #sequenceDefect: string | undefined;
  #isContinuation = false;
  #fields: HeaderFields = {};
  #status = 0;
  #framing: BodyFraming | undefined;

  private constructor(options: AnswerRelayOptions) {
    const { answer, method, isStream, isResumable, lastEventId } = options;
    this.#answer = answer;
    this.#method = method;
    this.#isStream = isStream;
    this.#callerLastEventId = lastEventId;
    this.#sequence = EventSequence.create(
      isResumable ? lastEventId : undefined,
    );
  }

  static create(options: AnswerRelayOptions): AnswerRelay {
    return new AnswerRelay(options);
  }

  get status(): number {
    return this.#status;
  }

  /** Id of the last event forwarded; a resuming target starts after it. */
  get lastEventId(): string | undefined {
    return this.#sequence.lastId ?? this.#callerLastEventId;
  }

  /** Whether another target could tell where to continue the stream. */
  get isContinuable(): boolean {
    return this.#sequence.isContinuable;
  }

  /** How the end of the target's latest answer is marked. */
  get framing(): BodyFraming | undefined {
    return this.#framing;
  }

  /** Bytes of an incomplete event that are held back. */
  get unfinishedBytes(): number {
    return this.#splitter.pendingBytes;
  }

  /** Returns why the answer cannot continue the one that has begun, if so. */
  handleHead(
    { status }: AnswerHead,
    fields: HeaderFields,
  ): string | undefined {
    this.#framing = readBodyFraming(fields);
    // A resumed stream keeps the headers sent by its first target.
    if (this.#answer.hasBegun) return this.#continue(status, fields);
    this.#fields = fields;
    this.#status = status;
    if (this.#isStream) this.#start();
    return undefined;
  }

  /**
   * Returns true if the chunk completes an event of a stream, or if its bytes
   * were forwarded or buffered as those of a plain answer.
   */
  handleData(chunk: Buffer, source: RelaySource | undefined): boolean {
    if (this.#isStream) return this.#handleEvents(chunk, source);
    if (this.#answer.hasBegun) {
      this.#write(chunk, source);
      return true;
    }
    this.#buffered.add(chunk);
    const isKept = this.#buffered.lengthBytes <= MAX_BUFFERED_BYTES &&
      this.#answer.claimMemory(this.#buffered.capacityBytes);
    if (isKept) return true;
    this.#start();
    this.#write(this.#buffered.take(), source);
    return true;
  }

  /** Returns why no more bytes are taken from the target, if none are. */
  findDataDefect(): string | undefined {
    return this.#sequenceDefect ?? this.#findOverflow();
  }

  /**
   * Returns why the answer is incomplete although its message has ended;
   * `undefined` if it is complete. A target that breaks off may still end its
   * message in the regular way, with a last chunk or by closing its connection.
   */
  findDefect(): string | undefined {
    if (!this.#isStream) return this.#findMissingBody();
    const { unfinishedBytes, framing } = this;
    if (unfinishedBytes > 0) {
      return `stream ended inside an event, after ${unfinishedBytes} bytes of it; its end was marked by ${framing}`;
    }
    if (this.#sequence.hasEvent) return undefined;
    if (this.#isContinuation) return "no event continues the stream";
    return framing === "connection"
      ? "connection ended before the stream's first event"
      : undefined;
  }

  /** Ends the answer after its last byte. */
  complete(): void {
    if (!this.#answer.hasBegun) {
      this.#answer.sendFinal({
        status: this.#status,
        headers: encodeAnswerHeaders(this.#fields),
        body: this.#buffered.take(),
      });
      return;
    }
    this.#answer.end();
  }

  /** Discards the part of an incomplete answer that was not yet forwarded. */
  discardIncomplete(): void {
    this.#splitter = EventSplitter.create();
    this.#buffered.clear();
    this.#answer.claimMemory(0);
  }

  #findMissingBody(): string | undefined {
    const isEmpty = !this.#answer.hasBegun && this.#buffered.lengthBytes === 0;
    const head = { status: this.#status, headers: this.#fields };
    return isEmpty && mayLackBody(head, this.#method)
      ? "connection ended before the first byte of the answer's body"
      : undefined;
  }

  #findOverflow(): string | undefined {
    const { pendingBytes, pendingPieces, capacityBytes } = this.#splitter;
    if (pendingBytes > MAX_EVENT_BYTES) {
      return `event of ${pendingBytes} bytes without an end; the limit is ${MAX_EVENT_BYTES}`;
    }
    if (pendingPieces > MAX_EVENT_PIECES) {
      return `event in ${pendingPieces} pieces without an end; the limit is ${MAX_EVENT_PIECES}`;
    }
    if (!this.#isStream || pendingBytes <= SMALL_EVENT_BYTES) return undefined;
    return this.#answer.claimMemory(capacityBytes)
      ? undefined
      : `no memory for an event of ${pendingBytes} bytes`;
  }

  #handleEvents(chunk: Buffer, source: RelaySource | undefined): boolean {
    const events = this.#splitter.push(chunk);
    if (events === undefined) return false;
    const { acceptedBytes, defect } = this.#sequence.add(events.bytes);
    this.#sequenceDefect = defect;
    if (acceptedBytes > 0) {
      this.#write(events.bytes.subarray(0, acceptedBytes), source);
    }
    return acceptedBytes > 0 && events.count > 0;
  }

  #continue(status: number, fields: HeaderFields): string | undefined {
    this.#isContinuation = true;
    this.#sequence.continue();
    this.#sequenceDefect = undefined;
    if (status !== this.#status) {
      return `status ${status} continues an answer with status ${this.#status}`;
    }
    const type = readMediaType(fields);
    return CONTINUATION_TYPES.has(type) || type === readMediaType(this.#fields)
      ? undefined
      : `content of type ${type} cannot continue a stream`;
  }

  #start(): void {
    const headers = encodeAnswerHeaders(this.#fields);
    // Another target may resume the stream, so this target's length may be wrong.
    if (this.#isStream) delete headers["content-length"];
    this.#answer.startStream(this.#status, headers);
  }

  #write(bytes: Buffer, source: RelaySource | undefined): void {
    if (this.#answer.write(bytes)) return;
    source?.pause();
    this.#answer.onceDrained(() => source?.resume());
  }
}

function readMediaType(fields: HeaderFields): string {
  const [type = ""] = String(fields["content-type"] ?? "").split(";");
  return type.trim().toLowerCase();
}
