/**
 * Collects pieces of bytes by copying them into one buffer that doubles when it
 * is full. Its memory is at most twice the bytes collected, in however many
 * pieces they arrive.
 */

const MIN_CAPACITY_BYTES = 256;
const EMPTY = Buffer.alloc(0);

export interface ByteCollectorOptions {
  /** The length of all pieces together, if known: the capacity stays within it. */
  readonly expectedBytes?: number;
}

export class ByteCollector {
  readonly #expectedBytes: number;
  #buffer: Buffer = EMPTY;
  #lengthBytes = 0;

  private constructor({ expectedBytes }: ByteCollectorOptions) {
    this.#expectedBytes = expectedBytes ?? Number.POSITIVE_INFINITY;
  }

  static create(options: ByteCollectorOptions = {}): ByteCollector {
    return new ByteCollector(options);
  }

  /** Number of bytes collected. */
  get lengthBytes(): number {
    return this.#lengthBytes;
  }

  /** Memory that the collected bytes take. */
  get capacityBytes(): number {
    return this.#buffer.length;
  }

  /** Copies the piece, so that the buffer of which it is a part can be freed. */
  add(piece: Uint8Array): void {
    const lengthBytes = this.#lengthBytes + piece.length;
    if (lengthBytes > this.#buffer.length) this.#grow(lengthBytes);
    this.#buffer.set(piece, this.#lengthBytes);
    this.#lengthBytes = lengthBytes;
  }

  /** Returns the bytes collected, and starts again with none. */
  take(): Buffer {
    const bytes = this.#buffer.subarray(0, this.#lengthBytes);
    this.clear();
    return bytes;
  }

  clear(): void {
    this.#buffer = EMPTY;
    this.#lengthBytes = 0;
  }

  #grow(neededBytes: number): void {
    const doubledBytes = Math.max(MIN_CAPACITY_BYTES, this.#buffer.length * 2);
    const capacityBytes = Math.max(
      neededBytes,
      Math.min(doubledBytes, this.#expectedBytes),
    );
    // A slice of Node.js's shared pool would keep the whole pool alive.
    const grown = Buffer.allocUnsafeSlow(capacityBytes);
    grown.set(this.#buffer.subarray(0, this.#lengthBytes));
    this.#buffer = grown;
  }
}
