/**
 * Merges the small pieces of an answer that arrive in one turn of the event loop.
 * An agent keeps an answer piece by piece, and a piece costs far more than its
 * bytes.
 */

import { ByteCollector } from "@dandelionbank/collect-bytes";
import process from "node:process";

/** Pieces of this size or more are passed on as they are. */
const SMALL_PIECE_BYTES = 1_024;
const MAX_MERGED_BYTES = 16_384;

export class PieceMerger {
  readonly #onPiece: (piece: Buffer) => void;
  readonly #merged = ByteCollector.create();

  private constructor(onPiece: (piece: Buffer) => void) {
    this.#onPiece = onPiece;
  }

  static create(onPiece: (piece: Buffer) => void): PieceMerger {
    return new PieceMerger(onPiece);
  }

  add(piece: Buffer): void {
    if (piece.length >= SMALL_PIECE_BYTES) {
      this.flush();
      this.#onPiece(piece);
      return;
    }
    if (this.#merged.lengthBytes === 0) process.nextTick(() => this.flush());
    this.#merged.add(piece);
    if (this.#merged.lengthBytes >= MAX_MERGED_BYTES) this.flush();
  }

  /** Passes on what is merged so far. */
  flush(): void {
    if (this.#merged.lengthBytes > 0) this.#onPiece(this.#merged.take());
  }
}
