/** Stand-in for a plain service, a target that is not a model engine. */

export { PLAIN_SETTINGS, StandinPlain, startPlain } from "./plain.ts";
export type { PlainOptions, PlainSettings } from "./plain.ts";
