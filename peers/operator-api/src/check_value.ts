/** Validates a value that an operator writes, on its own and against the view. */

import { checkName, parseValue } from "@dandelionbank/parse-objects";
import type { Contract, Operator, View } from "@dandelionbank/types";
import type { WritableKind } from "./writable_kinds.ts";

export interface ProposedValue {
  readonly kind: WritableKind;
  readonly name: string;
  readonly value: unknown;
}

export type CheckedValue =
  | {
    readonly kind: "ok";
    /** Includes the defaults of omitted fields. */
    readonly value: unknown;
    readonly warnings: readonly string[];
  }
  | { readonly kind: "invalid"; readonly problems: readonly string[] };

export function checkValue(
  { kind, name, value }: ProposedValue,
  view: View,
): CheckedValue {
  const parsed = parseValue(kind, value);
  if (parsed.kind === "invalid") return parsed;
  const problems = [
    ...checkName(kind, { name, value: parsed.value }),
    ...findSharedKeys({ kind, name, value: parsed.value }, view),
  ];
  if (problems.length > 0) return { kind: "invalid", problems };
  const warnings = kind === "stop" ? warnIfUnregistered(name, view) : [];
  return { kind: "ok", value: parsed.value, warnings };
}

/** Reports keys that another holder has: a key must identify a single holder. */
function findSharedKeys(
  { kind, name, value }: ProposedValue,
  view: View,
): readonly string[] {
  if (kind !== "contract" && kind !== "operator") return [];
  const holders = kind === "contract" ? view.contracts : view.operators;
  const others = [...holders.values()].filter((holder) => holder.name !== name);
  const { keyDigests } = value as Contract | Operator;
  return keyDigests.flatMap((digest, index) =>
    others
      .filter((other) => other.value.keyDigests.includes(digest))
      .map((other) =>
        `keyDigests[${index}]: found in ${kind} "${other.name}" too, expected a key of one ${kind} only`
      )
  );
}

function warnIfUnregistered(target: string, view: View): readonly string[] {
  if (view.agents.has(target)) return [];
  return [`No agent is registered for target "${target}"`];
}
