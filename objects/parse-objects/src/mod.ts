/** Schemas of the values of the platform's objects, by kind. */

export { checkName, CONFIG_OBJECT_NAME } from "./check_name.ts";
export {
  CONFIG_SCHEMA,
  DEFAULT_CONFIG,
  MAX_BODY_LIMIT_BYTES,
  PLACEMENT_POLICIES,
} from "./config_schema.ts";
export { CONTRACT_SCHEMA, OPERATOR_SCHEMA } from "./contract_schema.ts";
export { FIELD_HELP } from "./field_help.ts";
export { parseValue } from "./parse_value.ts";
export type { ParsedValue, ValueByKind } from "./parse_value.ts";
