/**
 * Shares the processor time that small pieces of bodies take. A peer that sends
 * chunks of a few bytes at full speed causes ten thousand pieces by one read, so
 * a few such peers would leave no time for anything else. Each response may
 * receive small pieces at the rate of a fast stream; beyond that, responses take
 * turns within a limit for all of them, and their connections are paused
 * meanwhile.
 */

/** Pieces of this size or more cost little beside their bytes. */
const SMALL_PIECE_BYTES = 256;
/** Several times the rate of the fastest stream of events. */
const OWN_PIECES_PER_MS = 1;
/** Pieces that a response may receive at once, and for each turn. */
const BURST_PIECES = 256;
const WINDOW_MS = 10;
/** Takes about a tenth of the window. */
const SHARED_PIECES_PER_WINDOW = 2_048;

/** A response whose pieces are throttled. */
export interface ThrottledResponse {
  hold(): void;
  release(): void;
}

/** The small pieces that one response may still receive. */
export class PieceAllowance {
  readonly #throttle: PieceThrottle;
  readonly #response: ThrottledResponse;
  #pieces = BURST_PIECES;
  #refilledAtMs = performance.now();
  #isHeld = false;

  constructor(throttle: PieceThrottle, response: ThrottledResponse) {
    this.#throttle = throttle;
    this.#response = response;
  }

  /**
   * Records a piece, and holds the response if no further one is allowed. Pieces
   * that were read before may still arrive; the response waits longer for them.
   */
  recordPiece(sizeBytes: number): void {
    if (sizeBytes >= SMALL_PIECE_BYTES) return;
    this.#pieces -= 1;
    if (this.#pieces > 0 || this.#isHeld) return;
    this.#refill();
    if (this.#pieces > 0) return;
    if (this.#throttle.takeTurn()) this.#pieces += BURST_PIECES;
    else this.#hold();
  }

  /** Gives up a turn that is waited for. */
  end(): void {
    this.#throttle.cancelTurn(this.#continue);
  }

  #refill(): void {
    const nowMs = performance.now();
    const earned = Math.floor((nowMs - this.#refilledAtMs) * OWN_PIECES_PER_MS);
    if (earned === 0) return;
    this.#refilledAtMs = nowMs;
    this.#pieces = Math.min(this.#pieces + earned, BURST_PIECES);
  }

  #hold(): void {
    this.#isHeld = true;
    this.#response.hold();
    this.#throttle.awaitTurn(this.#continue);
  }

  readonly #continue = () => {
    this.#pieces += BURST_PIECES;
    this.#refill();
    if (this.#pieces <= 0) return this.#throttle.awaitTurn(this.#continue);
    this.#isHeld = false;
    this.#response.release();
  };
}

export class PieceThrottle {
  /** Callbacks of the responses that wait, in the order of their turns. */
  readonly #waiting = new Set<() => void>();
  #windowStartMs = 0;
  #leftPieces = 0;
  #timer: NodeJS.Timeout | undefined;

  private constructor() {}

  static create(): PieceThrottle {
    return new PieceThrottle();
  }

  createAllowance(response: ThrottledResponse): PieceAllowance {
    return new PieceAllowance(this, response);
  }

  /** Returns false if the limit of all responses is reached, or others wait. */
  takeTurn(): boolean {
    this.#startWindow();
    return this.#waiting.size === 0 && this.#takePieces();
  }

  awaitTurn(onTurn: () => void): void {
    this.#waiting.add(onTurn);
    this.#timer ??= setTimeout(() => this.#giveTurns(), WINDOW_MS);
  }

  cancelTurn(onTurn: () => void): void {
    this.#waiting.delete(onTurn);
  }

  #giveTurns(): void {
    this.#timer = undefined;
    this.#startWindow();
    // A response that is released may end others, and may wait again at once.
    for (const onTurn of [...this.#waiting]) {
      if (!this.#waiting.has(onTurn)) continue;
      if (!this.#takePieces()) break;
      this.#waiting.delete(onTurn);
      onTurn();
    }
    if (this.#waiting.size === 0) return;
    this.#timer ??= setTimeout(() => this.#giveTurns(), WINDOW_MS);
  }

  #startWindow(): void {
    const nowMs = performance.now();
    if (nowMs - this.#windowStartMs < WINDOW_MS) return;
    this.#windowStartMs = nowMs;
    this.#leftPieces = SHARED_PIECES_PER_WINDOW;
  }

  #takePieces(): boolean {
    if (this.#leftPieces < BURST_PIECES) return false;
    this.#leftPieces -= BURST_PIECES;
    return true;
  }
}
