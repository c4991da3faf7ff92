/**
 * Counts the bytes of control messages per sending node: the message as JSON
 * and a fixed overhead for framing on a persistent connection. HTTP headers for
 * a separate request per message are not included.
 */

const FRAMING_BYTES = 64;

export class TrafficMeter {
  readonly #sentBytes = new Map<string, number>();
  #messages = 0;
  isCounting = false;

  static create(): TrafficMeter {
    return new TrafficMeter();
  }

  countMessage(from: string, message: unknown): void {
    if (!this.isCounting) return;
    const bytes = JSON.stringify(message).length + FRAMING_BYTES;
    this.#sentBytes.set(from, (this.#sentBytes.get(from) ?? 0) + bytes);
    this.#messages += 1;
  }

  get messages(): number {
    return this.#messages;
  }

  /** Bytes sent per second by the average node and by the busiest node. */
  computeRates(
    durationMs: number,
    nodeCount: number,
  ): { readonly mean: number; readonly busiest: number } {
    const ratesPerSecond = [...this.#sentBytes.values()].map((bytes) =>
      bytes * 1_000 / durationMs
    );
    const sum = ratesPerSecond.reduce((total, rate) => total + rate, 0);
    return { mean: sum / nodeCount, busiest: Math.max(0, ...ratesPerSecond) };
  }
}
