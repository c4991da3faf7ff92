/**
 * Splits the bytes of a `text/event-stream` into whole events. What goes to the
 * caller ends at the end of an event, so that another target can go on there.
 */

const LINE_FEED = 10;
const ID_FIELD = "id:";
const EMPTY = Buffer.alloc(0);

/** Bytes of one or more whole events. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  /** The id of the last event among them that has one. */
  readonly lastId: string | undefined;
  /** How many events there are. */
  readonly count: number;
}

export class EventSplitter {
  #rest: Buffer = EMPTY;

  private constructor() {}

  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Bytes of an event whose end has not come yet. */
  get pending(): Buffer {
    return this.#rest;
  }

  /** Whole events so far; `undefined` if none has ended. */
  push(chunk: Buffer): CompleteEvents | undefined {
    const bytes = this.#rest.length === 0
      ? chunk
      : Buffer.concat([this.#rest, chunk]);
    const end = findLastEnd(bytes);
    this.#rest = bytes.subarray(end);
    if (end === 0) return undefined;
    const whole = bytes.subarray(0, end);
    const text = whole.toString("latin1");
    return { bytes: whole, lastId: readLastId(text), count: countEvents(text) };
  }
}

/** Index after the last empty line, or 0. */
function findLastEnd(bytes: Buffer): number {
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
  const line = lines.findLast((each) => each.startsWith(ID_FIELD));
  return line?.slice(ID_FIELD.length).trim();
}

function countEvents(text: string): number {
  return text.split(/\r?\n\r?\n/).length - 1;
}
