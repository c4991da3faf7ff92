/**
 * The numbers of one sender's messages that were decided.
 *
 * The latest numbers are stored individually. Older ones are covered by a floor:
 * every number at or below it counts as decided. In rare cases a message that is
 * still in transit falls below the floor and counts as decided too; the receiver
 * must answer it in a way that holds in both cases.
 */

const MAX_STORED_NUMBERS = 128;

export class DecidedNumbers {
  #decidedUpTo = 0;
  readonly #numbers = new Set<number>();

  static create(): DecidedNumbers {
    return new DecidedNumbers();
  }

  has(number: number): boolean {
    return number <= this.#decidedUpTo || this.#numbers.has(number);
  }

  add(number: number): void {
    if (this.has(number)) return;
    this.#numbers.add(number);
    if (this.#numbers.size <= MAX_STORED_NUMBERS) return;
    const [oldest] = this.#numbers;
    this.#numbers.delete(oldest!);
    this.#decidedUpTo = Math.max(this.#decidedUpTo, oldest!);
  }
}
