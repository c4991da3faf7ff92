/**
 * A moment on several clocks. The steady clock stands still while a VM is
 * suspended and the time of day may jump, so an age is the longest that any
 * clock shows.
 */
export interface Instant {
  readonly monotonicMs: number;
  /** Time of day. */
  readonly wallMs: number;
}
