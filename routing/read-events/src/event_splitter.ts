/**
 * Splits the bytes of a `text/event-stream` at event boundaries. Only complete
 * events are forwarded to the caller, so that another target can resume the
 * stream after the last one. A chunk takes time by its own length, whatever is
 * pending.
 */

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
/** An event ends with two line feeds, with a carriage return between at most. */
const JOINT_BYTES = 2;
/** Bounds the memory of an event that arrives in pieces of a few bytes. */
const MAX_PIECES = 1_024;
const ID_FIELD = "id:";
/** The end of an event, or of the stream's head: a blank line may follow it. */
const AFTER_EVENT = Buffer.from("\n");
const BLANK_LINES = /(?:\r?\n){2,}/;

/** Complete events, and blank lines around them. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  /** Id of the last event that has one; `undefined` if none has. */
  readonly lastId: string | undefined;
  /** Number of events; 0 for blank lines alone. */
  readonly count: number;
}

export class EventSplitter {
  /** The incomplete event at the end. */
  #pending: Buffer[] = [];
  #pendingBytes = 0;
  /** The last bytes of the incomplete event, or of the end of the one before. */
  #joint: Buffer = AFTER_EVENT;

  private constructor() {}

  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Length of the incomplete event at the end. */
  get pendingBytes(): number {
    return this.#pendingBytes;
  }

  /** Adds a chunk; returns the events completed by it, or `undefined` if none. */
  push(chunk: Buffer): CompleteEvents | undefined {
    const end = findLastEventEnd(this.#joint, chunk);
    if (end === 0) {
      this.#keep(chunk);
      return undefined;
    }
    const complete = Buffer.concat([...this.#pending, chunk.subarray(0, end)]);
    this.#pending = [];
    this.#pendingBytes = 0;
    this.#joint = AFTER_EVENT;
    this.#keep(chunk.subarray(end));
    const text = complete.toString("latin1");
    return {
      bytes: complete,
      lastId: readLastId(text),
      count: countEvents(text),
    };
  }

  #keep(bytes: Buffer): void {
    if (bytes.length === 0) return;
    this.#pending.push(bytes);
    if (this.#pending.length > MAX_PIECES) {
      this.#pending = [Buffer.concat(this.#pending)];
    }
    this.#pendingBytes += bytes.length;
    this.#joint = Buffer.concat([this.#joint, bytes.subarray(-JOINT_BYTES)])
      .subarray(-JOINT_BYTES);
  }
}

/**
 * Returns the index in `chunk` after its last empty line, or 0. `joint` holds
 * the bytes before the chunk.
 */
function findLastEventEnd(joint: Buffer, chunk: Buffer): number {
  const readByte = (index: number) =>
    index >= 0 ? chunk[index] : joint[joint.length + index];
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

function readLastId(text: string): string | undefined {
  const lines = text.split(/\r?\n/);
  const idLine = lines.findLast((line) => line.startsWith(ID_FIELD));
  return idLine?.slice(ID_FIELD.length).trim();
}

function countEvents(text: string): number {
  return text.split(BLANK_LINES).filter((block) => block.trim() !== "").length;
}
