/** Arbitraries of input that is almost valid: a valid value with a few changes. */

import fc from "fast-check";

/** Values at the edges of what decoders accept. */
const EDGE_VALUES: readonly unknown[] = [
  null,
  "",
  [],
  {},
  true,
  -1,
  0,
  1e308,
  2 ** 53,
  0.5,
  "__proto__",
  "NaN",
  "1e999",
];

interface Edit {
  /** Selects the changed part among all parts of the value. */
  readonly selector: number;
  /** `undefined` removes the part. */
  readonly replacement: unknown;
}

type Container = Record<string, unknown>;

/** Changes up to four parts of a JSON value. */
export function mutateJson(valid: unknown): fc.Arbitrary<unknown> {
  return fc.array(createEditArbitrary(), { maxLength: 4 })
    .map((edits) => edits.reduce(applyEdit, structuredClone(valid)));
}

/** Replaces up to four ranges of a text. */
export function mutateText(valid: string): fc.Arbitrary<string> {
  const edit = fc.record({
    start: fc.nat(valid.length),
    length: fc.nat(8),
    text: fc.oneof(
      fc.string({ unit: "binary", maxLength: 8 }),
      fc.constantFrom("\n", "=", ":", ",", "-", "0", "9".repeat(400), "\u0000"),
    ),
  });
  return fc.array(edit, { maxLength: 4 }).map((edits) =>
    edits.reduce(
      (text, { start, length, text: inserted }) =>
        text.slice(0, start) + inserted + text.slice(start + length),
      valid,
    )
  );
}

/** Header fields with the given names, whose values may be anything. */
export function createHeadersArbitrary(
  names: readonly string[],
): fc.Arbitrary<Record<string, string | string[]>> {
  const text = fc.oneof(
    fc.string({ maxLength: 30 }),
    fc.double().map(String),
    fc.integer().map(String),
    fc.constantFrom("", " ", "1", "-1", "1,2,3", "1e999", "NaN", ",,", "0x10"),
  );
  const value = fc.oneof(text, fc.array(text, { maxLength: 3 }));
  return fc.dictionary(fc.constantFrom(...names), value, { maxKeys: 6 });
}

function createEditArbitrary(): fc.Arbitrary<Edit> {
  return fc.record({
    selector: fc.nat(),
    replacement: fc.oneof(
      fc.constant(undefined),
      fc.constantFrom(...EDGE_VALUES),
      fc.jsonValue({ maxDepth: 2 }),
    ),
  });
}

function applyEdit(value: unknown, { selector, replacement }: Edit): unknown {
  const parts = listParts(value);
  const part = parts[selector % (parts.length + 1)];
  // The last choice replaces the value as a whole.
  if (part === undefined) return replacement ?? null;
  const { container, key } = part;
  if (replacement === undefined) delete container[key];
  else container[key] = structuredClone(replacement);
  return value;
}

function listParts(
  value: unknown,
): readonly { readonly container: Container; readonly key: string }[] {
  if (typeof value !== "object" || value === null) return [];
  const container = value as Container;
  return Object.keys(container).flatMap((key) => [
    { container, key },
    ...listParts(container[key]),
  ]);
}
