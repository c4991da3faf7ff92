/**
 * The order of a stream's events by their ids. A target that continues the stream
 * of another one has to start after the last event, and a target that breaks off
 * may write other text, such as an error, where an event is expected. Bytes are
 * read one by one: lines as strings cost far more than their bytes.
 */

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const SPACE = 32;
const COLON = 58;
const DIGIT_0 = 48;
const DIGIT_9 = 57;
const DECIMAL = 10;
const ID_FIELD = Buffer.from("id:");
const RETRY_FIELD = Buffer.from("retry:");

/** What is known after an event. */
interface Position {
  /** Undefined before the first id. */
  readonly lastId: string | undefined;
  /** The last id, if it is a number. */
  readonly lastNumber: number | undefined;
  /** Whether there was an event since the stream began, or was continued. */
  readonly hasEvent: boolean;
}

export interface AcceptedEvents {
  /** Length of the events that follow those before. */
  readonly acceptedBytes: number;
  /** Why the event behind them does not follow, if there is one. */
  readonly defect: string | undefined;
}

export class EventSequence {
  #position: Position;

  private constructor(position: Position) {
    this.#position = position;
  }

  /** `lastId` is the id after which the stream starts, if it is a continuation. */
  static create(lastId?: string): EventSequence {
    const id = Buffer.from(lastId ?? "");
    const lastNumber = readNumber(id, 0, id.length);
    return new EventSequence({ lastId, lastNumber, hasEvent: false });
  }

  /** Id of the last event that has one. */
  get lastId(): string | undefined {
    return this.#position.lastId;
  }

  /** Whether a target can tell where to continue the stream. */
  get isContinuable(): boolean {
    return this.lastId !== undefined || !this.hasEvent;
  }

  /** Whether there was an event since the stream began, or was continued. */
  get hasEvent(): boolean {
    return this.#position.hasEvent;
  }

  /** Begins the part of another target. */
  continue(): void {
    this.#position = { ...this.#position, hasEvent: false };
  }

  /**
   * Adds complete events, up to the first one that does not follow those before:
   * once an event had an id, each further one needs one, and numbers rise.
   */
  add(events: Buffer): AcceptedEvents {
    const reader = new EventReader(events, this.#position);
    let start = 0;
    let acceptedBytes = 0;
    let defect: string | undefined;
    for (let at = 0; at < events.length; at++) {
      if (events[at] !== LINE_FEED) continue;
      const hasReturn = at > start && events[at - 1] === CARRIAGE_RETURN;
      const end = hasReturn ? at - 1 : at;
      defect = reader.readLine(start, end);
      if (defect !== undefined) break;
      if (end === start) acceptedBytes = at + 1;
      start = at + 1;
    }
    this.#position = reader.position;
    return { acceptedBytes, defect };
  }
}

const NO_ID = { start: 0, end: -1 };

/** Reads events line by line. */
class EventReader {
  readonly #bytes: Buffer;
  readonly #before: Position;
  #hasEvent: boolean;
  /** The latest id of a complete event. */
  #id = NO_ID;
  #number: number | undefined;
  /** The event that is being read. */
  #hasText = false;
  #nextId = NO_ID;
  #nextNumber: number | undefined;

  constructor(bytes: Buffer, before: Position) {
    this.#bytes = bytes;
    this.#before = before;
    this.#hasEvent = before.hasEvent;
    this.#number = before.lastNumber;
  }

  /** The position after the events that are complete. */
  get position(): Position {
    const { start, end } = this.#id;
    return {
      lastId: this.#id === NO_ID
        ? this.#before.lastId
        : this.#bytes.toString("latin1", start, end).trim(),
      lastNumber: this.#number,
      hasEvent: this.#hasEvent,
    };
  }

  /** Returns why the line's event does not follow the one before, if so. */
  readLine(start: number, end: number): string | undefined {
    if (start === end) return this.#endEvent();
    if (startsWith(this.#bytes, start, ID_FIELD)) {
      return this.#readId(start + ID_FIELD.length, end);
    }
    if (!isIgnored(this.#bytes, start)) this.#hasText = true;
    return undefined;
  }

  #readId(start: number, end: number): string | undefined {
    this.#hasText = true;
    this.#nextId = { start, end };
    this.#nextNumber = readNumber(this.#bytes, start, end);
    const number = this.#nextNumber;
    const last = this.#number;
    return number !== undefined && last !== undefined && number <= last
      ? `event ${number} after event ${last}`
      : undefined;
  }

  #endEvent(): string | undefined {
    if (!this.#hasText) return undefined;
    if (this.#nextId === NO_ID && this.#needsId) return "event without an id";
    if (this.#nextId !== NO_ID) {
      this.#id = this.#nextId;
      this.#number = this.#nextNumber;
    }
    this.#hasEvent = true;
    this.#hasText = false;
    this.#nextId = NO_ID;
    return undefined;
  }

  get #needsId(): boolean {
    return this.#id !== NO_ID || this.#before.lastId !== undefined;
  }
}

/** Comments, and the time to reconnect, are no part of an event. */
function isIgnored(bytes: Buffer, start: number): boolean {
  return bytes[start] === COLON || startsWith(bytes, start, RETRY_FIELD);
}

function startsWith(bytes: Buffer, start: number, prefix: Buffer): boolean {
  for (let index = 0; index < prefix.length; index++) {
    if (bytes[start + index] !== prefix[index]) return false;
  }
  return true;
}

/** Reads a whole number; spaces around it are passed over. */
function readNumber(
  bytes: Buffer,
  start: number,
  end: number,
): number | undefined {
  let first = start;
  let last = end;
  while (first < last && bytes[first] === SPACE) first += 1;
  while (last > first && bytes[last - 1] === SPACE) last -= 1;
  if (first === last) return undefined;
  let number = 0;
  for (let index = first; index < last; index++) {
    const byte = bytes[index]!;
    if (byte < DIGIT_0 || byte > DIGIT_9) return undefined;
    number = number * DECIMAL + byte - DIGIT_0;
  }
  return Number.isSafeInteger(number) ? number : undefined;
}
