/**
 * Splits the bytes of a `text/event-stream` at event boundaries. Only complete
 * events are forwarded to the caller, so that another target can resume the
 * stream after the last one. A chunk takes time by its own length, whatever is
 * pending and however many events it completes.
 */

import { ByteCollector } from "@dandelionbank/collect-bytes";

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const SPACE = 32;
/**
 * The two bytes before a chunk: an event ends with two line feeds, with a
 * carriage return between at most.
 */
interface Joint {
  readonly last: number;
  readonly beforeLast: number | undefined;
}

/** The end of an event, or of the stream's head: a blank line may follow it. */
const AFTER_EVENT: Joint = { last: LINE_FEED, beforeLast: undefined };

/** Complete events, and blank lines around them. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  /** Number of events; 0 for blank lines alone. */
  readonly count: number;
}

export class EventSplitter {
  /** The incomplete event at the end. */
  readonly #pending = ByteCollector.create();
  #pendingPieces = 0;
  /** The end of the incomplete event, or of the one before. */
  #joint = AFTER_EVENT;

  private constructor() {}

  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Length of the incomplete event at the end. */
  get pendingBytes(): number {
    return this.#pending.lengthBytes;
  }

  /** Memory that the incomplete event takes. */
  get capacityBytes(): number {
    return this.#pending.capacityBytes;
  }

  /** Number of chunks that hold bytes of the incomplete event. */
  get pendingPieces(): number {
    return this.#pendingPieces;
  }

  /** Adds a chunk; returns the events completed by it, or `undefined` if none. */
  push(chunk: Buffer): CompleteEvents | undefined {
    const end = findLastEventEnd(this.#joint, chunk);
    if (end === 0) {
      this.#keep(chunk);
      return undefined;
    }
    this.#pending.add(chunk.subarray(0, end));
    const complete = this.#pending.take();
    this.#pendingPieces = 0;
    this.#joint = AFTER_EVENT;
    this.#keep(chunk.subarray(end));
    return {
      bytes: complete,
      count: countEvents(complete),
    };
  }

  #keep(bytes: Buffer): void {
    if (bytes.length === 0) return;
    this.#pending.add(bytes);
    this.#pendingPieces += 1;
    this.#joint = {
      last: bytes.at(-1)!,
      beforeLast: bytes.at(-2) ?? this.#joint.last,
    };
  }
}

/**
 * Returns the index in `chunk` after its last empty line, or 0. `joint` holds
 * the bytes before the chunk.
 */
function findLastEventEnd(joint: Joint, chunk: Buffer): number {
  const readByte = (index: number) => {
    if (index >= 0) return chunk[index];
    return index === -1 ? joint.last : joint.beforeLast;
  };
  let from = chunk.length;
  while (from > 0) {
    const at = chunk.lastIndexOf(LINE_FEED, from - 1);
    if (at < 0) return 0;
    const before = readByte(at - 1);
    const isCrLf = before === CARRIAGE_RETURN && readByte(at - 2) === LINE_FEED;
    if (before === LINE_FEED || isCrLf) return at + 1;
    from = at;
  }
  return 0;
}

/** Reads byte by byte: lines as strings cost far more than their bytes. */
function countEvents(events: Buffer): number {
  let count = 0;
  let hasText = false;
  let lineStart = 0;
  for (let index = 0; index < events.length; index++) {
    const byte = events[index]!;
    if (byte > SPACE) hasText = true;
    if (byte !== LINE_FEED) continue;
    const isCrLf = index === lineStart + 1 &&
      events[lineStart] === CARRIAGE_RETURN;
    if (hasText && (index === lineStart || isCrLf)) {
      count += 1;
      hasText = false;
    }
    lineStart = index + 1;
  }
  return hasText ? count + 1 : count;
}
