/**
 * A moment as read from two clocks. The monotonic clock does not advance while a
 * VM is suspended, and the wall clock may jump. The age of an instant is
 * therefore the longer of the two differences.
 */
export interface Instant {
  readonly monotonicMs: number;
  /** Wall-clock time since the Unix epoch. */
  readonly wallMs: number;
}
