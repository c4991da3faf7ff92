/** The operator interface of an entry, over tRPC. */

export { BOOTSTRAP_OPERATOR } from "./authenticate.ts";
export type { CallError, CallErrorShape } from "./call_error.ts";
export { createOperatorHandler, OPERATOR_PATH } from "./operator_handler.ts";
export type { OperatorHandler } from "./operator_handler.ts";
export { WRITABLE_KINDS } from "./writable_kinds.ts";
export type { WritableKind } from "./writable_kinds.ts";
export type { OperatorApiOptions } from "./options.ts";
export type { OperatorRouter } from "./operator_router.ts";
export type {
  ConflictReport,
  DeleteReport,
  SetReport,
} from "./write_reports.ts";
export { getObjectWriter } from "./write_reports.ts";
