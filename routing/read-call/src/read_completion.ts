/** Parses an OpenAI-style completion request; other fields pass through. */

import type { Config } from "@dandelionbank/types";
import * as v from "valibot";
import type { CallInput, CallResult } from "./read_call.ts";

const DEFAULT_MAX_TOKENS = 256;
const MAX_TOKENS_LIMIT = 1_000_000;
const CHARACTERS_PER_TOKEN = 4;
const PREFIX_CHARACTERS = 256;

const COMPLETION_SCHEMA = v.looseObject({
  model: v.pipe(v.string(), v.minLength(1)),
  prompt: v.string(),
  max_tokens: v.optional(
    v.pipe(
      v.number(),
      v.integer(),
      v.minValue(1),
      v.maxValue(MAX_TOKENS_LIMIT),
    ),
    DEFAULT_MAX_TOKENS,
  ),
  stream: v.optional(v.boolean(), false),
});

export function readCompletion(input: CallInput, config: Config): CallResult {
  const value = parseJson(input.body);
  if (value === undefined) return { kind: "invalid", code: "bodyNotJson" };
  const parsed = v.safeParse(COMPLETION_SCHEMA, value);
  if (!parsed.success) return { kind: "invalid", code: "bodyInvalid" };
  const { model, prompt, max_tokens: maxTokens, stream } = parsed.output;
  const pool = config.pools.find((candidate) =>
    candidate.models.includes(model)
  );
  if (pool === undefined) return { kind: "invalid", code: "modelUnknown" };
  return {
    kind: "ok",
    call: {
      pool: pool.name,
      path: input.path,
      idempotent: input.mayRepeat,
      isStream: stream,
      estimatedTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN) +
        maxTokens,
      promptPrefix: prompt.slice(0, PREFIX_CHARACTERS),
    },
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
