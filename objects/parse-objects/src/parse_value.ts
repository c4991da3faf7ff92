/** Parses a stored value of any kind into its type, or reports all its problems. */

import type {
  AgentRegistration,
  Config,
  Contract,
  EntryRegistration,
  IncarnationClosing,
  ObjectKind,
  Operator,
  PlannedStop,
} from "@dandelionbank/types";
import * as v from "valibot";
import { CONFIG_SCHEMA } from "./config_schema.ts";
import { CONTRACT_SCHEMA, OPERATOR_SCHEMA } from "./contract_schema.ts";
import { formatIssues } from "@dandelionbank/schemas";
import {
  AGENT_REGISTRATION_SCHEMA,
  ENTRY_REGISTRATION_SCHEMA,
  INCARNATION_CLOSING_SCHEMA,
  PLANNED_STOP_SCHEMA,
} from "./registration_schema.ts";

/** Type of the value of each kind of object. */
export interface ValueByKind {
  readonly agent: AgentRegistration;
  readonly closing: IncarnationClosing;
  readonly config: Config;
  readonly contract: Contract;
  readonly duty: Readonly<Record<string, unknown>>;
  readonly entry: EntryRegistration;
  readonly group: Readonly<Record<string, unknown>>;
  readonly operator: Operator;
  readonly stop: PlannedStop;
}

export type ParsedValue<Value> =
  | { readonly kind: "ok"; readonly value: Value }
  | { readonly kind: "invalid"; readonly problems: readonly string[] };

type SchemaByKind = {
  readonly [Kind in ObjectKind]: v.GenericSchema<unknown, ValueByKind[Kind]>;
};

const RECORD_SCHEMA = v.record(v.string(), v.unknown(), "an object");

/** Rejects arrays first, since valibot's object schemas accept them. */
const NON_ARRAY_SCHEMA = v.custom<unknown>(
  (value) => !Array.isArray(value),
  "an object",
);

const SCHEMAS: SchemaByKind = {
  agent: AGENT_REGISTRATION_SCHEMA,
  closing: INCARNATION_CLOSING_SCHEMA,
  config: CONFIG_SCHEMA,
  contract: CONTRACT_SCHEMA,
  duty: RECORD_SCHEMA,
  entry: ENTRY_REGISTRATION_SCHEMA,
  group: RECORD_SCHEMA,
  operator: OPERATOR_SCHEMA,
  stop: PLANNED_STOP_SCHEMA,
};

export function parseValue<Kind extends ObjectKind>(
  kind: Kind,
  value: unknown,
): ParsedValue<ValueByKind[Kind]> {
  const schema: v.GenericSchema<unknown, ValueByKind[Kind]> = SCHEMAS[kind];
  const result = v.safeParse(v.pipe(NON_ARRAY_SCHEMA, schema), value, {
    abortPipeEarly: true,
  });
  if (result.success) return { kind: "ok", value: result.output };
  return {
    kind: "invalid",
    problems: formatIssues(result.issues, { root: kind }),
  };
}
