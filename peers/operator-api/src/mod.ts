/** The operators' interface of an entry, by tRPC. */

export { BOOTSTRAP_OPERATOR } from "./authenticate.ts";
export type { CallError, CallErrorShape } from "./call_error.ts";
export { createOperatorHandler, OPERATOR_PATH } from "./operator_handler.ts";
export type { OperatorHandler } from "./operator_handler.ts";
export { OPERATED_KINDS } from "./operated_kinds.ts";
export type { OperatedKind } from "./operated_kinds.ts";
export type { OperatorApiOptions } from "./options.ts";
export type { OperatorRouter } from "./operator_router.ts";
export type {
  ConflictReport,
  DeleteReport,
  SetReport,
} from "./write_reports.ts";
export { writerOf } from "./write_reports.ts";
