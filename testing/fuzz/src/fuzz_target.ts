/** A decoder, and how it is fed and checked. */

import assert from "node:assert/strict";
import fc from "fast-check";

export interface FuzzTarget {
  readonly name: string;
  /** Throws, with the smallest input that fails, unless all runs pass. */
  readonly run: (options: FuzzOptions) => void;
}

export interface FuzzOptions {
  readonly runs: number;
  readonly seed: number;
}

export function createFuzzTarget<Input>(
  { name, input, decode, isReported = () => false }: {
    readonly name: string;
    readonly input: fc.Arbitrary<Input>;
    /** Decodes one input; may make assertions of its own. */
    readonly decode: (input: Input) => unknown;
    /** Whether the error is the decoder's way to report malformed input. */
    readonly isReported?: (error: unknown) => boolean;
  },
): FuzzTarget {
  const check = (value: Input) => {
    try {
      assertNumbersAreFinite(decode(value));
    } catch (error) {
      if (!isReported(error)) throw error;
    }
  };
  const property = fc.property(input, check);
  return {
    name,
    run: ({ runs, seed }) => fc.assert(property, { numRuns: runs, seed }),
  };
}

function assertNumbersAreFinite(value: unknown): void {
  if (typeof value === "number") assert.ok(Number.isFinite(value), `${value}`);
  if (typeof value !== "object" || value === null) return;
  if (Buffer.isBuffer(value)) return;
  const parts = value instanceof Map || value instanceof Set
    ? [...value]
    : Object.values(value);
  for (const part of parts) assertNumbersAreFinite(part);
}
