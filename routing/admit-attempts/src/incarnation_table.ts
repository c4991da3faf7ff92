/**
 * The agent's records of entry incarnations: whether each is closed, which of its
 * attempts were decided, and the bounds of what was evicted. An incarnation is
 * closed when another entry has become the arbiter of its keys; nothing that it
 * sends is run afterwards.
 */

import { DecidedNumbers } from "@dandelionbank/read-ticket";

export class IncarnationRecord {
  readonly incarnation: string;
  /** Attempts that got a decision (run, joined, refused or failed); never run again. */
  readonly decided = DecidedNumbers.create();
  /** Attempts that were answered by another attempt under the same key. */
  readonly joined = DecidedNumbers.create();
  /** Attempts that ran on this agent's target. */
  readonly ran = DecidedNumbers.create();
  closed = false;
  /** Attempts up to this number may have run and been evicted. */
  evictedUpToNumber = 0;
  /** Keys under tickets issued up to this time may have been evicted. */
  forgottenIssuedAtMs = -1;

  constructor(incarnation: string) {
    this.incarnation = incarnation;
  }

  /** Returns whether the attempt was refused, even if its key has run since. */
  wasRefused(number: number): boolean {
    return this.decided.has(number) && !this.joined.has(number) &&
      !this.ran.has(number);
  }

  /** Returns whether the attempt, or one that it joined, may have been evicted. */
  mayHaveEvicted(number: number): boolean {
    return number <= this.evictedUpToNumber || this.joined.has(number);
  }
}

export class IncarnationTable {
  readonly #records = new Map<string, IncarnationRecord>();

  static create(): IncarnationTable {
    return new IncarnationTable();
  }

  getOrCreate(incarnation: string): IncarnationRecord {
    const known = this.#records.get(incarnation);
    if (known !== undefined) return known;
    const record = new IncarnationRecord(incarnation);
    this.#records.set(incarnation, record);
    return record;
  }
}
