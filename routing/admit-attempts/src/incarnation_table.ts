/**
 * What the agent remembers of each incarnation of an entry: whether it is
 * closed, which of its attempts were decided, and what was forgotten.
 */

import { DecidedNumbers } from "@dandelionbank/read-ticket";

export class IncarnationRecord {
  readonly incarnation: string;
  readonly decided = DecidedNumbers.create();
  /** Attempts that were answered from another attempt under their key. */
  readonly joined = DecidedNumbers.create();
  /** Attempts that ran here. */
  readonly ran = DecidedNumbers.create();
  closed = false;
  /** Attempts up to this number may have run and been forgotten. */
  forgottenNumber = 0;
  /** Tickets up to this issue time may have had keys that were forgotten. */
  forgottenIssuedAtMs = -1;

  constructor(incarnation: string) {
    this.incarnation = incarnation;
  }

  /** Whether the attempt was refused, although its key may run since. */
  wasRefused(number: number): boolean {
    return this.decided.has(number) && !this.joined.has(number) &&
      !this.ran.has(number);
  }

  /** Whether the attempt, or another under its key, may have run. */
  mayHaveForgotten(number: number): boolean {
    return number <= this.forgottenNumber || this.joined.has(number);
  }
}

export class IncarnationTable {
  readonly #records = new Map<string, IncarnationRecord>();

  static create(): IncarnationTable {
    return new IncarnationTable();
  }

  recordOf(incarnation: string): IncarnationRecord {
    const known = this.#records.get(incarnation);
    if (known !== undefined) return known;
    const record = new IncarnationRecord(incarnation);
    this.#records.set(incarnation, record);
    return record;
  }
}
