/** The shape that every pure core has. */

/** What a core returns for one event: its next state and what is to be done. */
export interface Step<State, Effect> {
  readonly state: State;
  readonly effects: readonly Effect[];
}

/**
 * A pure core. It reads no clock, no random source and no socket: the time
 * comes in as milliseconds of the caller's monotonic clock, everything else
 * as an event.
 */
export type StepFunction<State, Event, Effect> = (
  state: State,
  event: Event,
  nowMs: number,
) => Step<State, Effect>;
