/**
 * What the agent remembers of each incarnation of an entry: whether it is
 * closed, which of its attempts were decided, and what was forgotten.
 *
 * Decided attempts are remembered one by one up to a bound. Beyond it the
 * oldest are covered by a floor: an attempt numbered at or below it, and not
 * in the table of keys, is refused. An attempt that was still on its way is
 * then refused too, which is truthful and rare.
 */

const MAX_DECIDED = 128;

export class IncarnationRecord {
  readonly incarnation: string;
  closed = false;
  /** Attempts up to this number may have run and been forgotten. */
  forgottenNumber = 0;
  /** Tickets up to this issue time may have had keys that were forgotten. */
  forgottenIssuedAtMs = -1;
  #floor = 0;
  readonly #decided = new Set<number>();

  constructor(incarnation: string) {
    this.incarnation = incarnation;
  }

  isDecided(number: number): boolean {
    return number <= this.#floor || this.#decided.has(number);
  }

  decide(number: number): void {
    if (this.isDecided(number)) return;
    this.#decided.add(number);
    if (this.#decided.size <= MAX_DECIDED) return;
    const [oldest] = this.#decided;
    this.#decided.delete(oldest!);
    this.#floor = Math.max(this.#floor, oldest!);
  }

  /** Refuses every attempt of this incarnation from now on. */
  close(): void {
    this.closed = true;
    this.#decided.clear();
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
