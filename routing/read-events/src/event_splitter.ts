/**
 * Splits the bytes of a `text/event-stream` at event boundaries. Only complete
 * events are forwarded to the caller, so that another target can resume the
 * stream after the last one.
 */

const LINE_FEED = 10;
const ID_FIELD = "id:";
const EMPTY = Buffer.alloc(0);

/** One or more complete events. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  /** Id of the last event that has one; `undefined` if none has. */
  readonly lastId: string | undefined;
  /** Number of events. */
  readonly count: number;
}

export class EventSplitter {
  #pending: Buffer = EMPTY;

  private constructor() {}

  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Bytes of the incomplete event at the end. */
  get pending(): Buffer {
    return this.#pending;
  }

  /** Adds a chunk; returns the events completed by it, or `undefined` if none. */
  push(chunk: Buffer): CompleteEvents | undefined {
    const bytes = this.#pending.length === 0
      ? chunk
      : Buffer.concat([this.#pending, chunk]);
    const end = findLastEventEnd(bytes);
    this.#pending = bytes.subarray(end);
    if (end === 0) return undefined;
    const complete = bytes.subarray(0, end);
    const text = complete.toString("latin1");
    return {
      bytes: complete,
      lastId: readLastId(text),
      count: countEvents(text),
    };
  }
}

/** Returns the index after the last empty line, or 0. */
function findLastEventEnd(bytes: Buffer): number {
  let from = bytes.length;
  for (;;) {
    const at = from <= 0 ? -1 : bytes.lastIndexOf(LINE_FEED, from - 1);
    if (at <= 0) return 0;
    const before = bytes[at - 1];
    const isCrLf = before === 13 && bytes[at - 2] === LINE_FEED;
    if (before === LINE_FEED || isCrLf) return at + 1;
    from = at;
  }
}

function readLastId(text: string): string | undefined {
  const lines = text.split(/\r?\n/);
  const idLine = lines.findLast((line) => line.startsWith(ID_FIELD));
  return idLine?.slice(ID_FIELD.length).trim();
}

function countEvents(text: string): number {
  return text.split(/\r?\n\r?\n/).length - 1;
}
