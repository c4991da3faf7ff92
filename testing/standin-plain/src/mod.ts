/** Stand-in for a plain service. */

export { PLAIN_SETTINGS, StandinPlain, startPlain } from "./plain.ts";
export type { PlainOptions, PlainSettings } from "./plain.ts";
