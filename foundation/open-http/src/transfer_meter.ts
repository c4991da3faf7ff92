/**
 * Counts what the connections of pools receive and what of it their handlers are
 * called with. Body pieces of few bytes, or bytes that reach no handler, show a
 * peer that sends no answer.
 */

export class TransferMeter {
  #receivedBytes = 0;
  #bodyBytes = 0;
  #bodyPieces = 0;

  private constructor() {}

  static create(): TransferMeter {
    return new TransferMeter();
  }

  /** Bytes received on connections, with heads and framing. */
  get receivedBytes(): number {
    return this.#receivedBytes;
  }

  /** Bytes of response bodies. */
  get bodyBytes(): number {
    return this.#bodyBytes;
  }

  /** Pieces in which these bytes were passed to handlers. */
  get bodyPieces(): number {
    return this.#bodyPieces;
  }

  recordReceived(sizeBytes: number): void {
    this.#receivedBytes += sizeBytes;
  }

  recordBodyPiece(sizeBytes: number): void {
    this.#bodyBytes += sizeBytes;
    this.#bodyPieces += 1;
  }
}
