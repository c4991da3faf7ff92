/** Tracks an entry's requests from arrival to outcome. */

export { countChecks, readFigures, step } from "./track_requests.ts";
export type { TrackFigures } from "./track_requests.ts";
export { createTrackState } from "./state.ts";
export type { TrackState } from "./state.ts";
export type { ProvenNotRun } from "./not_run.ts";
export type * from "./effects.ts";
export type * from "./events.ts";
