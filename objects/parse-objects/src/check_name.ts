/** Checks that an object's name matches its value. */

import type { ObjectKind } from "@dandelionbank/types";
import type { ValueByKind } from "./parse_value.ts";

/** Name of the only object of kind `config`. */
export const CONFIG_OBJECT_NAME = "config";

type ExpectedNames = {
  readonly [Kind in ObjectKind]?: (value: ValueByKind[Kind]) => string;
};

const EXPECTED_NAMES: ExpectedNames = {
  agent: (agent) => agent.target.name,
  closing: (closing) => closing.incarnation,
  config: () => CONFIG_OBJECT_NAME,
  contract: (contract) => contract.organisation,
  entry: (entry) => entry.name,
  operator: (operator) => operator.name,
  stop: (stop) => stop.target,
};

export interface NamedValue<Kind extends ObjectKind> {
  readonly name: string;
  readonly value: ValueByKind[Kind];
}

/** Returns the problems of the name; none for kinds that may have any name. */
export function checkName<Kind extends ObjectKind>(
  kind: Kind,
  { name, value }: NamedValue<Kind>,
): readonly string[] {
  const expected = EXPECTED_NAMES[kind]?.(value);
  if (expected === undefined || expected === name) return [];
  return [`${kind} name: found "${name}", expected "${expected}"`];
}
