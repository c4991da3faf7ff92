/** Stand-in for a model engine, and the parts that the group stand-in reuses. */

export { Batch } from "./batch.ts";
export { Completion, parseCompletionRequest } from "./completion.ts";
export type { CompletionFaults, CompletionRequest } from "./completion.ts";
export { StandinEngine, startEngine } from "./engine.ts";
export type { EngineOptions } from "./engine.ts";
export { expectedTokens } from "./expected_tokens.ts";
export { OrderLog } from "./orders.ts";
export { ENGINE_SETTINGS } from "./settings.ts";
export type { EngineSettings } from "./settings.ts";
