/**
 * The signature of a pure core: a state machine that computes its next state
 * from an event and describes side effects instead of performing them.
 */

/** The result of one event: the next state and the effects to perform. */
export interface Step<State, Effect> {
  readonly state: State;
  readonly effects: readonly Effect[];
}

/**
 * Handles one event. A core reads no clock, random source or socket: it gets the
 * time as milliseconds of the caller's monotonic clock, and everything else as an
 * event.
 */
export type StepFunction<State, Event, Effect> = (
  state: State,
  event: Event,
  nowMs: number,
) => Step<State, Effect>;
